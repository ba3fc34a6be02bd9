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

// entry is one entry: the decisions and its own, late view of the engines.
type entry struct {
	sim       *sim
	admission *admission.Controller
	queue     *queue.Queue
	picker    *placement.Picker
	fleet     decision.Fleet
	sent      []decision.InFlightTracker
	byID      map[string]*request
}

func newEntry(m *sim, index int) *entry {
	e := &entry{
		sim: m, admission: admission.New(), queue: queue.New(), picker: placement.New(),
		byID: make(map[string]*request), sent: make([]decision.InFlightTracker, len(m.nodes)),
	}
	e.fleet = decision.Fleet{Entries: m.scenario.Entries}
	for _, n := range m.nodes {
		e.fleet.Servers = append(e.fleet.Servers, decision.Server{
			ID: n.id, Kind: declaration.KindModel, Model: m.scenario.Model, Role: n.model.Role(),
			Usable: true, Slots: n.model.Config().Slots, Load: n.model.Load(0),
		})
	}
	return e
}

// report takes in the engines' loads and states.
func (e *entry) report() {
	for i, n := range e.sim.nodes {
		s := &e.fleet.Servers[i]
		s.Usable = !n.leaving
		s.Role = n.model.Role()
		if n.lost {
			continue
		}
		s.Load = n.model.Load(e.sim.now)
		s.ReportedAt = e.sim.now - time.Duration(s.Load.AgeMS)*time.Millisecond
		e.sent[i].ApplyReport(s.ReportedAt)
		s.InFlight = e.sent[i].InFlight
	}
}

func (e *entry) arrive(w *decision.Work) {
	e.sim.tally.offered(w)
	v := e.admission.Admit(e.sim.now, w, &e.fleet, e.queue.Summary())
	if !v.Admit {
		e.sim.tally.refused(w)
		return
	}
	r := &request{work: *w, entry: e, prefill: -1, server: -1}
	e.byID[w.RequestID] = r
	e.sim.requests++
	e.queue.Push(*w)
	e.drain()
}

