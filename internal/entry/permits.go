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
	// maxOwnersTried is how many entries are tried as the owner of a permit schedule. If none of
	// them answers, this entry schedules its equal share of the rate limit by itself.
	maxOwnersTried = 3
	// ownerAvoidance is how long an owner that gave no answer is avoided.
	ownerAvoidance = 2 * time.Second
	// minPermitBatch and permitBatchTime bound the permits requested at once: the larger of
	// minPermitBatch and what the server accepts during permitBatchTime.
	minPermitBatch  = 4
	permitBatchTime = 250 * time.Millisecond
)

// incarnationKey identifies one incarnation of a server.
type incarnationKey struct {
	server string
	hash   uint64
}

// permits holds the state of this entry for the rate limits of servers.
type permits struct {
	// schedules are those that this entry owns on behalf of all entries.
	schedules map[incarnationKey]*backpressure.PermitSchedule
	// avoidUntil tells until when entries that gave no answer are avoided, by address.
	avoidUntil map[string]time.Duration
}

func newPermits() permits {
	return permits{
		schedules: make(map[incarnationKey]*backpressure.PermitSchedule), avoidUntil: make(map[string]time.Duration),
	}
}

// scheduleOwner returns the entry that owns a server's permit schedule: the first by rendezvous
// hash, the same at all entries, that has not timed out recently. The name is empty if there is
// none.
func (r *Reducer) scheduleOwner(server string) (name, address string) {
	var candidates []EntryWeight
	for _, e := range r.view.entries {
		id := e.info.GetIdentity()
		if !e.info.GetLeaving() && (id.GetPeerAddress() != "" || id.GetName() == r.cfg.Identity.GetName()) {
			candidates = append(candidates, EntryWeight{Name: id.GetName(), Address: id.GetPeerAddress()})
		}
	}
	if len(candidates) == 0 {
		return r.cfg.Identity.GetName(), ""
	}
	slices.SortFunc(candidates, func(a, b EntryWeight) int { return compareByHash(a, b, server) })
	for _, e := range candidates[:min(maxOwnersTried, len(candidates))] {
		if e.Name == r.cfg.Identity.GetName() || r.now >= r.permits.avoidUntil[e.Address] {
			return e.Name, e.Address
		}
	}
	return "", ""
}

// maxPermitBatch is how many permits may be requested at once for a server with that limit.
func maxPermitBatch(rate float64) int {
	return max(minPermitBatch, int(min(rate, maxLimitRate)*permitBatchTime.Seconds()))
}

// maxLimitRate bounds the rates used in calculations. A higher limit restricts nothing in
// practice.
const maxLimitRate = 1e6

// countBlocked counts, for each server that has no permit left, that a request could run there.
func (r *Reducer) countBlocked(w *decision.Work) {
	r.forEachBlockedServer(w, func(s *server) {
		if s.backpressure.Limit.ShouldRequest(r.now) {
			s.blocked++
		}
	})
}

// countBlockedArrival counts a new request for each server that could run it but has no permit
// left.
func (r *Reducer) countBlockedArrival(w *decision.Work) {
	r.forEachBlockedServer(w, func(s *server) { s.blockedArrivals++ })
}

// forEachBlockedServer calls f for each server that could run the work if a permit were
// available.
func (r *Reducer) forEachBlockedServer(w *decision.Work, f func(*server)) {
	for _, s := range r.servers.restricted {
		if s.backpressure.Limit.CanSend(r.now) || s.backpressure.BackingOff(r.now) || !s.available(r.now, r.stale()) {
			continue
		}
		if d := r.decisionServer(s, true); d.Serves(w) {
			f(s)
		}
	}
}

// requestPermits requests permits for the servers that blocked requests in this step.
func (r *Reducer) requestPermits() {
	permitsGranted := false
	for _, s := range r.servers.restricted {
		if s.blocked > 0 && s.backpressure.Limit.ShouldRequest(r.now) {
			r.requestPermit(s, min(max(s.blocked, s.blockedArrivals), maxPermitBatch(s.backpressure.Limit.Rate())))
			s.blockedArrivals = 0
			permitsGranted = permitsGranted || s.backpressure.CanSend(r.now)
		}
		s.blocked = 0
	}
	if permitsGranted {
		r.sharedFleet = nil
		r.dispatchWaiting()
	}
}

func (r *Reducer) requestPermit(s *server, wanted int) {
	l := &s.backpressure.Limit
	hash := s.incarnationHash()
	ask := backpressure.GrantRequest{Entry: r.cfg.Identity.GetName(), Rate: l.Rate(), SignalAt: l.ReceivedAt(), Wanted: wanted}
	name, address := r.scheduleOwner(s.pb.Id)
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
	a := r.schedule(incarnationKey{s.pb.Id, hash}).Grant(r.now, ask)
	l.ApplyGrant(r.now, a.Delays, a.NextRequestIn)
}

