package entry

import (
	"slices"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
	"goldcrestseam.dev/goldcrestseam/internal/decision/placement"
	"goldcrestseam.dev/goldcrestseam/internal/outcome"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// dispatchWaiting dispatches the waiting requests for which placement finds a server.
func (r *Reducer) dispatchWaiting() {
	r.dispatchHeld()
	for {
		var choice placement.Choice
		w, ok := r.decisions.queue.Pop(r.now, func(w *decision.Work) bool {
			var fits bool
			choice, fits = r.place(w)
			return fits
		})
		if !ok {
			return
		}
		q := r.requests[w.RequestID]
		if r.awaitsCalm(q) {
			// It came into doubt while it waited.
			r.held = append(r.held, q)
			continue
		}
		if refusal := r.refuseIfLate(q, choice); refusal != nil {
			r.refuse(q, refusal, append(choice.Figures, Figure{Name: "first_seconds", Value: choice.FirstTokenSeconds})...)
			continue
		}
		r.start(q, choice)
	}
}

// start carries out a placement choice, provided the request's caller is still authorized. If
// the decoding engine is not chosen again after a separate prefill, the engine of this choice
// decodes.
func (r *Reducer) start(q *request, choice placement.Choice) {
	if refusal := r.authorize(q); refusal != nil {
		r.refuse(q, refusal)
		return
	}
	if r.tooLateToSend(q) {
		r.refuse(q, outcome.Leaving(outcomeOf(q)))
		return
	}
	if r.suspects.byKey[q.key()].inDoubt() {
		prefillThere(q, &choice, "a request in doubt goes to one server only")
	}
	if !r.takeRetriesFor(q, &choice) {
		r.outOfRetries(q)
		return
	}
	if !r.takePermits(q, &choice) {
		r.returnRetries(q)
		r.log(LogWait, q, choice.Server.ID, "the server has no permit left or asked for a back-off", nil)
		r.requeue(q)
		return
	}
	r.decisions.picker.RecordSent(r.now, &q.work, choice)
	if !r.cfg.AbortOnDisconnect {
		r.decisions.picker.RecordCached(r.now, choice.Server.ID, &q.work)
	}
	r.dispatch(q, r.servers.byID[choice.Server.ID], choice, false)
}

func (r *Reducer) place(w *decision.Work) (placement.Choice, bool) {
	q := r.requests[w.RequestID]
	fleet := r.fleet(q)
	r.countBlocked(w)
	return r.decisions.picker.Pick(r.now, w, &fleet)
}

// dispatch sends an attempt to a server.
//
// With a separate prefill the attempt takes no slot at the decoding engine, which is chosen
// again once the prompt is prefilled. If it were counted at both engines, requests that are
// still being prefilled would count as filling engines with few slots, and other requests would
// wait although a slot is free.
func (r *Reducer) dispatch(q *request, s *server, choice placement.Choice, reconnect bool) {
	r.sharedFleet = nil
	q.attempt++
	q.attempts++
	q.attemptTokens = 0
	q.deliveries.separatePrefill = choice.Prefill != nil
	if !reconnect {
		q.engineAttempt = q.attempt
		q.serverTokens = 0
		q.acknowledged, q.sentAt = false, r.now
	}
	q.server = s
	if choice.Prefill == nil {
		s.running = append(s.running, q.work.RequestID)
	}
	s.cache.usedAt = r.now
	contextTokens := q.work.PromptTokens + q.earlierTokens
	q.prefillTokens = contextTokens
	q.prefilling = choice.Server != nil
	if choice.Server != nil {
		q.prefillTokens, q.tokensAhead = choice.UncachedTokens+q.earlierTokens, choice.TokensAhead
	}
	tokens := decision.RequestTokens{Prefill: q.prefillTokens, Decode: q.decodeLeft(), KV: contextTokens + q.decodeLeft()}
	if choice.Prefill != nil {
		tokens.Prefill = 0
	}
	s.sentSinceReport = append(s.sentSinceReport, sentWork{r.now, tokens})
	s.averageWork.add(tokens)
	if choice.Prefill == nil {
		s.sends.add(r.now)
	}
	d := Dispatch{
		RequestID: q.work.RequestID, Attempt: q.attempt, EngineAttempt: q.engineAttempt, Server: s.pb.Id,
		Incarnation: s.pb.Incarnation, Address: s.pb.Address, Version: s.pb.SoftwareVersion, Pool: s.origin().Pool,
		Reconnect: reconnect,
		Member:    q.work.Member, Rank: q.work.Rank,
	}
	if choice.FetchFrom != nil {
		d.FetchAddress = choice.FetchFrom.Address
	}
	if choice.Prefill != nil {
		p := r.sendPrefill(q, choice)
		d.PrefillServer, d.PrefillIncarnation, d.PrefillAddress = p.pb.Id, p.pb.Incarnation, p.pb.Address
		d.PrefillVersion = p.pb.SoftwareVersion
	}
	r.markSent(s)
	if q.prefilling {
		r.countPrefillChange(q)
	}
	r.emit(d)
	r.logDispatch(q, s, &choice)
}

// sendPrefill records the prefill at the engine that does it for another engine.
func (r *Reducer) sendPrefill(q *request, choice placement.Choice) *server {
	p := r.servers.byID[choice.Prefill.ID]
	q.prefill = p
	p.running = append(p.running, q.work.RequestID)
	p.cache.usedAt = r.now
	tokens := decision.RequestTokens{Prefill: q.prefillTokens, KV: q.work.PromptTokens + q.earlierTokens}
	p.sentSinceReport = append(p.sentSinceReport, sentWork{r.now, tokens})
	p.averageWork.add(tokens)
	p.sends.add(r.now)
	return p
}

// logDispatch logs a dispatch with the figures that the decision was based on.
func (r *Reducer) logDispatch(q *request, s *server, choice *placement.Choice) {
	source, ages := r.loadSource(s)
	figures := append(append(choice.Figures, ages...), r.limitFigures(s)...)
	r.logWithSource(source, LogRoute, q, s.pb.Id, choice.Reason, append(figures,
		Figure{Name: "attempt", Value: float64(q.attempt)},
		Figure{Name: "retries", Value: float64(q.deliveries.taken)},
		Figure{Name: "prompt_tokens", Value: float64(q.work.PromptTokens)},
		Figure{Name: "unread_tokens", Value: float64(q.prefillTokens)},
		Figure{Name: "fetches", Value: boolFigure(choice.FetchFrom != nil)},
		Figure{Name: "tokens_before", Value: choice.TokensAhead},
		Figure{Name: "first_seconds", Value: choice.FirstTokenSeconds},
		Figure{Name: "peers_known", Value: r.peers.knownFraction(r)},
		Figure{Name: "output_tokens", Value: float64(q.work.OutputTokens)},
		Figure{Name: "reported_running", Value: float64(s.load.Running)},
		Figure{Name: "reported_waiting", Value: float64(s.load.Queued)},
		Figure{Name: "done_tokens", Value: float64(q.earlierTokens)},
		Figure{Name: "waited_ms", Value: float64((r.now - q.waitingSince).Milliseconds())}))
}

// loadSource tells where the knowledge of a server's load comes from, with the age of each
// report. A report that never came has no age.
func (r *Reducer) loadSource(s *server) (string, []Figure) {
	var ages []Figure
	source := SourceNone
	if s.reportedAt > 0 {
		source = SourceAnswers
		ages = append(ages, Figure{Name: "report_age_ms", Value: float64((r.now - s.reportedAt).Milliseconds())})
	}
	age, known := r.peers.reports.OldestAge(r.now)
	if !known || s.pb.Kind != pb.ServerKind_SERVER_KIND_MODEL {
		return source, ages
	}
	source = SourcePeers
	if r.peers.group.isGroupMember() {
		source = SourceAggregator
	}
	return source, append(ages, Figure{Name: "peers_age_ms", Value: float64(age.Milliseconds())})
}

// boolFigure returns 1 for true and 0 for false.
func boolFigure(yes bool) float64 {
	if yes {
		return 1
	}
	return 0
}

// detach removes the request from its servers.
func (r *Reducer) detach(q *request) {
	r.sharedFleet = nil
	if q.prefilling {
		r.countPrefillChange(q)
	}
	for _, s := range []*server{q.server, q.prefill} {
		if s != nil {
			s.running = slices.DeleteFunc(s.running, func(id string) bool { return id == q.work.RequestID })
			r.peers.changePending = r.peers.changePending || s.pb.Kind == pb.ServerKind_SERVER_KIND_MODEL
		}
	}
	q.server, q.prefill = nil, nil
}

func (r *Reducer) progress(ev AttemptProgress) {
	q := r.requests[ev.RequestID]
	if q == nil || q.attempt != ev.Attempt || q.server == nil {
		return
	}
	q.mayHaveRun, q.acknowledged = true, true
	q.server.aliveAt = r.now
	if ev.Tokens > q.attemptTokens {
		r.countUsage(q)
		q.begin()
		r.prefillFinished(q)
		r.notePartProgress(q, q.serverTokens+ev.Tokens)
		q.attemptTokens, q.reconnects = ev.Tokens, 0
		if r.suspects.progressed(q) {
			r.dispatchWaiting()
		}
	}
}
