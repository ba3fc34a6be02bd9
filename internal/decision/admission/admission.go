// Package admission decides on arrival whether a request is admitted.
//
// It handles saturation, where more work is offered than a fixed fleet can do, and a few
// callers that send most of the load. It estimates a request's wait from the prefill and
// decode tokens that wait and run ahead of it and from the servers' own rates. A request
// that can't meet its deadline is refused at once, with a Retry-After time.
//
// Without admission every request waits, all are answered too late, and a caller learns
// after the deadline what was known on arrival. A member is held only to the wait that its
// own work causes beyond its fair share, so a member's burst causes refusals for that member
// and for no other.
//
// docs/design/admission.md has the alternatives and the measurements.
package admission

import (
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
	"goldcrestseam.dev/goldcrestseam/internal/decision/queue"
	"goldcrestseam.dev/goldcrestseam/internal/outcome"
)

// Verdict says whether a request is admitted.
type Verdict struct {
	Admit bool
	// Code is set on a refusal: CodeDeadline, CodeOverloaded or CodeNoServer.
	Code outcome.Code
	// RetryAfter is set on a refusal: when the caller should retry.
	RetryAfter time.Duration
	// Wait is the estimated time until a server starts on the request.
	Wait    time.Duration
	Reason  string
	Figures []decision.Figure
}

// Controller is not safe for concurrent use; the reducer's goroutine owns it.
type Controller struct {
	retryBuckets map[string]*retryBucket
	usage        *memberUsage
}

// New returns a controller without history.
func New() *Controller {
	return &Controller{retryBuckets: make(map[string]*retryBucket), usage: newMemberUsage()}
}

// Admit decides on a new request. queued sums up what waits at this entry.
func (c *Controller) Admit(now time.Duration, w *decision.Work, fleet *decision.Fleet, queued *queue.Summary) Verdict {
	if w.Resumed {
		return Verdict{Admit: true, Reason: "resumed request"}
	}
	if throttled := throttledServersFor(w, fleet); throttled.servers > 0 {
		return throttled.admit(now, w, fleet.Entries, queued)
	}
	capacity := capacityFor(now, w, fleet)
	if capacity.servers == 0 {
		return refuse(outcome.CodeNoServer, noServerRetryAfter, "no backend server for it", nil)
	}
	e := c.estimate(now, w, fleet, &capacity, queued)
	v := checkDeadlines(now, w, &e)
	if v.Admit {
		c.usage.add(now, w)
	}
	return v
}

// noServerRetryAfter is the Retry-After time when there is no server at all: an engine
// restarts or changes role within about this time.
const noServerRetryAfter = 5 * time.Second

// checkDeadlines compares the estimate with the request's deadlines.
func checkDeadlines(now time.Duration, w *decision.Work, e *estimate) Verdict {
	figures := e.figures()
	firstSlack := w.FirstTokenBy - now - e.wait - e.prefill
	finishSlack := w.FinishBy - now - e.wait - e.prefill - e.decode
	slack := min(firstSlack, finishSlack)
	if w.SoftFirstTokenDeadline {
		slack = finishSlack
	}
	if slack >= 0 {
		return Verdict{Admit: true, Wait: e.wait, Reason: "meets its deadline", Figures: figures}
	}
	if e.wait == 0 {
		v := refuse(outcome.CodeDeadline, retryAfter(w, -slack), "too long for its deadline even without a wait", figures)
		return v
	}
	code, reason := outcome.CodeDeadline, "the wait is beyond its deadline"
	if e.overShare {
		code, reason = outcome.CodeOverloaded, "the member is over its share and the wait is beyond its deadline"
	}
	v := refuse(code, retryAfter(w, -slack), reason, figures)
	v.Wait = e.wait
	return v
}

func refuse(code outcome.Code, after time.Duration, reason string, figures []decision.Figure) Verdict {
	return Verdict{Code: code, RetryAfter: after, Reason: reason, Figures: figures}
}

// Bounds of RetryAfter. If it is less than a second, the retries of refused callers are a
// load of their own; if it is more than a minute, callers stay away after the burst has
// ended.
const (
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
)

// retryAfter returns the missing time, in which the servers work off as much backlog, plus up
// to half of it depending on the request ID: callers that are refused together must not retry
// together.
func retryAfter(w *decision.Work, missing time.Duration) time.Duration {
	base := min(max(missing, minRetryAfter), maxRetryAfter)
	return base + time.Duration(float64(base)*spreadFraction(w.RequestID)/2)
}

// spreadFraction maps an ID to a number from 0 to 1 (FNV-1a).
func spreadFraction(id string) float64 {
	hash := uint32(2166136261)
	for i := range len(id) {
		hash = (hash ^ uint32(id[i])) * 16777619
	}
	return float64(hash>>8) / (1 << 24)
}
