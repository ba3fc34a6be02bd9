package entry

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"goldcrestseam.dev/goldcrestseam/internal/outcome"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// UsageConfig says how usage is counted.
type UsageConfig struct {
	// Window is the length of a counting window. If zero, nothing is counted.
	Window time.Duration
	// BootUnixTime is the time from the Unix epoch to the boot of the VM, by the wall clock at
	// the start of the process. A later adjustment of the clock does not shift any count.
	BootUnixTime time.Duration
}

const (
	// usageRetention is how long after its end a window is kept, so that a new leader can get
	// it.
	usageRetention = time.Minute
	// usageReportJitter spreads the reports after the end of a window over time, since the
	// window ends for all entries at once.
	usageReportJitter = 800 * time.Millisecond
)

// usageCounter counts the requests of members that began to run, by window.
//
// Counts are reported as sums over this incarnation of the entry, so that a repeated report
// counts once. A leader that has none of them gets all that are kept.
type usageCounter struct {
	cfg     UsageConfig
	jitter  time.Duration
	windows map[int64]*usageCounts
	// term is that of the leader that got the last report, reportedTo is the window up to which
	// counts were reported.
	term       uint64
	reportedTo int64
}

type usageCounts struct {
	requests map[string]uint64
	// reported is set while the leader has been sent these counts.
	reported bool
}

func newUsageCounter(cfg UsageConfig, entry string) usageCounter {
	return usageCounter{
		cfg: cfg, windows: make(map[int64]*usageCounts),
		jitter: time.Duration(xxhash.Sum64String(entry) % uint64(usageReportJitter)),
	}
}

func (u *usageCounter) enabled() bool { return u.cfg.Window > 0 }

func (u *usageCounter) windowAt(now time.Duration) int64 {
	return int64((now + u.cfg.BootUnixTime) / u.cfg.Window)
}

// count adds a request of a member.
func (u *usageCounter) count(now time.Duration, member string) {
	window := u.windowAt(now)
	c := u.windows[window]
	if c == nil {
		c = &usageCounts{requests: make(map[string]uint64)}
		u.windows[window] = c
		u.forget(window)
	}
	c.requests[member]++
	c.reported = false
}

// forget drops windows that ended long before this one.
func (u *usageCounter) forget(window int64) {
	kept := int64(usageRetention / u.cfg.Window)
	maps.DeleteFunc(u.windows, func(w int64, _ *usageCounts) bool { return w < window-kept })
}

// due reports whether a window has ended that was not reported as complete.
func (u *usageCounter) due(now time.Duration) bool {
	return u.enabled() && u.windowAt(now-u.jitter) > u.reportedTo
}

// fill adds to a report what the leader lacks.
func (u *usageCounter) fill(now time.Duration, req *pb.ReportRequest) {
	if !u.enabled() {
		return
	}
	for _, window := range slices.Sorted(maps.Keys(u.windows)) {
		c := u.windows[window]
		if c.reported {
			continue
		}
		c.reported = true
		req.Usage = append(req.Usage, c.proto(window))
	}
	u.reportedTo = u.windowAt(now)
	req.UsageComplete = u.reportedTo
}

func (c *usageCounts) proto(window int64) *pb.UsageWindow {
	w := &pb.UsageWindow{Window: window}
	for _, member := range sortedKeys(c.requests) {
		w.Counts = append(w.Counts, &pb.UsageCount{Member: member, Requests: c.requests[member]})
	}
	return w
}

// acknowledged records which leader answered a report. A new leader has received only this
// report.
func (u *usageCounter) acknowledged(term uint64) {
	if term != u.term {
		u.term = term
		u.resendAll()
	}
}

// resendAll makes the next report contain all windows that are kept.
func (u *usageCounter) resendAll() {
	for _, c := range u.windows {
		c.reported = false
	}
	u.reportedTo = 0
}

// countUsage counts a request for its member once, when it is first seen to have begun.
func (r *Reducer) countUsage(q *request) {
	if !r.usage.enabled() || q.usageCounted || q.work.Member == "" {
		return
	}
	q.usageCounted = true
	r.usage.count(r.now, q.work.Member)
}

// countUsageAtEnd counts a request that showed no earlier sign of having begun, such as a call
// that is answered at once.
func (r *Reducer) countUsageAtEnd(q *request, ev AttemptEnded) {
	if ev.Complete || ev.Outcome == outcome.Ran {
		r.countUsage(q)
	}
}
