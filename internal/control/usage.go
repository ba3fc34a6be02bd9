package control

import (
	"log/slog"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

const (
	// maxUsagePending bounds the windows that are decided and not taken: an hour of windows
	// of five seconds. The oldest is given up first.
	maxUsagePending = 720
	// maxUsageAhead is by how many windows an entry's clock may be ahead of the leader's.
	maxUsageAhead = 12
	// usageGather is how long a new leader lets entries tell it what the one before knew:
	// more than the time between two of their reports.
	usageGather = 2500 * time.Millisecond
	// usageSendReserve is how long before a report is due its window is decided, whoever is
	// missing: for the log, and for some tries of the call.
	usageSendReserve = 4 * time.Second
)

// UsageConfig says how members' usage is accounted for.
type UsageConfig struct {
	// Window is the length of a window; zero: nothing is accounted for.
	Window time.Duration
	// ReportDelay is how long after the end of a window its report is due.
	ReportDelay time.Duration
}

// usage is the replicated part: which windows are decided, and what is to be reported.
type usage struct {
	// decided is the last window whose content stands, zero for none.
	decided int64
	// pending are decided and not known to have been taken, in order.
	pending []*pb.UsageWindow
}

// apply settles windows and forgets those that were taken.
//
// Failure: two leaders, one after the other, report one window with the counts that each of
// them has heard. The first content that stands in the log is the only one that is sent.
func (u *usage) apply(update *pb.UsageUpdate) {
	for _, w := range update.GetDecided() {
		if w.GetWindow() <= u.decided {
			continue
		}
		u.decided = w.GetWindow()
		u.pending = append(u.pending, w)
	}
	u.pending = slices.DeleteFunc(u.pending, func(w *pb.UsageWindow) bool {
		return slices.Contains(update.GetTaken(), w.GetWindow())
	})
	if over := len(u.pending) - maxUsagePending; over > 0 {
		u.pending = slices.Delete(u.pending, 0, over)
	}
}

// usageLead is what only a leader keeps of usage.
type usageLead struct {
	// first is the window that this leader began in.
	first int64
	// heard are the counts of windows that are not decided, by the life of an entry.
	heard map[int64]map[string]*pb.UsageWindow
	// complete is the window up to which each entry's counts are whole, by its life.
	complete map[string]int64
	// proposing is set while a decision is on its way through the log.
	proposing bool
}

func newUsageLead() usageLead {
	return usageLead{heard: make(map[int64]map[string]*pb.UsageWindow), complete: make(map[string]int64)}
}

func lifeOf(id *pb.EntryIdentity) string { return id.GetName() + "/" + id.GetIncarnation() }

// onUsage takes an entry's counts. They are sums of its life, so that the larger one counts.
func (r *Reducer) onUsage(req *pb.ReportRequest) {
	if req.GetUsageComplete() == 0 || r.cfg.Duties.Usage.Window <= 0 {
		return
	}
	l, life := &r.lead.usage, lifeOf(req.GetEntry())
	ahead := r.usageWindow(r.wall()) + maxUsageAhead
	for _, w := range req.GetUsage() {
		if w.GetWindow() > ahead {
			r.log(slog.LevelWarn, "usage of a window that is far ahead dropped",
				Field{"entry", req.GetEntry().GetName()}, Field{"window", w.GetWindow()})
			continue
		}
		if w.GetWindow() <= r.state.usage.decided {
			r.logLateUsage(req.GetEntry().GetName(), w)
			continue
		}
		byLife := l.heard[w.GetWindow()]
		if byLife == nil {
			byLife = make(map[string]*pb.UsageWindow)
			l.heard[w.GetWindow()] = byLife
		}
		if requestsIn(w) >= requestsIn(byLife[life]) {
			byLife[life] = w
		}
	}
	l.complete[life] = max(l.complete[life], req.GetUsageComplete())
}

// logLateUsage tells of counts that came after their window was decided, unless a leader
// before may have had them.
func (r *Reducer) logLateUsage(entry string, w *pb.UsageWindow) {
	if w.GetWindow() < r.lead.usage.first {
		return
	}
	r.log(slog.LevelWarn, "usage came after its window was decided", Field{"entry", entry},
		Field{"window", w.GetWindow()}, Field{"requests", requestsIn(w)})
}

func requestsIn(w *pb.UsageWindow) uint64 {
	sum := uint64(0)
	for _, c := range w.GetCounts() {
		sum += c.GetRequests()
	}
	return sum
}

// driveUsage decides the windows that have ended, and reports what is decided.
func (r *Reducer) driveUsage() {
	if r.cfg.Duties.Usage.Window <= 0 {
		return
	}
	current := r.usageWindow(r.wall())
	if r.lead.usage.first == 0 || !r.membersDeclared() {
		r.lead.usage.first = current
	}
	r.decideUsage(current)
	for _, w := range r.state.usage.pending {
		r.callDuty(DutyCall{Duty: DutyUsage, Subject: usageSubject(w.GetWindow()), Usage: w})
	}
}

func (r *Reducer) usageWindow(wallMS int64) int64 {
	return wallMS / r.cfg.Duties.Usage.Window.Milliseconds()
}

func (r *Reducer) membersDeclared() bool {
	parsed := r.state.declared.parsed
	return parsed != nil && len(parsed.Members) > 0
}

// decideUsage puts the content of ended windows into the log, one after the other.
func (r *Reducer) decideUsage(current int64) {
	l := &r.lead.usage
	if l.proposing || r.now < r.lead.since+usageGather {
		return
	}
	next := max(r.state.usage.decided+1, current-maxUsagePending)
	if r.state.usage.decided == 0 {
		next = l.first
	}
	update := &pb.UsageUpdate{}
	for ; next < current && r.usageReady(next); next++ {
		update.Decided = append(update.Decided, l.sum(next))
		delete(l.heard, next)
	}
	if len(update.Decided) > 0 {
		r.proposeUsage(update)
		l.forgetGone(r.state)
	}
}

// forgetGone forgets how far entries had told whose lives are over.
func (l *usageLead) forgetGone(s *State) {
	living := make(map[string]bool, len(s.entries))
	for _, e := range s.entries {
		living[lifeOf(e.info.GetIdentity())] = true
	}
	maps.DeleteFunc(l.complete, func(life string, _ int64) bool { return !living[life] })
}

func (r *Reducer) proposeUsage(update *pb.UsageUpdate) {
	l := &r.lead.usage
	l.proposing = true
	for _, w := range update.Decided {
		r.log(slog.LevelInfo, "usage decided", Field{"window", w.GetWindow()},
			Field{"members", len(w.GetCounts())}, Field{"requests", requestsIn(w)})
	}
	r.propose(&pb.Command{Op: &pb.Command_Usage{Usage: update}}, func(proto.Message, bool) { l.proposing = false })
}

// usageReady tells whether all living entries have told all of a window, or no time is left
// to wait for them.
func (r *Reducer) usageReady(window int64) bool {
	cfg := r.cfg.Duties.Usage
	ended := time.Duration(r.wall())*time.Millisecond - time.Duration(window+1)*cfg.Window
	if ended >= cfg.ReportDelay-usageSendReserve {
		return true
	}
	for _, e := range r.state.entries {
		if r.lead.usage.complete[lifeOf(e.info.GetIdentity())] <= window {
			return false
		}
	}
	return true
}

// sum adds the entries' counts of a window up, in order of member.
func (l *usageLead) sum(window int64) *pb.UsageWindow {
	sums := make(map[string]uint64)
	for _, w := range l.heard[window] {
		for _, c := range w.GetCounts() {
			sums[c.GetMember()] += c.GetRequests()
		}
	}
	out := &pb.UsageWindow{Window: window}
	for _, member := range slices.Sorted(maps.Keys(sums)) {
		out.Counts = append(out.Counts, &pb.UsageCount{Member: member, Requests: sums[member]})
	}
	return out
}

// usageTaken forgets a window whose report was taken, on all replicas.
func (r *Reducer) usageTaken(window int64) {
	r.propose(&pb.Command{Op: &pb.Command_Usage{Usage: &pb.UsageUpdate{Taken: []int64{window}}}}, func(proto.Message, bool) {})
}
