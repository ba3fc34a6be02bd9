package entry

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
	"goldcrestseam.dev/goldcrestseam/internal/declaration"
	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
	"goldcrestseam.dev/goldcrestseam/internal/wire"
)

const (
	// reportEvery paces what is not urgent: heartbeats and demand. Each call
	// costs some 700 bytes of headers, of the 3 KB/s that control may cost a
	// node. Three entries hear each server, and control's lease is 5 s, so that
	// two reports of the same server may be lost.
	reportEvery = 2 * time.Second
	// changingEvery paces the announcements of servers that carry out an order
	// or leave: control waits for their word with an engine out of use.
	changingEvery = 250 * time.Millisecond
	// maxPendingDeaths bounds deaths that control has not taken yet.
	maxPendingDeaths = 256
)

type demandKey struct{ profile, model string }

// reportBuffer collects what control is to be told.
type reportBuffer struct {
	announcements map[string]engineapi.Announcement
	told          toldTable
	demand        map[demandKey]*pb.Demand
	deaths        []*pb.ServerDeath
	// urgent asks for a report now, changing for one soon.
	urgent     bool
	changing   bool
	last       time.Duration
	lastDemand time.Duration
}

func newReportBuffer() reportBuffer {
	return reportBuffer{
		announcements: make(map[string]engineapi.Announcement),
		told:          newToldTable(),
		demand:        make(map[demandKey]*pb.Demand),
	}
}

// announce keeps the newest word of each server. News (another life, state or
// finished order) makes the report urgent; a server that the view shows out of
// use is reported soon.
func (b *reportBuffer) announce(a engineapi.Announcement, shown *pb.BackendServer) {
	if !b.told.seen(a) {
		return
	}
	b.announcements[a.ID] = a
	b.urgent = b.urgent || b.told.news(a)
	b.changing = b.changing || !heartbeatServes(a, shown)
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

// failed takes back what control may not have got. Demand is left out: counted
// twice it would mislead the decision on roles more than a gap does.
func (b *reportBuffer) failed(req *pb.ReportRequest) {
	for _, d := range req.Deaths {
		b.death(d)
	}
	for _, a := range req.Announcements {
		b.told.forget(a.GetServer().GetId())
	}
	b.urgent, b.changing = false, true
}

func (b *reportBuffer) due(now time.Duration) bool {
	waited := now - b.last
	return b.urgent || waited >= reportEvery || b.changing && waited >= changingEvery
}

func (b *reportBuffer) empty() bool {
	return len(b.announcements) == 0 && len(b.deaths) == 0 && len(b.demand) == 0
}

func (r *Reducer) sendReport() {
	b := &r.report
	usage := r.usage.due(r.now)
	if !usage && (!b.due(r.now) || b.empty()) {
		return
	}
	req := &pb.ReportRequest{ClusterId: r.cfg.Cluster, Entry: r.cfg.Identity, Deaths: b.deaths}
	for _, id := range sortedKeys(b.announcements) {
		r.addAnnouncement(req, b.announcements[id])
	}
	if r.now-b.lastDemand >= reportEvery {
		req.Demand = b.takeDemand(r.now)
	}
	r.usage.fill(r.now, req)
	b.announcements = make(map[string]engineapi.Announcement)
	b.deaths, b.urgent, b.changing, b.last = nil, false, false, r.now
	r.emit(Report{Request: req})
}

// addAnnouncement tells of a server in full, or by a heartbeat when control has
// all that it says already.
func (r *Reducer) addAnnouncement(req *pb.ReportRequest, a engineapi.Announcement) {
	full := toProto(a)
	var shown *pb.BackendServer
	if s := r.servers.life(a.ID, a.Incarnation); s != nil {
		shown = s.pb
	}
	if heartbeatServes(a, shown) && r.report.told.whole(full) {
		req.Heartbeats = append(req.Heartbeats, &pb.Heartbeat{
			Server: a.ID, IncarnationHash: xxhash.Sum64String(a.Incarnation), Load: full.Load,
		})
		return
	}
	r.report.told.sent(full)
	req.Announcements = append(req.Announcements, full)
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
			DataCentre: a.DataCentre, Kind: wire.KindProto(a.Kind), Services: a.Services,
			Model: a.Model, ModelVersion: a.Version, Adapters: a.Adapters,
			Role: wire.RoleProto(a.Role), State: wire.StateProto(a.State), Slots: a.Slots,
		},
		Load: &pb.Load{
			Running: a.Load.Running, Queued: a.Load.Queued,
			QueuedPrefillTokens: a.Load.QueuedPrefillTokens,
			RunningDecodeTokens: a.Load.RunningDecodeTokens,
			PrefillRate:         a.Load.PrefillRate, DecodeRate: a.Load.DecodeRate,
			CacheUsed: a.Load.CacheUsed, AgeMs: a.Load.AgeMS,
		},
		OrderId:        a.LastOrder,
		OrderToken:     wire.TokenProto(a.LastToken),
		RunningOrderId: a.RunningOrder,
	}
}
