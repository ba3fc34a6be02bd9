package admission

import (
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
)

const (
	// lateThreshold is the fraction of its time to the first token that a request may be
	// expected to take before it counts as late. The expectation is too low by a third when
	// many entries send at once.
	lateThreshold = 0.75
	// minWaitShare is the fraction of that time that a request may always wait for others'
	// prompts, longPromptWaitShare the fraction if its own prompt alone takes longer than
	// lateThreshold allows. Without them, idle engines would refuse a prompt that takes longer
	// to prefill than its target again and again. With a half in both cases, prompts of 17,000
	// tokens are admitted that could be in time later, and those behind them are late.
	minWaitShare        = 0.25
	longPromptWaitShare = 0.6
	// Bounds of the Retry-After time: with less the caller finds the same queue, with more it
	// has no time left for an answer.
	minLateRetryAfter = 500 * time.Millisecond
	maxLateRetryAfter = 2 * time.Second
)

// LateFromBacklog reports whether a request is refused because others' prompts make it late,
// and when its caller should retry. backlogTime is its wait at the best server, ownPrefill
// the time that its own prompt takes there.
//
// It handles bursts of long prompts beyond what the engines can prefill. If all were queued,
// all would be late. If a part is refused for a second or two, the rest are in time, and the
// refused ones return when the burst is over. A request that is late only because of its own
// length is served: it delays no others while little waits, and a retry would be just as
// late.
func LateFromBacklog(w *decision.Work, backlogTime, ownPrefill time.Duration) (retryAfter time.Duration, late bool) {
	target := w.FirstTokenBy - w.Arrived
	maxWait := max(scaled(target, lateThreshold)-ownPrefill, scaled(target, minWaitShare))
	if ownPrefill > scaled(target, lateThreshold) {
		maxWait = scaled(target, longPromptWaitShare)
	}
	if backlogTime <= maxWait {
		return 0, false
	}
	return min(max(backlogTime-maxWait, minLateRetryAfter), maxLateRetryAfter), true
}

func scaled(d time.Duration, share float64) time.Duration { return time.Duration(float64(d) * share) }