// drain sends what fits.
func (e *entry) drain() {
	for _, w := range e.queue.Expire(e.sim.now) {
		e.end(e.byID[w.RequestID])
		e.sim.tally.refused(&w)
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

func (e *entry) end(r *request) {
	r.stage = ended
	delete(e.byID, r.work.RequestID)
	e.sim.requests--
}

// send begins an attempt.
func (e *entry) send(r *request, w *decision.Work, c placement.Choice) {
	e.picker.RecordSent(e.sim.now, w, c)
	e.picker.RecordCached(e.sim.now, c.Server.ID, w)
	r.attempt++
	r.sentAt = e.sim.now
	r.handed = r.got
	r.server, r.prefill = e.index(c.Server), -1
	r.stage = running
	r.onServer = decision.RequestTokens{Prefill: ownPrefill(w, c), Decode: w.OutputTokens, KV: w.PromptTokens + w.OutputTokens}
	e.add(r.server, r.onServer)
	e.waitsForPrefill(r, w, c)
	req := e.modelRequest(r)
	if c.Prefill != nil {
		r.stage, r.prefill = prefilling, e.index(c.Prefill)
		r.onPrefill = decision.RequestTokens{Prefill: w.PromptTokens, KV: w.PromptTokens}
		e.add(r.prefill, r.onPrefill)
		req.PrefillOnly = true
		e.submit(r.prefill, r, req)
		return
	}
	req.KVImported = w.KVTokens > 0
	e.submit(r.server, r, req)
}

// ownPrefill is the prompt tokens that the choice's server has to prefill.
func ownPrefill(w *decision.Work, c placement.Choice) int {
	if c.Prefill != nil || w.KVTokens > 0 {
		return 0
	}
	return w.PromptTokens
}

func (e *entry) index(s *decision.Server) int {
	for i := range e.fleet.Servers {
		if &e.fleet.Servers[i] == s {
			return i
		}
	}
	panic("policy: the choice is not of this fleet")
}

// waitsForPrefill notes urgent work where it is prefilled, until its first token.
func (e *entry) waitsForPrefill(r *request, w *decision.Work, c placement.Choice) {
	if w.Class == declaration.ClassBulk || w.KVTokens > 0 {
		return
	}
	r.urgent, r.urgentAt = w.PromptTokens, r.server
	if c.Prefill != nil {
		r.urgentAt = e.index(c.Prefill)
	}
	e.sent[r.urgentAt].AddUrgentPrefill(r.urgent)
	e.fleet.Servers[r.urgentAt].InFlight = e.sent[r.urgentAt].InFlight
}

func (e *entry) prefillOver(r *request) {
	if r.urgent > 0 {
		e.sent[r.urgentAt].AddUrgentPrefill(-r.urgent)
		e.fleet.Servers[r.urgentAt].InFlight = e.sent[r.urgentAt].InFlight
		r.urgent = 0
	}
}

// add and done keep InFlight of a server up to date.
func (e *entry) add(i int, t decision.RequestTokens) {
	e.sent[i].Add(e.sim.now, t)
	e.fleet.Servers[i].InFlight = e.sent[i].InFlight
}

func (e *entry) done(i int, t decision.RequestTokens) {
	e.sent[i].Done(t)
	e.fleet.Servers[i].InFlight = e.sent[i].InFlight
}

func (e *entry) modelRequest(r *request) enginemodel.Request {
	priority := 1
	if r.work.Class != declaration.ClassBulk {
		priority = 2
	}
	return enginemodel.Request{
		ID: r.work.RequestID, Priority: priority, PromptTokens: r.work.PromptTokens,
		OutputTokens: r.work.OutputTokens, GeneratedTokens: r.got, Salt: r.work.Member, Prefix: r.work.Prefix,
	}
}

// submit hands a request to an engine. An engine that is away since the last
// report refuses it, which gives it back to the queue.
func (e *entry) submit(i int, r *request, req enginemodel.Request) {
	n := e.sim.nodes[i]
	e.sim.advance(i)
	if n.leaving || n.lost {
		e.fleet.Servers[i].Usable = false
		e.moved(-1, r, kvOf(r, req))
		return
	}
	if err := n.model.Submit(e.sim.now, req); err != nil {
		panic(fmt.Sprintf("policy: %s at %s: %v", req.ID, n.id, err))
	}
	n.requests[req.ID] = r
	n.next = n.model.NextAt()
}

func kvOf(r *request, req enginemodel.Request) int {
	if !req.KVImported {
		return 0
	}
	return r.work.PromptTokens + r.got
}

// progress takes in what engine i produced for r.
func (e *entry) progress(i int, r *request, p enginemodel.Progress) {
	r.got += p.Tokens
	if p.Tokens > 0 {
		e.prefillOver(r)
	}
	if r.firstAt == 0 && p.FirstAt > 0 {
		r.firstAt = p.FirstAt
	}
	if !p.Finished {
		return
	}
	delete(e.sim.nodes[i].requests, p.ID)
	if r.stage == prefilling && r.got < r.work.OutputTokens {
		e.handOver(r)
		return
	}
	e.release(r)
	e.picker.Observe(e.sim.now, e.fleet.Servers[i].ID, placement.Result{
		DecodeTime: p.LastAt - p.FirstAt, Tokens: r.got - r.handed, TotalTime: p.LastAt - r.sentAt,
	})
	e.sim.tally.answered(r, p.LastAt)
	e.end(r)
	e.drain()
}

// handOver goes on with the decode after a prefill elsewhere.
func (e *entry) handOver(r *request) {
	e.sim.nodes[r.prefill].model.Release(r.work.RequestID)
	e.done(r.prefill, r.onPrefill)
	r.prefill = -1
	r.stage = running
	req := e.modelRequest(r)
	req.KVImported = true
	e.submit(r.server, r, req)
}

// release takes r out of the accounts of its servers.
func (e *entry) release(r *request) {
	e.prefillOver(r)
	if r.prefill >= 0 {
		e.done(r.prefill, r.onPrefill)
	}
	if r.server >= 0 {
		e.done(r.server, r.onServer)
	}
	r.prefill, r.server = -1, -1
}

// moved takes a request back whose engine leaves or is lost; kv is how much KV
// cache comes with it.
func (e *entry) moved(from int, r *request, kv int) {
	if from >= 0 {
		delete(e.sim.nodes[from].requests, r.work.RequestID)
	}
	e.release(r)
	r.stage = queued
	w := r.work
	w.Resumed = true
	w.KVTokens = kv
	w.OutputTokens = max(1, r.work.OutputTokens-r.got)
	if kv == 0 {
		w.PromptTokens += r.got
	}
	e.queue.Push(w)
}

func sortedKeys(m map[string]*request) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
