package entry

import (
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision/placement"
	"goldcrestseam.dev/goldcrestseam/internal/outcome"
)

const (
	// maxReconnects bounds reconnects to a server that delivers no token. The kernel of a frozen
	// process still accepts connections.
	maxReconnects = 1
	// maxCallAttempts bounds the attempts of one idempotent call, so that one call does not use
	// up its profile's retry budget.
	maxCallAttempts = 3
	// retryBackoff delays a retry when the profile's budget is used up. Accepted model work is
	// never failed for the budget: it waits.
	retryBackoff = time.Second
	// maxNotRun bounds the attempts of a request with HardDeadline that servers do not run.
	// After so many full servers its caller does better to retry later than to wait here without
	// an answer.
	maxNotRun = 3
	// notStartedBackoff keeps requests off a server that has just answered that it did not start
	// one.
	notStartedBackoff = 100 * time.Millisecond
)

// attemptEnded finishes a request, sends another attempt or refuses the request. Events of an
// older attempt are dropped.
func (r *Reducer) attemptEnded(ev AttemptEnded) {
	q := r.requests[ev.RequestID]
	if q == nil || q.attempt != ev.Attempt || q.server == nil {
		return
	}
	s := q.server
	if ev.AtPrefillServer && q.prefill != nil {
		s = q.prefill
	}
	q.countOutcome(ev, s)
	switch {
	case ev.NoAnswer:
		s.noAnswer(r.now)
	case ev.Complete || ev.Outcome == outcome.Ran:
		s.aliveAt = r.now
	}
	if ev.Unsent {
		r.returnRetries(q)
	}
	q.deliveries.record(&ev)
	r.countUsageAtEnd(q, ev)
	if ev.started() && q.reconnects == 0 {
		q.acknowledged = q.acknowledged || ev.Elapsed >= assumedStartedAfter || s.aliveAt > q.sentAt
	}
	if ev.ServerDied {
		r.serverDied(s, q, ev)
	}
	if ev.Oversized && r.now >= s.coolUntil {
		s.fail(r.now)
	}
	r.learnFromAttempt(q, ev)
	if ev.Tokens > 0 {
		q.begin()
	}
	if !ev.Complete && ev.Outcome != outcome.NotRun {
		q.trialOf = quarantineKey{}
	}
	q.earlierTokens += ev.Tokens
	q.serverTokens += ev.Tokens
	q.attemptTokens = 0
	r.detach(q)
	q.reserved = nil
	r.decisions.observe(r.now, s, ev)
	if !r.awaitsNotice(q, s, ev) {
		r.resolveAttempt(q, s, ev)
	}
	if r.report.urgent {
		r.sendReport()
	}
	r.dispatchWaiting()
}

// countOutcome records whether the attempt may have run, and which server failed it.
func (q *request) countOutcome(ev AttemptEnded, s *server) {
	if ev.Outcome == outcome.NotRun {
		q.notRunCount++
		return
	}
	q.mayHaveRun = true
	q.runs++
	if !ev.Complete {
		q.failedServers = append(q.failedServers, s.pb.Id)
	}
}

func (r *Reducer) resolveAttempt(q *request, s *server, ev AttemptEnded) {
	switch {
	case ev.Complete:
		r.decisions.admission.RecordServed(q.work.Profile, q.retryBudget)
		r.clearSuspect(q)
		r.finish(q)
	case ev.AnswerBegun:
		r.refuse(q, refuseFailed())
	case ev.Invalid:
		r.refuse(q, refuseInvalid())
	case q.hardDeadline && r.now >= q.work.FinishBy:
		r.refuse(q, refuseTimeout(q))
	case q.hardDeadline && r.stop.ended(r.now):
		r.refuse(q, outcome.Leaving(outcomeOf(q)))
	case (q.hardDeadline || q.work.Origin != nil) && !r.anyCandidate(q):
		r.refuse(q, refuseNoCandidate(q))
	case q.hardDeadline && ev.Outcome == outcome.NotRun && r.refuseIfBlocked(q):
	case q.hardDeadline && q.notRunCount >= maxNotRun:
		r.refuse(q, refuseNotTaken())
	case r.quarantined(q):
		r.refuse(q, refuseQuarantined())
	case q.attempts >= maxAttempts:
		r.refuse(q, refuseFailed())
	case ev.Outcome != outcome.NotRun && q.retry == RetryNever:
		r.refuse(q, refuseUnknown())
	case q.maxRuns > 0 && q.runs >= q.maxRuns:
		r.refuse(q, refuseFailed())
	case !ev.Unsent && !r.hasRetry(q):
		r.outOfRetries(q)
	case ev.Outcome == outcome.NotRun:
		r.retryNotRun(q, s, ev)
	case q.retry == RetryAllowed:
		r.retryCall(q, s, ev)
	default:
		r.resume(q, s, ev)
	}
}

