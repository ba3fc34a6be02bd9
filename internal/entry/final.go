package entry

import (
	"goldcrestseam.dev/goldcrestseam/internal/outcome"
)

func (r *Reducer) callerDisconnected(ev CallerDisconnected) {
	q := r.requests[ev.RequestID]
	if q == nil {
		return
	}
	r.noteLeft(q)
	if q.server != nil && q.retry == RetryResuming && !r.cfg.AbortOnDisconnect {
		r.emit(Cancel{RequestID: ev.RequestID, Attempt: q.engineAttempt, Address: q.server.pb.Address, Delay: cancelGrace})
	}
	r.finish(q)
	r.dispatchWaiting()
}

// deadlineExpired refuses a request whose deadline has passed, or that the end of a planned stop has ended, in whatever
// state it is.
func (r *Reducer) deadlineExpired(ev DeadlineExpired) {
	if q := r.requests[ev.RequestID]; q != nil {
		if r.now < q.work.FinishBy && r.stop.ended(r.now) {
			r.refuse(q, outcome.Leaving(outcomeOf(q)))
			return
		}
		r.refuse(q, refuseTimeout(q))
		r.dispatchWaiting()
	}
}

// finish emits the final effect of a request that is not refused.
func (r *Reducer) finish(q *request) {
	r.removeRequest(q)
	r.emit(Finish{RequestID: q.work.RequestID})
}

// refuse gives the final answer. A refusal may be correct for the part of this entry and still
// wrong for the request as a whole: a resumed request has run elsewhere before, and "not run"
// would invite its caller to execute it twice.
func (r *Reducer) refuse(q *request, refusal *outcome.Refusal, figures ...Figure) {
	refusal.Outcome = outcomeOf(q)
	r.removeRequest(q)
	r.emit(Refuse{RequestID: q.work.RequestID, Refusal: refusal, ServersSilent: r.anySilent(q)})
	r.log(LogRefuse, q, "", string(refusal.Code), append([]Figure{
		{Name: "status", Value: float64(refusal.Status)},
		{Name: "retry_after_s", Value: refusal.RetryAfter.Seconds()},
		{Name: "attempts", Value: float64(q.attempts)},
		{Name: "waiting", Value: float64(r.decisions.queue.Len())},
		{Name: "view_age_ms", Value: float64((r.now - r.view.leaseUntil + maxLease).Milliseconds())},
	}, figures...))
}

func (r *Reducer) removeRequest(q *request) {
	r.abandonTrial(q)
	r.detach(q)
	r.decisions.queue.Remove(q.work.RequestID)
	delete(r.requests, q.work.RequestID)
}

// expireWaiting refuses requests that can't be answered in time any more.
func (r *Reducer) expireWaiting() {
	for _, w := range r.decisions.queue.Expire(r.now) {
		if q := r.requests[w.RequestID]; q != nil {
			r.refuse(q, refuseLate())
		}
	}
	if r.now-r.lastExpiry >= second {
		r.lastExpiry = r.now
		r.expireHeld()
	}
}

// expireHeld refuses accepted work that waits outside of the queue, or that the queue keeps
// indefinitely. Work whose caller has a part of the answer may wait once more for as long as its
// profile allows. Without the bound, a caller that disconnected unnoticed would leave its
// request here forever.
func (r *Reducer) expireHeld() {
	for _, id := range sortedKeys(r.requests) {
		q := r.requests[id]
		end := q.work.FinishBy
		if q.work.Resumed && !q.hardDeadline {
			end = max(end, q.waitingSince) + max(end-q.work.Arrived, minResumedWait)
		}
		if q.server == nil && r.now >= end {
			r.refuse(q, refuseLate())
		}
	}
}
