package policy

import (
	"fmt"
	"slices"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
	"goldcrestseam.dev/goldcrestseam/internal/decision/admission"
	"goldcrestseam.dev/goldcrestseam/internal/decision/placement"
	"goldcrestseam.dev/goldcrestseam/internal/decision/queue"
	"goldcrestseam.dev/goldcrestseam/internal/declaration"
	"goldcrestseam.dev/goldcrestseam/internal/enginemodel"
)

// simEntry is one simulated entry: its decisions and its own, delayed view of the engines.
type simEntry struct {
	sim       *sim
	admission *admission.Controller
	queue     *queue.Queue
	picker    *placement.Picker
	fleet     decision.Fleet
	inFlight  []decision.InFlightTracker
	byID      map[string]*simRequest
}

func newEntry(m *sim, index int) *simEntry {
	e := &simEntry{
		sim: m, admission: admission.New(), queue: queue.New(), picker: placement.New(),
		byID: make(map[string]*simRequest), inFlight: make([]decision.InFlightTracker, len(m.engines)),
	}
	e.fleet = decision.Fleet{Entries: m.scenario.Entries}
	for _, n := range m.engines {
		e.fleet.Servers = append(e.fleet.Servers, decision.Server{
			ID: n.id, Kind: declaration.KindModel, Model: m.scenario.Model, Role: n.engine.Role(),
			Usable: true, Slots: n.engine.Config().Slots, Load: n.engine.Load(0),
		})
	}
	return e
}

// updateLoads updates the entry's view with the engines' loads and states.
func (e *simEntry) updateLoads() {
	for i, n := range e.sim.engines {
		s := &e.fleet.Servers[i]
		s.Usable = !n.leaving
		s.Role = n.engine.Role()
		if n.lost {
			continue
		}
		s.Load = n.engine.Load(e.sim.now)
		s.ReportedAt = e.sim.now - time.Duration(s.Load.AgeMS)*time.Millisecond
		e.inFlight[i].ApplyReport(s.ReportedAt)
		s.InFlight = e.inFlight[i].InFlight
	}
}

func (e *simEntry) arrive(w *decision.Work) {
	e.sim.stats.recordOffered(w)
	v := e.admission.Admit(e.sim.now, w, &e.fleet, e.queue.Summary())
	if !v.Admit {
		e.sim.stats.recordRefused(w)
		return
	}
	r := &simRequest{work: *w, entry: e, prefillEngine: -1, mainEngine: -1}
	e.byID[w.RequestID] = r
	e.sim.unfinished++
	e.queue.Push(*w)
	e.dispatchQueue()
}

// dispatchQueue sends the queued requests for which there is capacity and refuses the expired
// ones.
func (e *simEntry) dispatchQueue() {
	for _, w := range e.queue.Expire(e.sim.now) {
		e.finish(e.byID[w.RequestID])
		e.sim.stats.recordRefused(&w)
	}
	for {
		var choice placement.Choice
		w, ok := e.queue.Pop(e.sim.now, func(w *decision.Work) bool {
			c, ok := e.picker.Pick(e.sim.now, w, &e.fleet)
			if ok {
				choice = c
			}
			return ok
		})
		if !ok {
			return
		}
		e.send(e.byID[w.RequestID], &w, choice)
	}
}

func (e *simEntry) finish(r *simRequest) {
	r.stage = finished
	delete(e.byID, r.work.RequestID)
	e.sim.unfinished--
}

// send starts an attempt.
func (e *simEntry) send(r *simRequest, w *decision.Work, c placement.Choice) {
	e.picker.RecordSent(e.sim.now, w, c)
	e.picker.RecordCached(e.sim.now, c.Server.ID, w)
	r.attempt++
	r.sentAt = e.sim.now
	r.earlierTokens = r.tokens
	r.mainEngine, r.prefillEngine = e.serverIndex(c.Server), -1
	r.stage = running
	r.mainLoad = decision.RequestTokens{Prefill: prefillTokens(w, c), Decode: w.OutputTokens, KV: w.PromptTokens + w.OutputTokens}
	e.addInFlight(r.mainEngine, r.mainLoad)
	e.recordUrgentPrefill(r, w, c)
	req := e.modelRequest(r)
	if c.Prefill != nil {
		r.stage, r.prefillEngine = prefilling, e.serverIndex(c.Prefill)
		r.prefillLoad = decision.RequestTokens{Prefill: w.PromptTokens, KV: w.PromptTokens}
		e.addInFlight(r.prefillEngine, r.prefillLoad)
		req.PrefillOnly = true
		e.submit(r.prefillEngine, r, req)
		return
	}
	req.KVImported = w.KVTokens > 0
	e.submit(r.mainEngine, r, req)
}

// prefillTokens returns the number of prompt tokens that the chosen server itself has to prefill.
func prefillTokens(w *decision.Work, c placement.Choice) int {
	if c.Prefill != nil || w.KVTokens > 0 {
		return 0
	}
	return w.PromptTokens
}

func (e *simEntry) serverIndex(s *decision.Server) int {
	for i := range e.fleet.Servers {
		if &e.fleet.Servers[i] == s {
			return i
		}
	}
	panic("policy: the chosen server is not in this fleet")
}

