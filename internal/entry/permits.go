package entry

import (
	"slices"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
	"goldcrestseam.dev/goldcrestseam/internal/decision/admission"
	"goldcrestseam.dev/goldcrestseam/internal/decision/backpressure"
	"goldcrestseam.dev/goldcrestseam/internal/decision/placement"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

const (
	// maxKeepers is how many entries are tried as the keeper of a schedule before this one sends
	// its part of the limit alone.
	maxKeepers = 3
	// avoidKeeper is how long one that gave no answer is passed by.
	avoidKeeper = 2 * time.Second
	// leastSought and soughtFor bound the permits that are asked for at once: some, or what the
	// server takes in that time.
	leastSought = 4
	soughtFor   = 250 * time.Millisecond
)

// lifeKey names one life of a server.
type lifeKey struct {
	server string
	hash   uint64
}

// permits is what the entry keeps for the limits of servers.
type permits struct {
	// schedules are those that it keeps for all entries.
	schedules map[lifeKey]*backpressure.PermitSchedule
	// silentUntil is until when entries that gave no answers are passed by, by address.
	silentUntil map[string]time.Duration
}

func newPermits() permits {
	return permits{
		schedules: make(map[lifeKey]*backpressure.PermitSchedule), silentUntil: make(map[string]time.Duration),
	}
}

// keeper gives the entry that keeps a server's schedule: the first by a hash that all entries
// reckon alike, of those that answer. Empty name: none does.
func (r *Reducer) keeper(server string) (name, address string) {
	var best []EntryWeight
	for _, e := range r.view.entries {
		id := e.info.GetIdentity()
		if !e.info.GetLeaving() && (id.GetPeerAddress() != "" || id.GetName() == r.cfg.Identity.GetName()) {
			best = append(best, EntryWeight{Name: id.GetName(), Address: id.GetPeerAddress()})
		}
	}
	if len(best) == 0 {
		return r.cfg.Identity.GetName(), ""
	}
	slices.SortFunc(best, func(a, b EntryWeight) int { return compareScore(a, b, server) })
	for _, e := range best[:min(maxKeepers, len(best))] {
		if e.Name == r.cfg.Identity.GetName() || r.now >= r.permits.silentUntil[e.Address] {
			return e.Name, e.Address
		}
	}
	return "", ""
}

// maxSought is how many permits for a server with that limit may be asked for at once.
func maxSought(rate float64) int {
	return max(leastSought, int(min(rate, maxRate)*soughtFor.Seconds()))
}

// maxRate bounds the limits that are reckoned with: beyond it there is none in effect.
const maxRate = 1e6

// seek notes that a request finds servers closed that could run it.
func (r *Reducer) seek(w *decision.Work) {
	r.closedFor(w, func(s *server) {
		if s.wants.Limit.ShouldRequest(r.now) {
			s.sought++
		}
	})
}

// miss notes that a request came while servers were closed that could run it.
func (r *Reducer) miss(w *decision.Work) { r.closedFor(w, func(s *server) { s.missed++ }) }

// closedFor calls f for each server that could run the work, were it not closed.
func (r *Reducer) closedFor(w *decision.Work, f func(*server)) {
	for _, s := range r.servers.bounded {
		if s.wants.Limit.CanSend(r.now) || s.wants.BackingOff(r.now) || !s.inUse(r.now, r.stale()) {
			continue
		}
		if d := r.decisionServer(s, true); d.Serves(w) {
			f(s)
		}
	}
}

// askPermits asks for permits for the servers that were sought in this step.
func (r *Reducer) askPermits() {
	opened := false
	for _, s := range r.servers.bounded {
		if s.sought > 0 && s.wants.Limit.ShouldRequest(r.now) {
			r.askPermit(s, min(max(s.sought, s.missed), maxSought(s.wants.Limit.Rate())))
			s.missed = 0
			opened = opened || s.wants.CanSend(r.now)
		}
		s.sought = 0
	}
	if opened {
		r.sharedFleet = nil
		r.startWaiting()
	}
}

func (r *Reducer) askPermit(s *server, wanted int) {
	l := &s.wants.Limit
	hash := s.lifeHash()
	ask := backpressure.GrantRequest{Entry: r.cfg.Identity.GetName(), Rate: l.Rate(), SignalAt: l.ReceivedAt(), Wanted: wanted}
	name, address := r.keeper(s.pb.Id)
	if name != "" && name != r.cfg.Identity.GetName() {
		l.MarkRequested()
		r.emit(RequestPermit{Address: address, Server: s.pb.Id, Incarnation: s.pb.Incarnation, Request: &pb.PermitRequest{
			ClusterId: r.cfg.Cluster, Entry: ask.Entry, Server: s.pb.Id, IncarnationHash: hash, Rate: ask.Rate,
			AgeMs: uint32((r.now - ask.SignalAt).Milliseconds()), Wanted: uint32(wanted),
		}})
		return
	}
	if name == "" {
		ask.Rate /= float64(max(1, len(r.view.entries)))
	}
	a := r.schedule(lifeKey{s.pb.Id, hash}).Grant(r.now, ask)
	l.ApplyGrant(r.now, a.Delays, a.NextRequestIn)
}

func (r *Reducer) schedule(key lifeKey) *backpressure.PermitSchedule {
	s := r.permits.schedules[key]
	if s == nil {
		s = &backpressure.PermitSchedule{}
		r.permits.schedules[key] = s
	}
	return s
}

// expireSchedules drops those that nobody asks any more, and the silences that are over.
func (r *Reducer) expireSchedules() {
	for address, until := range r.permits.silentUntil {
		if r.now >= until {
			delete(r.permits.silentUntil, address)
		}
	}
	for key, s := range r.permits.schedules {
		if s.Idle(r.now) {
			delete(r.permits.schedules, key)
		}
	}
}

// permitAsked answers another entry that wants to send to a server with a limit. Any entry
// does: which one is asked follows from the view of the one that asks.
func (r *Reducer) permitAsked(ev PermitRequested) {
	req := ev.Request
	if req.GetClusterId() != r.cfg.Cluster || !(req.GetRate() > 0) {
		r.emit(AnswerPermit{Key: ev.Key})
		return
	}
	a := r.schedule(lifeKey{req.GetServer(), req.GetIncarnationHash()}).Grant(r.now, backpressure.GrantRequest{
		Entry: req.GetEntry(), Rate: req.GetRate(), SignalAt: r.now - ageOf(req.GetAgeMs()), Wanted: min(int(req.GetWanted()), maxSought(req.GetRate())),
	})
	answer := &pb.PermitAnswer{AgainMs: uint32(a.NextRequestIn.Milliseconds())}
	for _, in := range a.Delays {
		answer.InMs = append(answer.InMs, uint32(in.Milliseconds()))
	}
	r.emit(AnswerPermit{Key: ev.Key, Answer: answer})
}

// permitHeard takes permits, or word that there are none now.
func (r *Reducer) permitHeard(ev PermitAnswered) {
	s := r.servers.life(ev.Server, ev.Incarnation)
	if s == nil {
		return
	}
	in := make([]time.Duration, 0, len(ev.Answer.GetInMs()))
	for _, ms := range ev.Answer.GetInMs() {
		in = append(in, ageOf(ms))
	}
	s.wants.Limit.ApplyGrant(r.now, in, ageOf(ev.Answer.GetAgainMs()))
	r.sharedFleet = nil
	r.startWaiting()
	r.refuseClosed()
}

// permitSilent turns to another entry for permits.
func (r *Reducer) permitSilent(ev PermitTimedOut) {
	r.permits.silentUntil[ev.Address] = r.now + avoidKeeper
	s := r.servers.life(ev.Server, ev.Incarnation)
	if s == nil {
		return
	}
	s.wants.Limit.RequestFailed()
	s.sought++
	r.emit(LogDecision{Kind: LogPeers, Reason: "no answer to a question for permits; another entry is asked", Server: ev.Address})
}

// pass takes the permits that a choice needs; false if there are none any more. A server that
// decodes what another one reads keeps its permit for the request until then.
func (r *Reducer) pass(q *request, choice *placement.Choice) bool {
	first := r.servers.byID[choice.Server.ID]
	if choice.Prefill != nil {
		if !first.wants.TrySend(r.now) {
			return false
		}
		q.reserved = first
		first = r.servers.byID[choice.Prefill.ID]
	}
	return first.wants.TrySend(r.now)
}

// passDecode takes the permit of the server that decodes a request; false if there is none.
func (r *Reducer) passDecode(q *request, s *server) bool {
	reserved := q.reserved == s
	q.reserved = nil
	if reserved {
		return !s.wants.BackingOff(r.now)
	}
	return s.wants.TrySend(r.now)
}

// refuseClosed refuses what waits for servers that take no more work until it is too late.
func (r *Reducer) refuseClosed() {
	if len(r.servers.bounded) == 0 || r.decide.queue.Len() == 0 {
		return
	}
	for _, id := range sortedKeys(r.requests) {
		q := r.requests[id]
		if q.server == nil {
			r.refuseIfClosed(q)
		}
	}
}

// refuseIfClosed refuses a request whose servers take no more work until it is too late.
func (r *Reducer) refuseIfClosed(q *request) bool {
	if len(r.servers.bounded) == 0 || q.work.Resumed {
		return false
	}
	fleet, w := r.fleet(q), q.work
	w.FirstTokenBy = q.aim
	after, closed := admission.ThrottledPastDeadline(r.now, &w, &fleet)
	if closed {
		r.refuse(q, refuseClosed(after))
	}
	return closed
}
