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
	// Window is the length of a window; zero: nothing is counted.
	Window time.Duration
	// BootUnixTime is the time from the start of 1970 to the boot of the VM, as the wall clock told
	// it when the process began: a clock that is set later moves no count.
	BootUnixTime time.Duration
}

const (
	// usageKeptFor is how long after its end a window is kept, to be told to a new leader.
	usageKeptFor = time.Minute
	// usageSpread spreads the reports after a window's end over time: all entries have one.
	usageSpread = 800 * time.Millisecond
)

// usageBook counts the requests of members that began to run, by window.
//
// Counts are told as sums of this life of the entry, so that a report which comes twice
// counts once; a leader that has none of them is told all that are kept.
type usageBook struct {
	cfg     UsageConfig
	spread  time.Duration
	windows map[int64]*usageCounts
	// term is that of the leader that was told, toldTo the window up to which.
	term   uint64
	toldTo int64
}

type usageCounts struct {
	requests map[string]uint64
	// told is set while the leader has been sent these counts.
	told bool
}

func newUsageBook(cfg UsageConfig, entry string) usageBook {
	return usageBook{
		cfg: cfg, windows: make(map[int64]*usageCounts),
		spread: time.Duration(xxhash.Sum64String(entry) % uint64(usageSpread)),
	}
}

func (b *usageBook) on() bool { return b.cfg.Window > 0 }

func (b *usageBook) windowAt(now time.Duration) int64 {
	return int64((now + b.cfg.BootUnixTime) / b.cfg.Window)
}

// began counts a request of a member.
func (b *usageBook) began(now time.Duration, member string) {
	window := b.windowAt(now)
	c := b.windows[window]
	if c == nil {
		c = &usageCounts{requests: make(map[string]uint64)}
		b.windows[window] = c
		b.forget(window)
	}
	c.requests[member]++
	c.told = false
}

// forget drops windows that ended long before this one.
func (b *usageBook) forget(window int64) {
	kept := int64(usageKeptFor / b.cfg.Window)
	maps.DeleteFunc(b.windows, func(w int64, _ *usageCounts) bool { return w < window-kept })
}

// due tells whether a window has ended that control was not told of as complete.
func (b *usageBook) due(now time.Duration) bool {
	return b.on() && b.windowAt(now-b.spread) > b.toldTo
}

// fill puts into a report what the leader lacks.
func (b *usageBook) fill(now time.Duration, req *pb.ReportRequest) {
	if !b.on() {
		return
	}
	for _, window := range slices.Sorted(maps.Keys(b.windows)) {
		c := b.windows[window]
		if c.told {
			continue
		}
		c.told = true
		req.Usage = append(req.Usage, c.proto(window))
	}
	b.toldTo = b.windowAt(now)
	req.UsageComplete = b.toldTo
}

func (c *usageCounts) proto(window int64) *pb.UsageWindow {
	w := &pb.UsageWindow{Window: window}
	for _, member := range sortedKeys(c.requests) {
		w.Counts = append(w.Counts, &pb.UsageCount{Member: member, Requests: c.requests[member]})
	}
	return w
}

// taken notes who has answered a report. Another leader than before has got only this one.
func (b *usageBook) taken(term uint64) {
	if term != b.term {
		b.term = term
		b.tellAgain()
	}
}

// tellAgain lets the next report tell of all windows that are kept.
func (b *usageBook) tellAgain() {
	for _, c := range b.windows {
		c.told = false
	}
	b.toldTo = 0
}

// noteBegun counts a request for its member once, when it is first seen to have begun.
func (r *Reducer) noteBegun(q *request) {
	if !r.usage.on() || q.counted || q.work.Member == "" {
		return
	}
	q.counted = true
	r.usage.began(r.now, q.work.Member)
}

// noteEnded counts what gave no sign of its beginning: a call that is answered at once.
func (r *Reducer) noteEnded(q *request, ev AttemptEnded) {
	if ev.Complete || ev.Outcome == outcome.Ran {
		r.noteBegun(q)
	}
}