func (r *Reducer) schedule(key incarnationKey) *backpressure.PermitSchedule {
	s := r.permits.schedules[key]
	if s == nil {
		s = &backpressure.PermitSchedule{}
		r.permits.schedules[key] = s
	}
	return s
}

// expireSchedules drops schedules that nobody uses any more, and owner avoidances that have
// ended.
func (r *Reducer) expireSchedules() {
	for address, until := range r.permits.avoidUntil {
		if r.now >= until {
			delete(r.permits.avoidUntil, address)
		}
	}
	for key, s := range r.permits.schedules {
		if s.Idle(r.now) {
			delete(r.permits.schedules, key)
		}
	}
}

// permitRequested answers another entry that wants to send to a server with a rate limit. Any
// entry answers, since the view of the asking entry decides which one it asks.
func (r *Reducer) permitRequested(ev PermitRequested) {
	req := ev.Request
	if req.GetClusterId() != r.cfg.Cluster || !(req.GetRate() > 0) {
		r.emit(AnswerPermit{Key: ev.Key})
		return
	}
	a := r.schedule(incarnationKey{req.GetServer(), req.GetIncarnationHash()}).Grant(r.now, backpressure.GrantRequest{
		Entry: req.GetEntry(), Rate: req.GetRate(), SignalAt: r.now - ageOf(req.GetAgeMs()), Wanted: min(int(req.GetWanted()), maxPermitBatch(req.GetRate())),
	})
	answer := &pb.PermitAnswer{AgainMs: uint32(a.NextRequestIn.Milliseconds())}
	for _, in := range a.Delays {
		answer.InMs = append(answer.InMs, uint32(in.Milliseconds()))
	}
	r.emit(AnswerPermit{Key: ev.Key, Answer: answer})
}

// permitAnswered applies granted permits, or the answer that there are none at present.
func (r *Reducer) permitAnswered(ev PermitAnswered) {
	s := r.servers.incarnation(ev.Server, ev.Incarnation)
	if s == nil {
		return
	}
	startDelays := make([]time.Duration, 0, len(ev.Answer.GetInMs()))
	for _, ms := range ev.Answer.GetInMs() {
		startDelays = append(startDelays, ageOf(ms))
	}
	s.backpressure.Limit.ApplyGrant(r.now, startDelays, ageOf(ev.Answer.GetAgainMs()))
	r.sharedFleet = nil
	r.dispatchWaiting()
	r.refuseBlocked()
}

// permitTimedOut turns to another entry for permits.
func (r *Reducer) permitTimedOut(ev PermitTimedOut) {
	r.permits.avoidUntil[ev.Address] = r.now + ownerAvoidance
	s := r.servers.incarnation(ev.Server, ev.Incarnation)
	if s == nil {
		return
	}
	s.backpressure.Limit.RequestFailed()
	s.blocked++
	r.emit(LogDecision{Kind: LogPeers, Reason: "permit request timed out; asking another entry", Server: ev.Address})
}

// takePermits takes the permits that a choice needs, or returns false if there are not enough.
// With a separate prefill the permit of the decoding server is reserved for the request until
// then.
func (r *Reducer) takePermits(q *request, choice *placement.Choice) bool {
	receiver := r.servers.byID[choice.Server.ID]
	if choice.Prefill != nil {
		if !receiver.backpressure.TrySend(r.now) {
			return false
		}
		q.reserved = receiver
		receiver = r.servers.byID[choice.Prefill.ID]
	}
	return receiver.backpressure.TrySend(r.now)
}

// takeDecodePermit takes the permit of the server that decodes a request, or returns false if
// there is none.
func (r *Reducer) takeDecodePermit(q *request, s *server) bool {
	reserved := q.reserved == s
	q.reserved = nil
	if reserved {
		return !s.backpressure.BackingOff(r.now)
	}
	return s.backpressure.TrySend(r.now)
}

// refuseBlocked refuses waiting requests whose servers accept no more work until it is too late.
func (r *Reducer) refuseBlocked() {
	if len(r.servers.restricted) == 0 || r.decisions.queue.Len() == 0 {
		return
	}
	for _, id := range sortedKeys(r.requests) {
		q := r.requests[id]
		if q.server == nil {
			r.refuseIfBlocked(q)
		}
	}
}

// refuseIfBlocked refuses a request whose servers accept no more work until it is too late. It
// reports whether it did.
func (r *Reducer) refuseIfBlocked(q *request) bool {
	if len(r.servers.restricted) == 0 || q.work.Resumed {
		return false
	}
	fleet, w := r.fleet(q), q.work
	w.FirstTokenBy = q.originalFirstTokenBy
	retryAfter, throttled := admission.ThrottledPastDeadline(r.now, &w, &fleet)
	if throttled {
		r.refuse(q, refuseThrottled(retryAfter))
	}
	return throttled
}