// recordUrgentPrefill counts urgent work at the engine that prefills it, until its first token.
func (e *simEntry) recordUrgentPrefill(r *simRequest, w *decision.Work, c placement.Choice) {
	if w.Class == declaration.ClassBulk || w.KVTokens > 0 {
		return
	}
	r.urgentTokens, r.urgentEngine = w.PromptTokens, r.mainEngine
	if c.Prefill != nil {
		r.urgentEngine = e.serverIndex(c.Prefill)
	}
	e.inFlight[r.urgentEngine].AddUrgentPrefill(r.urgentTokens)
	e.fleet.Servers[r.urgentEngine].InFlight = e.inFlight[r.urgentEngine].InFlight
}

func (e *simEntry) clearUrgentPrefill(r *simRequest) {
	if r.urgentTokens > 0 {
		e.inFlight[r.urgentEngine].AddUrgentPrefill(-r.urgentTokens)
		e.fleet.Servers[r.urgentEngine].InFlight = e.inFlight[r.urgentEngine].InFlight
		r.urgentTokens = 0
	}
}

// addInFlight and removeInFlight keep the InFlight field of a server up to date.
func (e *simEntry) addInFlight(i int, t decision.RequestTokens) {
	e.inFlight[i].Add(e.sim.now, t)
	e.fleet.Servers[i].InFlight = e.inFlight[i].InFlight
}

func (e *simEntry) removeInFlight(i int, t decision.RequestTokens) {
	e.inFlight[i].Done(t)
	e.fleet.Servers[i].InFlight = e.inFlight[i].InFlight
}

func (e *simEntry) modelRequest(r *simRequest) enginemodel.Request {
	priority := 1
	if r.work.Class != declaration.ClassBulk {
		priority = 2
	}
	return enginemodel.Request{
		ID: r.work.RequestID, Priority: priority, PromptTokens: r.work.PromptTokens,
		OutputTokens: r.work.OutputTokens, GeneratedTokens: r.tokens, Salt: r.work.Member, Prefix: r.work.Prefix,
	}
}

// submit hands a request to an engine. An engine that became unavailable after the last report
// refuses it, and the request returns to the queue.
func (e *simEntry) submit(i int, r *simRequest, req enginemodel.Request) {
	n := e.sim.engines[i]
	e.sim.advance(i)
	if n.leaving || n.lost {
		e.fleet.Servers[i].Usable = false
		e.requeue(-1, r, importedKVTokens(r, req))
		return
	}
	if err := n.engine.Submit(e.sim.now, req); err != nil {
		panic(fmt.Sprintf("policy: %s at %s: %v", req.ID, n.id, err))
	}
	n.requests[req.ID] = r
	n.nextEventAt = n.engine.NextEventAt()
}

func importedKVTokens(r *simRequest, req enginemodel.Request) int {
	if !req.KVImported {
		return 0
	}
	return r.work.PromptTokens + r.tokens
}

// recordProgress processes what engine i has produced for r.
func (e *simEntry) recordProgress(i int, r *simRequest, p enginemodel.Progress) {
	r.tokens += p.Tokens
	if p.Tokens > 0 {
		e.clearUrgentPrefill(r)
	}
	if r.firstTokenAt == 0 && p.FirstTokenAt > 0 {
		r.firstTokenAt = p.FirstTokenAt
	}
	if !p.Finished {
		return
	}
	delete(e.sim.engines[i].requests, p.ID)
	if r.stage == prefilling && r.tokens < r.work.OutputTokens {
		e.startDecode(r)
		return
	}
	e.releaseServers(r)
	e.picker.Observe(e.sim.now, e.fleet.Servers[i].ID, placement.Result{
		DecodeTime: p.LastTokenAt - p.FirstTokenAt, Tokens: r.tokens - r.earlierTokens, TotalTime: p.LastTokenAt - r.sentAt,
	})
	e.sim.stats.recordAnswered(r, p.LastTokenAt)
	e.finish(r)
	e.dispatchQueue()
}

// startDecode continues with the decode after a prefill on another engine.
func (e *simEntry) startDecode(r *simRequest) {
	e.sim.engines[r.prefillEngine].engine.ReleaseKV(r.work.RequestID)
	e.removeInFlight(r.prefillEngine, r.prefillLoad)
	r.prefillEngine = -1
	r.stage = running
	req := e.modelRequest(r)
	req.KVImported = true
	e.submit(r.mainEngine, r, req)
}

// releaseServers removes r from the counts of its servers.
func (e *simEntry) releaseServers(r *simRequest) {
	e.clearUrgentPrefill(r)
	if r.prefillEngine >= 0 {
		e.removeInFlight(r.prefillEngine, r.prefillLoad)
	}
	if r.mainEngine >= 0 {
		e.removeInFlight(r.mainEngine, r.mainLoad)
	}
	r.prefillEngine, r.mainEngine = -1, -1
}

// requeue returns a request to the queue when its engine is leaving or lost; kvTokens is the size
// of the KV cache that can be imported elsewhere.
func (e *simEntry) requeue(from int, r *simRequest, kvTokens int) {
	if from >= 0 {
		delete(e.sim.engines[from].requests, r.work.RequestID)
	}
	e.releaseServers(r)
	r.stage = queued
	w := r.work
	w.Resumed = true
	w.KVTokens = kvTokens
	w.OutputTokens = max(1, r.work.OutputTokens-r.tokens)
	if kvTokens == 0 {
		w.PromptTokens += r.tokens
	}
	e.queue.Push(w)
}

func sortedKeys(m map[string]*simRequest) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
