// Package admission decides at once whether a request is let in.
//
// It answers the load patterns of saturation (offered work beyond what a fixed
// fleet can do) and of a few callers that take most of the load. The wait that
// a request would have is estimated from the prefill and decode tokens that wait
// and run ahead of it and from the servers' own rates; a request that can't meet
// its deadline is refused in the same instant, with when to come back.
//
// Without it every request waits, all of them are answered too late, and a
// caller learns after the deadline what was known on arrival. A member is held
// only to the wait that its own work causes beyond its fair share, so that one
// member's burst refuses that member's requests and no other's.
//
// docs/design/admission.md has the ways weighed and the figures.
package admission

import (
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
	"goldcrestseam.dev/goldcrestseam/internal/decision/queue"
	"goldcrestseam.dev/goldcrestseam/internal/outcome"
)

// Verdict says whether work is let in.
type Verdict struct {
	Admit bool
	// Code is set on a refusal: CodeDeadline, CodeOverloaded or CodeNoServer.
	Code outcome.Code
	// RetryAfter is when to come back, set on a refusal.
	RetryAfter time.Duration
	// Wait is the estimated wait until a server starts on it.
	Wait    time.Duration
	Reason  string
	Figures []decision.Figure
}

// Controller is not safe for concurrent use; the reducer's goroutine owns it.
type Controller struct {
	budgets map[string]*budget
	members *memberUse
}

// New gives a controller without history.
func New() *Controller {
	return &Controller{budgets: make(map[string]*budget), members: newMemberUse()}
}

// Admit decides on new work. queued is what waits at this entry.
func (c *Controller) Admit(now time.Duration, w *decision.Work, fleet *decision.Fleet, queued *queue.Summary) Verdict {
	if w.Resumed {
		return Verdict{Admit: true, Reason: "accepted before"}
	}
	if b := boundedFor(w, fleet); b.servers > 0 {
		return b.judge(now, w, fleet.Entries, queued)
	}
	supply := supplyFor(now, w, fleet)
	if supply.servers == 0 {
		return refuse(outcome.CodeNoServer, noServerRetry, "no backend server for it", nil)
	}
	e := c.estimate(now, w, fleet, &supply, queued)
	v := judge(now, w, &e)
	if v.Admit {
		c.members.add(now, w)
	}
	return v
}

// noServerRetry is when to come back when there is no server at all: engines
// restart or change role within about this time.
const noServerRetry = 5 * time.Second

// judge holds the estimate against the deadlines.
func judge(now time.Duration, w *decision.Work, e *estimate) Verdict {
	figures := e.figures()
	firstSlack := w.FirstTokenBy - now - e.wait - e.prefill
	finishSlack := w.FinishBy - now - e.wait - e.prefill - e.decode
	slack := min(firstSlack, finishSlack)
	if w.SoftFirstTokenDeadline {
		slack = finishSlack
	}
	if slack >= 0 {
		return Verdict{Admit: true, Wait: e.wait, Reason: "fits its deadline", Figures: figures}
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

// Bounds of RetryAfter. Less than a second and refused callers are load of
// their own; more than a minute and they miss the end of the burst.
const (
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
)

// retryAfter is when the missing time will have been worked off, spread over
// half as long again by request id: callers that were refused together must not
// come back together.
func retryAfter(w *decision.Work, missing time.Duration) time.Duration {
	base := min(max(missing, minRetryAfter), maxRetryAfter)
	return base + time.Duration(float64(base)*spread(w.RequestID)/2)
}

// spread gives a number from 0 to 1 that only depends on the id (FNV-1a).
func spread(id string) float64 {
	hash := uint32(2166136261)
	for i := range len(id) {
		hash = (hash ^ uint32(id[i])) * 16777619
	}
	return float64(hash>>8) / (1 << 24)
}
