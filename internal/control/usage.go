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
	// maxUsagePending bounds the windows that are decided but not reported: one hour of
	// five-second windows. The oldest is dropped first.
	maxUsagePending = 720
	// maxUsageAhead is how many windows an entry's clock may be ahead of the leader's.
	maxUsageAhead = 12
	// usageGatherTime is how long a new leader collects entries' counts before it decides a
	// window: more than the interval between two of their reports.
	usageGatherTime = 2500 * time.Millisecond
	// usageReportReserve is how long before its report is due a window is decided even if
	// entries are missing. It leaves time for the commit and for some retries of the call.
	usageReportReserve = 4 * time.Second
)

// UsageConfig configures the accounting of members' usage.
type UsageConfig struct {
	// Window is the length of an accounting window; zero disables accounting.
	Window time.Duration
	// ReportDelay is how long after the end of a window its report is due.
	ReportDelay time.Duration
}

// usageState is the replicated part: which windows are decided, and which are still to be
// reported.
type usageState struct {
	// decided is the last window with final counts, zero for none.
	decided int64
	// pending holds the decided windows that are not known to be reported, in order.
	pending []*pb.UsageWindow
}

// apply records decided windows and removes those that were reported.
//
// Failure: two successive leaders report the same window with the different counts that
// each of them received. Only the first counts in the log are ever reported.
func (u *usageState) apply(update *pb.UsageUpdate) {
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

// leaderUsage is the leader's in-memory state of usage accounting.
type leaderUsage struct {
	// firstWindow is the window in which this leadership began, or in which members were
	// first declared.
	firstWindow int64
	// counts holds the counts of undecided windows, by the entry's incarnation.
	counts map[int64]map[string]*pb.UsageWindow
	// completeBefore is the window before which an entry's counts are complete, by the
	// entry's incarnation.
	completeBefore map[string]int64
	// proposing is set while a decision is being replicated.
	proposing bool
}

func newLeaderUsage() leaderUsage {
	return leaderUsage{counts: make(map[int64]map[string]*pb.UsageWindow), completeBefore: make(map[string]int64)}
}

func incarnationKey(id *pb.EntryIdentity) string { return id.GetName() + "/" + id.GetIncarnation() }

// onUsage records an entry's counts. They are cumulative for the entry's incarnation, so
// the larger count wins.
func (r *Reducer) onUsage(req *pb.ReportRequest) {
	if req.GetUsageComplete() == 0 || r.cfg.Duties.Usage.Window <= 0 {
		return
	}
	l, key := &r.lead.usage, incarnationKey(req.GetEntry())
	newest := r.usageWindow(r.wall()) + maxUsageAhead
	for _, w := range req.GetUsage() {
		if w.GetWindow() > newest {
			r.log(slog.LevelWarn, "usage dropped: its window is too far ahead of the clock",
				Field{"entry", req.GetEntry().GetName()}, Field{"window", w.GetWindow()})
			continue
		}
		if w.GetWindow() <= r.state.usage.decided {
			r.logLateUsage(req.GetEntry().GetName(), w)
			continue
		}
		byEntry := l.counts[w.GetWindow()]
		if byEntry == nil {
			byEntry = make(map[string]*pb.UsageWindow)
			l.counts[w.GetWindow()] = byEntry
		}
		if totalRequests(w) >= totalRequests(byEntry[key]) {
			byEntry[key] = w
		}
	}
	l.completeBefore[key] = max(l.completeBefore[key], req.GetUsageComplete())
}

// logLateUsage logs counts that arrived after their window was decided, unless an earlier
// leader may have received them.
func (r *Reducer) logLateUsage(entry string, w *pb.UsageWindow) {
	if w.GetWindow() < r.lead.usage.firstWindow {
		return
	}
	r.log(slog.LevelWarn, "usage arrived after its window was decided", Field{"entry", entry},
		Field{"window", w.GetWindow()}, Field{"requests", totalRequests(w)})
}

func totalRequests(w *pb.UsageWindow) uint64 {
	sum := uint64(0)
	for _, c := range w.GetCounts() {
		sum += c.GetRequests()
	}
	return sum
}

// processUsage decides the windows that have ended and reports the decided ones.
func (r *Reducer) processUsage() {
	if r.cfg.Duties.Usage.Window <= 0 {
		return
	}
	current := r.usageWindow(r.wall())
	if r.lead.usage.firstWindow == 0 || !r.membersDeclared() {
		r.lead.usage.firstWindow = current
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

// decideUsage proposes the counts of ended windows in order.
func (r *Reducer) decideUsage(current int64) {
	l := &r.lead.usage
	if l.proposing || r.now < r.lead.startedAt+usageGatherTime {
		return
	}
	next := max(r.state.usage.decided+1, current-maxUsagePending)
	if r.state.usage.decided == 0 {
		next = l.firstWindow
	}
	update := &pb.UsageUpdate{}
	for ; next < current && r.usageReady(next); next++ {
		update.Decided = append(update.Decided, l.sum(next))
		delete(l.counts, next)
	}
	if len(update.Decided) > 0 {
		r.proposeUsage(update)
		l.forgetRemovedEntries(r.state)
	}
}

// forgetRemovedEntries removes the progress of entry incarnations that no longer exist.
func (l *leaderUsage) forgetRemovedEntries(s *State) {
	present := make(map[string]bool, len(s.entries))
	for _, e := range s.entries {
		present[incarnationKey(e.info.GetIdentity())] = true
	}
	maps.DeleteFunc(l.completeBefore, func(key string, _ int64) bool { return !present[key] })
}

func (r *Reducer) proposeUsage(update *pb.UsageUpdate) {
	l := &r.lead.usage
	l.proposing = true
	for _, w := range update.Decided {
		r.log(slog.LevelInfo, "usage decided", Field{"window", w.GetWindow()},
			Field{"members", len(w.GetCounts())}, Field{"requests", totalRequests(w)})
	}
	r.propose(&pb.Command{Op: &pb.Command_Usage{Usage: update}}, func(proto.Message, bool) { l.proposing = false })
}

// usageReady reports whether all live entries have reported all counts of a window, or no
// time is left to wait for them.
func (r *Reducer) usageReady(window int64) bool {
	cfg := r.cfg.Duties.Usage
	ended := time.Duration(r.wall())*time.Millisecond - time.Duration(window+1)*cfg.Window
	if ended >= cfg.ReportDelay-usageReportReserve {
		return true
	}
	for _, e := range r.state.entries {
		if r.lead.usage.completeBefore[incarnationKey(e.info.GetIdentity())] <= window {
			return false
		}
	}
	return true
}

// sum adds up the entries' counts of a window, ordered by member.
func (l *leaderUsage) sum(window int64) *pb.UsageWindow {
	sums := make(map[string]uint64)
	for _, w := range l.counts[window] {
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

// onUsageAccepted removes a window whose report was accepted, on all replicas.
func (r *Reducer) onUsageAccepted(window int64) {
	r.propose(&pb.Command{Op: &pb.Command_Usage{Usage: &pb.UsageUpdate{Taken: []int64{window}}}}, func(proto.Message, bool) {})
}
