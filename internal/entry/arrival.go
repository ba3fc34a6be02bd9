package entry

import (
	"slices"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
	"goldcrestseam.dev/goldcrestseam/internal/decision/placement"
	"goldcrestseam.dev/goldcrestseam/internal/outcome"
)

// requestArrived either refuses a request at once or accepts it. A repeated event for the same
// request is ignored.
func (r *Reducer) requestArrived(ev RequestArrived) {
	id := ev.Work.RequestID
	if r.requests[id] != nil {
		return
	}
	if !ev.Work.Resumed {
		r.report.countDemand(&ev.Work)
	}
	q := &request{
		work: ev.Work, retry: ev.Retry, caller: callerOf(&ev), fingerprint: ev.Fingerprint, retryBudget: ev.RetryBudget,
		attempt: ev.Attempt, earlierTokens: ev.Offset, waitingSince: r.now,
		maxRuns: ev.MaxRuns, hardDeadline: ev.HardDeadline, forwarded: ev.Forwarded, originalFirstTokenBy: ev.Work.FirstTokenBy,
	}
	q.work.EngineSpeed = r.speeds.fastestSpeed(r.servers.sorted, &q.work)
	if !ev.Forwarded {
		r.retryLimit.RecordArrival(r.now, ev.Work.Service)
	}
	r.countBlockedArrival(&q.work)
	if ev.Attempt > 0 {
		q.attempt = (ev.Attempt/attemptStride + 1) * attemptStride
		q.engineAttempt = ev.Attempt
		q.mayHaveRun = true
		q.deliveries.called = true
	}
	r.tryPartAgain(q)
	if refusal, figures := r.admit(q); refusal != nil {
		r.report.countRefused(&ev.Work)
		r.refuse(q, refusal, figures...)
		return
	}
	r.requests[id] = q
	if s := r.servers.incarnation(ev.Server, ev.Incarnation); s != nil && r.mayGoOn(q, s) && s.backpressure.TrySend(r.now) {
		r.dispatch(q, s, placement.Choice{Reason: "resumes on the server that runs it"}, true)
		return
	}
	if r.recentlySuspected(q) || r.suspects.runsApart(q) || r.awaitsAnyVerdict(q) || r.awaitsCalm(q) {
		q.notBefore = r.now + suspectStartDelay
		q.waitingSince = q.notBefore
		r.held = append(r.held, q)
		return
	}
	r.decisions.queue.Push(q.work)
	r.dispatchWaiting()
	if q.server == nil && r.requests[id] == q {
		r.log(LogWait, q, "", "no server has capacity", []Figure{{Name: "waiting", Value: float64(r.decisions.queue.Len())}})
	}
}

// admit returns the refusal of a request that is not accepted, or nil, with the figures that
// admission control based it on.
func (r *Reducer) admit(q *request) (*outcome.Refusal, []Figure) {
	switch {
	case r.view.declaration == nil:
		return outcome.NoConfiguration(), nil
	case r.stop.Refuses(r.now, q.lastsUntil(), q.forwarded):
		return outcome.Leaving(outcome.NotRun), nil
	}
	if refusal := r.authorize(q); refusal != nil {
		return refusal, nil
	}
	switch {
	case r.quarantined(q):
		return refuseQuarantined(), nil
	case len(r.requests) >= r.cfg.MaxStreams:
		return refuseFull(), nil
	case !q.work.Resumed && r.lateness.Refuses(len(r.requests)):
		return refuseBusy(), []Figure{
			{Name: "late_ms", Value: float64(r.lateness.Least().Milliseconds())},
			{Name: "requests", Value: float64(len(r.requests))},
		}
	}
	fleet := r.fleet(q)
	if r.stale() && !anyServesInTime(&fleet, &q.work) {
		return refuseStale(), nil
	}
	if !r.stale() && r.originGone(q) {
		return refuseOriginGone(), nil
	}
	return r.decisions.admit(r.now, &q.work, &fleet)
}

func anyServes(fleet *decision.Fleet, w *decision.Work) bool {
	return slices.ContainsFunc(fleet.Servers, func(s decision.Server) bool { return s.Serves(w) })
}

func anyServesInTime(fleet *decision.Fleet, w *decision.Work) bool {
	return slices.ContainsFunc(fleet.Servers, func(s decision.Server) bool { return s.ServesNowOrLater(w) })
}
