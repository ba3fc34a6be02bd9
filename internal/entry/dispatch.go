package entry

import (
	"slices"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
	"goldcrestseam.dev/goldcrestseam/internal/decision/placement"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// startWaiting dispatches what waits and finds a place.
func (r *Reducer) startWaiting() {
	r.startHeld()
	for {
		var choice placement.Choice
		w, ok := r.decide.queue.Pop(r.now, func(w *decision.Work) bool {
			var fits bool
			choice, fits = r.place(w)
			return fits
		})
		if !ok {
			return
		}
		q := r.requests[w.RequestID]
		if refusal := r.turnLateAway(q, choice); refusal != nil {
			r.refuse(q, refusal, append(choice.Figures, Figure{Name: "first_seconds", Value: choice.FirstTokenSeconds})...)
			continue
		}
		r.start(q, choice)
	}
}

// start carries a choice out, if the request's caller may still make it. Where the decoding
// engine is not chosen anew after the prefill, it is the one of the choice.
func (r *Reducer) start(q *request, choice placement.Choice) {
	if refusal := r.authorize(q); refusal != nil {
		r.refuse(q, refusal)
		return
	}
	if !r.payRepeats(q, &choice) {
		r.refuse(q, refuseRepeats())
		return
	}
	if !r.pass(q, &choice) {
		r.log(LogWait, q, choice.Server.ID, "the server takes no more now", nil)
		r.waitAgain(q)
		return
	}
	r.decide.picker.RecordSent(r.now, &q.work, choice)
	if !r.cfg.AbortOnDisconnect {
		r.decide.picker.RecordCached(r.now, choice.Server.ID, &q.work)
	}
	r.dispatch(q, r.servers.byID[choice.Server.ID], choice, false)
}

func (r *Reducer) place(w *decision.Work) (placement.Choice, bool) {
	q := r.requests[w.RequestID]
	fleet := r.fleet(q)
	r.seek(w)
	return r.decide.picker.Pick(r.now, w, &fleet)
}

// dispatch sends an attempt to a server.
//
// Where another engine reads the prompt it takes no place at the one that is to decode it,
// which is chosen anew once it is read. Counted at both, requests that were still being read
// filled engines of few places by the count, and all others waited for a place that was free.
func (r *Reducer) dispatch(q *request, s *server, choice placement.Choice, reconnect bool) {
	r.sharedFleet = nil
	q.attempt++
	q.attempts++
	q.got = 0
	q.arrivals.apart = choice.Prefill != nil
	if !reconnect {
		q.engineAttempt = q.attempt
		q.here = 0
		q.reached, q.sentAt = false, r.now
	}
	q.server = s
	if choice.Prefill == nil {
		s.running = append(s.running, q.work.RequestID)
	}
	s.cache.usedAt = r.now
	context := q.work.PromptTokens + q.done
	q.unread = context
	q.reading = choice.Server != nil
	if choice.Server != nil {
		q.unread, q.before = choice.UncachedTokens+q.done, choice.TokensAhead
	}
	tokens := decision.RequestTokens{Prefill: q.unread, Decode: q.decodeLeft(), KV: context + q.decodeLeft()}
	if choice.Prefill != nil {
		tokens.Prefill = 0
	}
	s.since = append(s.since, sentWork{r.now, tokens})
	s.usual.add(tokens)
	if choice.Prefill == nil {
		s.sends.add(r.now)
	}
	d := Dispatch{
		RequestID: q.work.RequestID, Attempt: q.attempt, EngineAttempt: q.engineAttempt, Server: s.pb.Id,
		Incarnation: s.pb.Incarnation, Address: s.pb.Address, Reconnect: reconnect,
		Member: q.work.Member, Rank: q.work.Rank,
	}
	if choice.FetchFrom != nil {
		d.FetchAddress = choice.FetchFrom.Address
	}
	if choice.Prefill != nil {
		p := r.sendPrefill(q, choice)
		d.PrefillServer, d.PrefillIncarnation, d.PrefillAddress = p.pb.Id, p.pb.Incarnation, p.pb.Address
	}
	r.noteSent(s)
	if q.reading {
		r.noteReading(q)
	}
	r.emit(d)
	r.logDispatch(q, s, &choice)
}

// sendPrefill notes the prefill at the engine that does it for another one.
func (r *Reducer) sendPrefill(q *request, choice placement.Choice) *server {
	p := r.servers.byID[choice.Prefill.ID]
	q.prefill = p
	p.running = append(p.running, q.work.RequestID)
	p.cache.usedAt = r.now
	reading := decision.RequestTokens{Prefill: q.unread, KV: q.work.PromptTokens + q.done}
	p.since = append(p.since, sentWork{r.now, reading})
	p.usual.add(reading)
	p.sends.add(r.now)
	return p
}

// logDispatch writes the line of a dispatch with the figures that it was decided on.
func (r *Reducer) logDispatch(q *request, s *server, choice *placement.Choice) {
	source, ages := r.loadSource(s)
	figures := append(append(choice.Figures, ages...), r.limitFigures(s)...)
	r.logFrom(source, LogRoute, q, s.pb.Id, choice.Reason, append(figures,
		Figure{Name: "attempt", Value: float64(q.attempt)},
		Figure{Name: "prompt_tokens", Value: float64(q.work.PromptTokens)},
		Figure{Name: "unread_tokens", Value: float64(q.unread)},
		Figure{Name: "fetches", Value: yesNo(choice.FetchFrom != nil)},
		Figure{Name: "tokens_before", Value: choice.TokensAhead},
		Figure{Name: "first_seconds", Value: choice.FirstTokenSeconds},
		Figure{Name: "peers_known", Value: r.peers.known(r)},
		Figure{Name: "output_tokens", Value: float64(q.work.OutputTokens)},
		Figure{Name: "reported_running", Value: float64(s.load.Running)},
		Figure{Name: "reported_waiting", Value: float64(s.load.Queued)},
		Figure{Name: "done_tokens", Value: float64(q.done)},
		Figure{Name: "waited_ms", Value: float64((r.now - q.waitsSince).Milliseconds())}))
}

// loadSource tells from where the load of a server is known, with the ages of what was heard;
// what never was has none.
func (r *Reducer) loadSource(s *server) (string, []Figure) {
	var ages []Figure
	source := SourceNone
	if s.reportedAt > 0 {
		source = SourceAnswers
		ages = append(ages, Figure{Name: "report_age_ms", Value: float64((r.now - s.reportedAt).Milliseconds())})
	}
	age, known := r.peers.heard.OldestAge(r.now)
	if !known || s.pb.Kind != pb.ServerKind_SERVER_KIND_MODEL {
		return source, ages
	}
	source = SourcePeers
	if r.peers.group.isMember() {
		source = SourceAggregator
	}
	return source, append(ages, Figure{Name: "peers_age_ms", Value: float64(age.Milliseconds())})
}

// yesNo is a figure for a truth value.
func yesNo(yes bool) float64 {
	if yes {
		return 1
	}
	return 0
}

// detach takes the request off its server.
func (r *Reducer) detach(q *request) {
	r.sharedFleet = nil
	if q.reading {
		r.noteReading(q)
	}
	for _, s := range []*server{q.server, q.prefill} {
		if s != nil {
			s.running = slices.DeleteFunc(s.running, func(id string) bool { return id == q.work.RequestID })
			r.peers.changed = r.peers.changed || s.pb.Kind == pb.ServerKind_SERVER_KIND_MODEL
		}
	}
	q.server, q.prefill = nil, nil
}

func (r *Reducer) progress(ev AttemptProgress) {
	q := r.requests[ev.RequestID]
	if q == nil || q.attempt != ev.Attempt || q.server == nil {
		return
	}
	q.mayHaveRun, q.reached = true, true
	q.server.aliveAt = r.now
	if ev.Tokens > q.got {
		r.noteBegun(q)
		r.hasRead(q)
		q.got, q.reconnects = ev.Tokens, 0
		if r.suspects.progressed(q) {
			r.startWaiting()
		}
	}
}
