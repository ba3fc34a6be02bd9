package entry

import (
	"slices"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision/placement"
	"goldcrestseam.dev/goldcrestseam/internal/outcome"
)

const (
	// maxReconnects bounds fresh connections to a server that gives no token: a
	// frozen process still lets its kernel accept connections.
	maxReconnects = 1
	// maxCallAttempts bounds the sends of one idempotent call, so that one call
	// does not use up its profile's budget.
	maxCallAttempts = 3
	// retryPause holds a retry back when the profile's budget is used up.
	// Accepted model work is never cut off for the budget: it waits.
	retryPause = time.Second
	// maxUnrun bounds the sends of a request with HardDeadline that servers don't run:
	// after so many full servers its caller does better to come back than to wait
	// on here, unheard.
	maxUnrun = 3
	// refusedPause keeps work off a server that has just said "not started".
	refusedPause = 100 * time.Millisecond
)

// attemptEnded finishes a request, sends it on or ends it truthfully. Word of
// an older attempt is dropped.
func (r *Reducer) attemptEnded(ev AttemptEnded) {
	q := r.requests[ev.RequestID]
	if q == nil || q.attempt != ev.Attempt || q.server == nil {
		return
	}
	s := q.server
	if ev.AtPrefillServer && q.prefill != nil {
		s = q.prefill
	}
	q.count(ev, s)
	q.arrivals.ended(&ev)
	r.noteEnded(q, ev)
	if ev.Outcome != outcome.NotRun && q.reconnects == 0 {
		q.reached = q.reached || ev.Elapsed >= longAnswerless || s.aliveAt > q.sentAt
	}
	if ev.ServerDied {
		r.serverDied(s, q, ev)
	}
	r.learnEnded(q, ev)
	q.done += ev.Tokens
	q.here += ev.Tokens
	q.got = 0
	r.detach(q)
	q.reserved = nil
	r.decide.observe(r.now, s, ev)
	r.settle(q, s, ev)
	if r.report.urgent {
		r.sendReport()
	}
	r.startWaiting()
}

// count notes whether an attempt may have run, and which server failed it.
func (q *request) count(ev AttemptEnded, s *server) {
	if ev.Outcome == outcome.NotRun {
		q.unrun++
		return
	}
	q.mayHaveRun = true
	q.runs++
	if !ev.Complete {
		q.tried = append(q.tried, s)
	}
}

func (r *Reducer) settle(q *request, s *server, ev AttemptEnded) {
	switch {
	case ev.Complete:
		r.decide.admission.RecordServed(q.work.Profile, q.retryBudget)
		r.suspects.cleared(q)
		r.finish(q)
	case ev.Invalid:
		r.refuse(q, refuseInvalid())
	case q.endsInTime && r.now >= q.work.FinishBy:
		r.refuse(q, refuseTimeout(q))
	case q.endsInTime && !r.anyLeft(q):
		r.refuse(q, refuseNoServer())
	case q.endsInTime && ev.Outcome == outcome.NotRun && r.refuseIfClosed(q):
	case q.endsInTime && q.unrun >= maxUnrun:
		r.refuse(q, refuseNotTaken())
	case r.quarantined(q):
		r.refuse(q, refuseQuarantined())
	case q.attempts >= maxAttempts:
		r.refuse(q, refuseFailed())
	case ev.Outcome != outcome.NotRun && q.repeat == RetryNever:
		r.refuse(q, refuseUnknown())
	case q.maxRuns > 0 && q.runs >= q.maxRuns:
		r.refuse(q, refuseFailed())
	case !ev.Unsent && !r.takeRepeat(q):
		r.refuse(q, refuseRepeats())
	case ev.Outcome == outcome.NotRun:
		r.elsewhere(q, s, ev)
	case q.repeat == RetryAllowed:
		r.retryCall(q, s, ev)
	default:
		r.goOn(q, s, ev)
	}
}

// elsewhere waits for another place after a server did not start the request.
func (r *Reducer) elsewhere(q *request, s *server, ev AttemptEnded) {
	if !ev.ServerDied {
		s.coolUntil = max(s.coolUntil, r.now+refusedPause)
	}
	r.waitAgain(q)
}

// retryCall sends an idempotent call again while the profile's budget lasts.
// Without the budget a slow service would get its load doubled by retries just
// when it is slow.
//
// A server that answered, if only with a failure of its own, is alive and takes
// other requests.
func (r *Reducer) retryCall(q *request, s *server, ev AttemptEnded) {
	if ev.Outcome != outcome.Ran {
		s.fail(r.now)
	}
	if q.attempts >= maxCallAttempts || !r.decide.admission.AllowRetry(q.work.Profile) {
		r.refuse(q, refuseFailed())
		return
	}
	r.waitAgain(q)
}

// goOn resumes model work. A connection can go silent or break while the
// engine goes on: first a fresh connection to it. When that gives no token
// either, or the engine is gone, another engine goes on from the tokens so far.
func (r *Reducer) goOn(q *request, s *server, ev AttemptEnded) {
	gone := ev.ServerDied || ev.StreamUnknown || ev.AtPrefillServer || r.cfg.AbortOnDisconnect
	if !gone && q.reconnects < maxReconnects && s.wants.TrySend(r.now) {
		q.reconnects++
		r.dispatch(q, s, placement.Choice{Reason: "fresh connection"}, true)
		return
	}
	if r.cfg.AbortOnDisconnect && !ev.ServerDied {
		s.fail(r.now)
	}
	if !gone {
		s.fail(r.now)
		r.emit(Cancel{RequestID: q.work.RequestID, Attempt: q.engineAttempt, Address: s.pb.Address})
	}
	q.reconnects = 0
	if !r.decide.admission.AllowRetry(q.work.Profile) {
		q.notBefore = r.now + retryPause
	}
	r.waitAgain(q)
}

// waitAgain lets accepted work wait for another place. Work that has begun is
// held until a server takes it, since its caller holds a part of the answer;
// other work until it can't be finished in time any more.
func (r *Reducer) waitAgain(q *request) {
	q.work.Resumed = q.mayHaveRun && q.repeat == RetryResuming
	q.work.FirstTokenBy = q.work.FinishBy
	q.notBefore = max(q.notBefore, r.now+r.suspects.stagger(q))
	q.waitsSince = max(r.now, q.notBefore)
	if q.notBefore > r.now || r.suspects.onProbation(q) {
		r.held = append(r.held, q)
		return
	}
	r.decide.queue.Push(q.work)
}

// startHeld dispatches held work whose time has come. It stays out of the
// queue, where it would stand in the way of its member's other work.
func (r *Reducer) startHeld() {
	r.held = slices.DeleteFunc(r.held, func(q *request) bool {
		if r.requests[q.work.RequestID] != q {
			return true
		}
		if r.now < q.notBefore {
			return false
		}
		if !r.suspects.onProbation(q) {
			r.decide.queue.Push(q.work)
			return true
		}
		choice, fits := r.place(&q.work)
		if fits {
			r.start(q, choice)
		}
		return fits
	})
}
