package entry

import (
	"goldcrestseam.dev/goldcrestseam/internal/outcome"
)

func (r *Reducer) callerGone(ev CallerDisconnected) {
	q := r.requests[ev.RequestID]
	if q == nil {
		return
	}
	if q.server != nil && q.repeat == RetryResuming && !r.cfg.AbortOnDisconnect {
		r.emit(Cancel{RequestID: ev.RequestID, Attempt: q.engineAttempt, Address: q.server.pb.Address, Delay: cancelGrace})
	}
	r.finish(q)
	r.startWaiting()
}

// timeUp gives a request whose time has run out its final answer, wherever it is.
func (r *Reducer) timeUp(ev DeadlineExpired) {
	if q := r.requests[ev.RequestID]; q != nil {
		r.refuse(q, refuseTimeout(q))
		r.startWaiting()
	}
}

// finish gives the final effect of a request that is not refused.
func (r *Reducer) finish(q *request) {
	r.forget(q)
	r.emit(Finish{RequestID: q.work.RequestID})
}

// refuse gives the final answer. A refusal that is true of this entry's part may
// be wrong of the whole: a resumed request has run elsewhere before, and "not
// run" would let its caller send once more what was done already.
func (r *Reducer) refuse(q *request, refusal *outcome.Refusal, figures ...Figure) {
	refusal.Outcome = outcomeOf(q)
	r.forget(q)
	r.emit(Refuse{RequestID: q.work.RequestID, Refusal: refusal})
	r.log(LogRefuse, q, "", string(refusal.Code), append([]Figure{
		{Name: "status", Value: float64(refusal.Status)},
		{Name: "retry_after_s", Value: refusal.RetryAfter.Seconds()},
		{Name: "attempts", Value: float64(q.attempts)},
		{Name: "waiting", Value: float64(r.decide.queue.Len())},
		{Name: "view_age_ms", Value: float64((r.now - r.view.leaseUntil + maxLease).Milliseconds())},
	}, figures...))
}

func (r *Reducer) forget(q *request) {
	r.detach(q)
	r.decide.queue.Remove(q.work.RequestID)
	delete(r.requests, q.work.RequestID)
}

// expireWaiting ends what can't be answered in time any more.
func (r *Reducer) expireWaiting() {
	for _, w := range r.decide.queue.Expire(r.now) {
		if q := r.requests[w.RequestID]; q != nil {
			r.refuse(q, refuseLate())
		}
	}
	if r.now-r.lastExpiry >= second {
		r.lastExpiry = r.now
		r.expireHeld()
	}
}

// expireHeld ends accepted work that waits outside of the queue or that the
// queue keeps without end. Work whose caller holds a part of the answer may wait
// for as long again as its profile allows, and no longer: a caller whose
// connection is gone unnoticed would leave it here for ever.
func (r *Reducer) expireHeld() {
	for _, id := range sortedKeys(r.requests) {
		q := r.requests[id]
		end := q.work.FinishBy
		if q.work.Resumed && !q.endsInTime {
			end = max(end, q.waitsSince) + max(end-q.work.Arrived, minResumedWait)
		}
		if q.server == nil && r.now >= end {
			r.refuse(q, refuseLate())
		}
	}
}
