package entry

import (
	"cmp"
	"slices"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
	"goldcrestseam.dev/goldcrestseam/internal/declaration"
	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

const (
	// reportEvery paces announcements to control; news goes at once.
	reportEvery = 250 * time.Millisecond
	// demandEvery is the interval of the demand figures.
	demandEvery = time.Second
	// maxPendingDeaths bounds deaths that control has not taken yet.
	maxPendingDeaths = 256
)

type demandKey struct{ profile, model string }

// reportBuffer collects what control is to be told.
type reportBuffer struct {
	announcements map[string]engineapi.Announcement
	states        map[string]lifeState
	demand        map[demandKey]*pb.Demand
	deaths        []*pb.ServerDeath
	urgent        bool
	last          time.Duration
	lastDemand    time.Duration
}

type lifeState struct {
	incarnation string
	state       engineapi.State
	order       string
}

func newReportBuffer() reportBuffer {
	return reportBuffer{
		announcements: make(map[string]engineapi.Announcement),
		states:        make(map[string]lifeState),
		demand:        make(map[demandKey]*pb.Demand),
	}
}

// announce keeps the newest word of each server. News (another life, state or
// finished order) makes the report urgent.
func (b *reportBuffer) announce(a engineapi.Announcement, _ time.Duration) {
	next := lifeState{a.Incarnation, a.State, a.LastOrder + "/" + a.RunningOrder}
	if b.states[a.ID] != next {
		b.urgent = true
	}
	if _, known := b.states[a.ID]; known || len(b.states) < maxEarly {
		b.states[a.ID] = next
		b.announcements[a.ID] = a
	}
}

func (b *reportBuffer) death(d *pb.ServerDeath) {
	b.deaths = append(b.deaths, d)
	if over := len(b.deaths) - maxPendingDeaths; over > 0 {
		b.deaths = b.deaths[over:]
	}
	b.urgent = true
}

// offer counts what callers ask for, refused work included: roles are decided
// on what was offered, not on what admission let in.
func (b *reportBuffer) offer(w *decision.Work) {
	d := b.of(w)
	d.Requests++
	if w.Kind == declaration.KindModel {
		d.PrefillTokens += uint64(w.PromptTokens)
		d.DecodeTokens += uint64(w.OutputTokens)
	}
}

func (b *reportBuffer) refused(w *decision.Work) { b.of(w).Refused++ }

func (b *reportBuffer) of(w *decision.Work) *pb.Demand {
	k := demandKey{w.Profile, w.Model}
	if b.demand[k] == nil {
		b.demand[k] = &pb.Demand{Profile: k.profile, Model: k.model}
	}
	return b.demand[k]
}

// again takes back what control may not have got. Demand is left out: counted
// twice it would mislead the decision on roles more than a gap does.
func (b *reportBuffer) again(req *pb.ReportRequest) {
	for _, d := range req.Deaths {
		b.death(d)
	}
	b.urgent = false
}

func (r *Reducer) sendReport() {
	b := &r.report
	due := b.urgent || r.now-b.last >= reportEvery
	demandDue := len(b.demand) > 0 && r.now-b.lastDemand >= demandEvery
	if !due || (len(b.announcements) == 0 && len(b.deaths) == 0 && !demandDue) {
		return
	}
	req := &pb.ReportRequest{ClusterId: r.cfg.Cluster, Entry: r.cfg.Identity, Deaths: b.deaths}
	for _, id := range sortedKeys(b.announcements) {
		req.Announcements = append(req.Announcements, toProto(b.announcements[id]))
	}
	if demandDue {
		req.Demand = b.takeDemand(r.now)
	}
	b.announcements = make(map[string]engineapi.Announcement)
	b.deaths, b.urgent, b.last = nil, false, r.now
	r.emit(Report{Request: req})
}

func (b *reportBuffer) takeDemand(now time.Duration) []*pb.Demand {
	list := make([]*pb.Demand, 0, len(b.demand))
	for _, d := range b.demand {
		d.IntervalMs = uint32((now - b.lastDemand).Milliseconds())
		list = append(list, d)
	}
	slices.SortFunc(list, func(x, y *pb.Demand) int {
		return cmp.Or(cmp.Compare(x.Profile, y.Profile), cmp.Compare(x.Model, y.Model))
	})
	b.demand = make(map[demandKey]*pb.Demand)
	b.lastDemand = now
	return list
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

func toProto(a engineapi.Announcement) *pb.Announcement {
	return &pb.Announcement{
		Server: &pb.BackendServer{
			Id: a.ID, Incarnation: a.Incarnation, Address: a.Address, Region: a.Region,
			DataCentre: a.DataCentre, Kind: protoKind(a.Kind), Services: a.Services,
			Model: a.Model, ModelVersion: a.Version, Adapters: a.Adapters,
			Role: protoRole(a.Role), State: protoState(a.State), Slots: a.Slots,
		},
		Load: &pb.Load{
			Running: a.Load.Running, Queued: a.Load.Queued,
			QueuedPrefillTokens: a.Load.QueuedPrefillTokens,
			RunningDecodeTokens: a.Load.RunningDecodeTokens,
			PrefillRate:         a.Load.PrefillRate, DecodeRate: a.Load.DecodeRate,
			CacheUsed: a.Load.CacheUsed, AgeMs: a.Load.AgeMS,
		},
		OrderId:        a.LastOrder,
		OrderToken:     &pb.FencingToken{Term: a.LastToken.Term, Sequence: a.LastToken.Sequence},
		RunningOrderId: a.RunningOrder,
	}
}

func protoKind(kind string) pb.ServerKind {
	if kind == engineapi.KindPlain {
		return pb.ServerKind_SERVER_KIND_PLAIN
	}
	return pb.ServerKind_SERVER_KIND_MODEL
}

func protoRole(role engineapi.Role) pb.EngineRole {
	switch role {
	case engineapi.RolePrefill:
		return pb.EngineRole_ENGINE_ROLE_PREFILL
	case engineapi.RoleDecode:
		return pb.EngineRole_ENGINE_ROLE_DECODE
	case engineapi.RoleMixed:
		return pb.EngineRole_ENGINE_ROLE_MIXED
	default:
		return pb.EngineRole_ENGINE_ROLE_UNSPECIFIED
	}
}

func protoState(state engineapi.State) pb.ServerState {
	switch state {
	case engineapi.StateLeaving:
		return pb.ServerState_SERVER_STATE_LEAVING
	case engineapi.StateChanging:
		return pb.ServerState_SERVER_STATE_CHANGING
	default:
		return pb.ServerState_SERVER_STATE_SERVING
	}
}
