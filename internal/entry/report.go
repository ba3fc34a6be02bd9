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
	// reportInterval is the interval of reports without urgent content, such as heartbeats and
	// demand. Each call costs some 700 bytes of headers, out of the 3 KB/s that the control
	// plane may cost a node. Each server announces to three entries and control's lease is 5 s,
	// so that two reports of the same server may be lost.
	reportInterval = 2 * time.Second
	// changingReportInterval is the report interval for servers that carry out an order or
	// leave. Control waits for their announcements while the engine is out of use.
	changingReportInterval = 250 * time.Millisecond
	// maxPendingDeaths bounds the crashes that control has not acknowledged yet.
	maxPendingDeaths = 256
)

type demandKey struct{ profile, model string }

// reportBuffer collects what is to be reported to control.
type reportBuffer struct {
	announcements map[string]engineapi.Announcement
	sent          sentTable
	demand        map[demandKey]*pb.Demand
	deaths        []*pb.ServerDeath
	// alive are servers of which a death was reported, cleared are suspects with a whole answer.
	alive   []*pb.ServerDeath
	cleared []*pb.Quarantine
	// urgent requests a report at once, changing requests one soon.
	urgent       bool
	changing     bool
	lastReportAt time.Duration
	lastDemandAt time.Duration
}

func newReportBuffer() reportBuffer {
	return reportBuffer{
		announcements: make(map[string]engineapi.Announcement),
		sent:          newSentTable(),
		demand:        make(map[demandKey]*pb.Demand),
	}
}

// announce keeps the newest announcement of each server. A change of incarnation, state or order
// makes the report urgent. A server that the view does not show as serving is reported soon.
func (b *reportBuffer) announce(a engineapi.Announcement, inView *pb.BackendServer) {
	if !b.sent.hasRoom(a) {
		return
	}
	b.announcements[a.ID] = a
	b.urgent = b.urgent || b.sent.observe(a)
	b.changing = b.changing || !heartbeatSuffices(a, inView)
}

func (b *reportBuffer) death(d *pb.ServerDeath) {
	b.deaths = append(b.deaths, d)
	if excess := len(b.deaths) - maxPendingDeaths; excess > 0 {
		b.deaths = b.deaths[excess:]
	}
	b.urgent = true
}

// boundPending drops the oldest of what takes charges back. What control keeps then expires there.
func (b *reportBuffer) boundPending() {
	b.alive = b.alive[max(0, len(b.alive)-maxPendingDeaths):]
	b.cleared = b.cleared[max(0, len(b.cleared)-maxPendingDeaths):]
}

// countDemand counts what callers ask for, including refused work: role decisions depend on the
// offered load and not on the admitted load.
func (b *reportBuffer) countDemand(w *decision.Work) {
	d := b.demandFor(w)
	d.Requests++
	if w.Kind == declaration.KindModel {
		d.PrefillTokens += uint64(w.PromptTokens)
		d.DecodeTokens += uint64(w.OutputTokens)
	}
}

func (b *reportBuffer) countRefused(w *decision.Work) { b.demandFor(w).Refused++ }

func (b *reportBuffer) demandFor(w *decision.Work) *pb.Demand {
	k := demandKey{w.Profile, w.Model}
	if b.demand[k] == nil {
		b.demand[k] = &pb.Demand{Profile: k.profile, Model: k.model}
	}
	return b.demand[k]
}

// failed restores what control may not have received. Demand is left out: counted twice, it
// would mislead the role decision more than a gap does.
func (b *reportBuffer) failed(req *pb.ReportRequest) {
	for _, d := range req.Deaths {
		b.death(d)
	}
	b.alive, b.cleared = append(b.alive, req.Alive...), append(b.cleared, req.Cleared...)
	b.boundPending()
	for _, a := range req.Announcements {
		b.sent.forget(a.GetServer().GetId())
	}
	b.urgent, b.changing = false, true
}

func (b *reportBuffer) due(now time.Duration) bool {
	waited := now - b.lastReportAt
	return b.urgent || waited >= reportInterval || b.changing && waited >= changingReportInterval
}

func (b *reportBuffer) empty() bool {
	return len(b.announcements) == 0 && len(b.deaths) == 0 && len(b.demand) == 0 && len(b.alive) == 0 && len(b.cleared) == 0
}

func (r *Reducer) sendReport() {
	b := &r.report
	usage := r.usage.due(r.now)
	if !usage && (!b.due(r.now) || b.empty()) {
		return
	}
	req := &pb.ReportRequest{ClusterId: r.cfg.Cluster, Entry: r.cfg.Identity, Deaths: b.deaths, Alive: b.alive, Cleared: b.cleared}
	for _, id := range sortedKeys(b.announcements) {
		r.addAnnouncement(req, b.announcements[id])
	}
	if r.now-b.lastDemandAt >= reportInterval {
		req.Demand = b.takeDemand(r.now)
	}
	r.usage.fill(r.now, req)
	b.announcements = make(map[string]engineapi.Announcement)
	b.deaths, b.alive, b.cleared = nil, nil, nil
	b.urgent, b.changing, b.lastReportAt = false, false, r.now
	r.emit(Report{Request: req})
}

// addAnnouncement reports a server in full, or by a heartbeat if control already has the same
// announcement.
func (r *Reducer) addAnnouncement(req *pb.ReportRequest, a engineapi.Announcement) {
	full := toProto(a)
	var inView *pb.BackendServer
	if s := r.servers.incarnation(a.ID, a.Incarnation); s != nil {
		inView = s.pb
	}
	if heartbeatSuffices(a, inView) && r.report.sent.controlHas(full) {
		req.Heartbeats = append(req.Heartbeats, &pb.Heartbeat{
			Server: a.ID, IncarnationHash: xxhash.Sum64String(a.Incarnation), Load: full.Load,
		})
		return
	}
	r.report.sent.recordSent(full)
	req.Announcements = append(req.Announcements, full)
}

func (b *reportBuffer) takeDemand(now time.Duration) []*pb.Demand {
	list := make([]*pb.Demand, 0, len(b.demand))
	for _, d := range b.demand {
		d.IntervalMs = uint32((now - b.lastDemandAt).Milliseconds())
		list = append(list, d)
	}
	slices.SortFunc(list, func(x, y *pb.Demand) int {
		return cmp.Or(cmp.Compare(x.Profile, y.Profile), cmp.Compare(x.Model, y.Model))
	})
	b.demand = make(map[demandKey]*pb.Demand)
	b.lastDemandAt = now
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
			SoftwareVersion: a.SoftwareVersion,
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