// retryNotRun requeues a request that a server did not start.
func (r *Reducer) retryNotRun(q *request, s *server, ev AttemptEnded) {
	if !ev.ServerDied {
		s.coolUntil = max(s.coolUntil, r.now+notStartedBackoff)
	}
	r.requeue(q)
}

// retryCall sends an idempotent call again while the profile's retry budget lasts. Without the
// budget, retries would double the load of a slow service just when it is slow.
//
// A server that answered, even with its own failure, is alive and takes other requests.
func (r *Reducer) retryCall(q *request, s *server, ev AttemptEnded) {
	if ev.Outcome != outcome.Ran && !ev.Oversized {
		s.fail(r.now)
	}
	if q.attempts >= maxCallAttempts || !r.decisions.admission.AllowRetry(q.work.Profile) {
		r.refuse(q, refuseFailed())
		return
	}
	r.requeue(q)
}

// resume continues model work. A connection can go silent or break while the engine keeps
// working, so the first step is a new connection to the same engine. If that delivers no token
// either, or the engine has died, another engine continues from the tokens received so far.
func (r *Reducer) resume(q *request, s *server, ev AttemptEnded) {
	mustRestart := ev.ServerDied || ev.StreamUnknown || ev.AtPrefillServer || r.cfg.AbortOnDisconnect
	if !mustRestart && q.reconnects < maxReconnects && s.backpressure.TrySend(r.now) {
		q.reconnects++
		r.dispatch(q, s, placement.Choice{Reason: "reconnect to the same server"}, true)
		return
	}
	if r.cfg.AbortOnDisconnect && !ev.ServerDied && !ev.Oversized {
		s.fail(r.now)
	}
	if !mustRestart {
		s.fail(r.now)
		r.emit(Cancel{RequestID: q.work.RequestID, Attempt: q.engineAttempt, Address: s.pb.Address})
	}
	q.reconnects = 0
	if !r.decisions.admission.AllowRetry(q.work.Profile) {
		q.notBefore = r.now + retryBackoff
	}
	r.requeue(q)
}

// requeue lets accepted work wait for another server. Work that has begun is held until a server
// takes it, since its caller already has a part of the answer. Other work waits until it can't
// be finished in time any more.
func (r *Reducer) requeue(q *request) {
	q.work.Resumed = q.mayHaveRun && q.retry == RetryResuming
	q.work.FirstTokenBy = q.work.FinishBy
	q.notBefore = max(q.notBefore, r.now+r.suspects.stagger(q))
	q.waitingSince = max(r.now, q.notBefore)
	if q.notBefore > r.now || r.suspects.runsApart(q) || r.awaitsCalm(q) {
		r.held = append(r.held, q)
		return
	}
	r.decisions.queue.Push(q.work)
}

// dispatchHeld dispatches held work that is due. Held work stays out of the queue, where it
// would block other work of its member.
//
// What can't be started after all is held again, so the list is taken before.
func (r *Reducer) dispatchHeld() {
	held := r.held
	r.held = nil
	for _, q := range held {
		switch {
		case r.requests[q.work.RequestID] != q:
		case r.now < q.notBefore || r.awaitsAnyVerdict(q) || r.awaitsCalm(q):
			r.held = append(r.held, q)
		case !r.suspects.runsApart(q):
			r.decisions.queue.Push(q.work)
		default:
			r.startSuspect(q)
		}
	}
}

// startSuspect starts a request on probation, or holds it until a server fits.
func (r *Reducer) startSuspect(q *request) {
	choice, fits := r.place(&q.work)
	if !fits {
		r.held = append(r.held, q)
		return
	}
	r.start(q, choice)
}
