package admission

import (
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
)

const (
	// lateAt is the part of its time to the first token that long work may be expected
	// to take before it counts as late: what is expected is low by a third when many
	// entries send at once.
	lateAt = 0.75
	// mayWait is the part of that time which work may wait for others' prompts if that
	// alone does not make it late, lateMayWait if its own prompt does. Without them a prompt
	// that takes longer to read than its target allows is turned away by idle engines, again
	// and again. With half for all, prompts of 17,000 tokens were let in that could have
	// been on time later, and those behind them were late.
	mayWait     = 0.25
	lateMayWait = 0.6
	// minLateRetry and maxLateRetry bound when it may come back: less and it meets the
	// same queue, more and it has no time left to be answered.
	minLateRetry = 500 * time.Millisecond
	maxLateRetry = 2 * time.Second
)

// LateFromBacklog tells whether long work is turned away because others' prompts make it late, and
// when it may come back. before is what it waits for at the best server, own what its own
// prompt takes there.
//
// It answers bursts of long prompts beyond what the engines can read. Queued, all of them
// are late; a part turned away for a second or two leaves the others on time, and comes
// back when the burst is over. What is late by its own length is served: it takes nothing
// from others while little waits, and turned away it would be as late the next time.
func LateFromBacklog(w *decision.Work, before, own time.Duration) (retryAfter time.Duration, late bool) {
	allowed := w.FirstTokenBy - w.Arrived
	most := max(part(allowed, lateAt)-own, part(allowed, mayWait))
	if own > part(allowed, lateAt) {
		most = part(allowed, lateMayWait)
	}
	if before <= most {
		return 0, false
	}
	return min(max(before-most, minLateRetry), maxLateRetry), true
}

func part(of time.Duration, share float64) time.Duration { return time.Duration(float64(of) * share) }
