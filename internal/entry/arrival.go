package entry

import (
	"slices"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
	"goldcrestseam.dev/goldcrestseam/internal/decision/placement"
	"goldcrestseam.dev/goldcrestseam/internal/outcome"
)

// arrived refuses at once or takes a request on. The same event twice is the
// same request.
func (r *Reducer) arrived(ev RequestArrived) {
	id := ev.Work.RequestID
	if r.requests[id] != nil {
		return
	}
	if !ev.Work.Resumed {
		r.report.offer(&ev.Work)
	}
	q := &request{
		work: ev.Work, repeat: ev.Retry, caller: callerOf(&ev), fingerprint: ev.Fingerprint, retryBudget: ev.RetryBudget,
		attempt: ev.Attempt, done: ev.Offset, waitsSince: r.now,
		maxRuns: ev.MaxRuns, endsInTime: ev.HardDeadline, aim: ev.Work.FirstTokenBy,
	}
	q.work.EngineSpeed = r.speeds.paceOf(r.servers.sorted, &q.work)
	r.extra.RecordArrival(r.now, ev.Work.Service)
	r.miss(&q.work)
	if ev.Attempt > 0 {
		q.attempt = (ev.Attempt/attemptHop + 1) * attemptHop
		q.engineAttempt = ev.Attempt
		q.mayHaveRun = true
	}
	if refusal, figures := r.turnAway(q); refusal != nil {
		r.report.refused(&ev.Work)
		r.refuse(q, refusal, figures...)
		return
	}
	r.requests[id] = q
	if s := r.servers.life(ev.Server, ev.Incarnation); s != nil && s.wants.TrySend(r.now) {
		r.dispatch(q, s, placement.Choice{Reason: "goes on where it runs"}, true)
		return
	}
	if r.suspected(q) {
		q.notBefore = r.now + suspectWait
		q.waitsSince = q.notBefore
		r.held = append(r.held, q)
		return
	}
	r.decide.queue.Push(q.work)
	r.startWaiting()
	if q.server == nil && r.requests[id] == q {
		r.log(LogWait, q, "", "no server has room", []Figure{{Name: "waiting", Value: float64(r.decide.queue.Len())}})
	}
}

// turnAway gives the refusal for a request that is not taken on, or nil, with the
// figures that admission decided on.
func (r *Reducer) turnAway(q *request) (*outcome.Refusal, []Figure) {
	switch {
	case r.view.declaration == nil:
		return outcome.NoConfiguration(), nil
	case r.closed(q):
		return refuseLeaving(), nil
	}
	if refusal := r.authorize(q); refusal != nil {
		return refusal, nil
	}
	switch {
	case r.quarantined(q):
		return refuseQuarantined(), nil
	case len(r.requests) >= r.cfg.MaxStreams:
		return refuseFull(), nil
	}
	fleet := r.fleet(q)
	if r.stale() && !anyServesInTime(&fleet, &q.work) {
		return refuseStale(), nil
	}
	return r.decide.admit(r.now, &q.work, &fleet)
}

func anyServes(fleet *decision.Fleet, w *decision.Work) bool {
	return slices.ContainsFunc(fleet.Servers, func(s decision.Server) bool { return s.Serves(w) })
}

func anyServesInTime(fleet *decision.Fleet, w *decision.Work) bool {
	return slices.ContainsFunc(fleet.Servers, func(s decision.Server) bool { return s.ServesNowOrLater(w) })
}
