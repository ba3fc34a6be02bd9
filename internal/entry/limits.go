package entry

import (
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision/backpressure"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// sendCount counts the requests sent to a server in the last seconds.
type sendCount struct {
	second time.Duration
	counts [sendWindowSeconds]int
}

// sendWindowSeconds is the number of seconds counted, including the current one.
const sendWindowSeconds = 4

func (c *sendCount) add(now time.Duration) {
	c.advance(now)
	c.counts[c.second%sendWindowSeconds]++
}

// sum returns the number of requests of the last seconds.
func (c *sendCount) sum(now time.Duration) int {
	c.advance(now)
	sum := 0
	for _, n := range c.counts {
		sum += n
	}
	return sum
}

// advance drops the seconds that have passed out of the window.
func (c *sendCount) advance(now time.Duration) {
	current := now / second
	for i := max(c.second+1, current-sendWindowSeconds+1); i <= current; i++ {
		c.counts[i%sendWindowSeconds] = 0
	}
	c.second = current
}

// applyBackpressure applies what a server said about the load that it accepts, with the response
// to a request sent at sentAt.
func (r *Reducer) applyBackpressure(s *server, sentAt time.Duration, signal backpressure.Signal) {
	if signal.Malformed != "" && signal.Malformed != s.backpressure.Malformed {
		r.logLimit(s, "backpressure information in its response is malformed", s.backpressure.Limit.Rate())
	}
	if signal.Leaving {
		r.applyLeaving(s, "reported in a response that it is leaving")
	}
	if signal.Backoff > 0 {
		r.applyBackoff(s, signal.Backoff)
	}
	s.backpressure.Malformed = signal.Malformed
	if signal.Malformed != "" && signal.RateLimit == 0 {
		return
	}
	r.applyLimit(s, r.now, sentAt, signal.RateLimit)
}

// applyLimit applies the rate limit of a response that came at receivedAt to a request sent at
// sentAt. It reports whether the limit has changed.
func (r *Reducer) applyLimit(s *server, receivedAt, sentAt time.Duration, rate float64) bool {
	before := s.backpressure.Limit.Rate()
	if !s.backpressure.Limit.Update(receivedAt, sentAt, rate) {
		return false
	}
	s.limitUnreported, s.limitSentAt = true, sentAt
	r.peers.sendPending = true
	r.sharedFleet = nil
	r.servers.findRestricted(r.now)
	reason := "set or changed its rate limit"
	if rate == 0 {
		reason = "removed its rate limit"
	}
	r.logLimit(s, reason, before)
	return true
}

func (r *Reducer) logLimit(s *server, reason string, before float64) {
	r.emit(LogDecision{Kind: LogServer, Server: s.pb.Id, Reason: reason, Figures: []Figure{
		{Name: "limit_before", Value: before}, {Name: "limit_per_second", Value: s.backpressure.Limit.Rate()},
		{Name: "sent_last_seconds", Value: float64(s.sends.sum(r.now))},
	}})
}

// applyBackoff keeps requests off a server for the back-off that it asked for.
func (r *Reducer) applyBackoff(s *server, backoff time.Duration) {
	s.backpressure.BackOff(r.now, backoff)
	r.sharedFleet, r.dirty = nil, true
	r.servers.findRestricted(r.now)
	r.logBackoff(s, backoff)
}

// expireBackoffs updates the list of restricted servers as back-offs end.
func (r *Reducer) expireBackoffs() {
	if len(r.servers.restricted) > 0 {
		r.servers.findRestricted(r.now)
	}
}

func (r *Reducer) logBackoff(s *server, backoff time.Duration) {
	r.emit(LogDecision{Kind: LogServer, Server: s.pb.Id, Reason: "asked for a back-off", Figures: []Figure{
		{Name: "rest_seconds", Value: backoff.Seconds()},
		{Name: "sent_last_seconds", Value: float64(s.sends.sum(r.now))},
	}})
}

// limitFigures returns the log figures of a server with a rate limit, none for others.
func (r *Reducer) limitFigures(s *server) []Figure {
	if s.backpressure.Limit.Rate() == 0 {
		return nil
	}
	return []Figure{
		{Name: "limit_per_second", Value: s.backpressure.Limit.Rate()},
		{Name: "sent_last_seconds", Value: float64(s.sends.sum(r.now))},
	}
}

// unreportedLimits returns the limits that no report has contained yet. Without them, an entry
// that sends a server few requests would learn of its limit late.
func (r *Reducer) unreportedLimits() []*pb.ServerWord {
	var list []*pb.ServerWord
	for _, s := range r.servers.sorted {
		if s.limitUnreported {
			s.limitUnreported = false
			list = append(list, r.limitProto(s))
		}
	}
	return list
}

// allLimits returns all known limits.
func (r *Reducer) allLimits() []*pb.ServerWord {
	var list []*pb.ServerWord
	for _, s := range r.servers.restricted {
		if s.backpressure.Limit.Rate() > 0 {
			list = append(list, r.limitProto(s))
		}
	}
	return list
}

func (r *Reducer) limitProto(s *server) *pb.ServerWord {
	l := &s.backpressure.Limit
	return &pb.ServerWord{
		Server: s.pb.Id, IncarnationHash: s.incarnationHash(), Rate: l.Rate(),
		AgeMs: uint32((r.now - l.ReceivedAt()).Milliseconds()), SentAgeMs: uint32((r.now - s.limitSentAt).Milliseconds()),
	}
}

// applyPeerLimits applies limits that other entries learned of. forward is set if this entry
// must report them further.
func (r *Reducer) applyPeerLimits(list []*pb.ServerWord, forward bool) {
	for _, item := range list {
		s := r.servers.byIncarnationHash(item.GetServer(), item.GetIncarnationHash())
		if s == nil || item.GetRate() < 0 {
			continue
		}
		receivedAt, sentAt := r.now-ageOf(item.GetAgeMs()), r.now-ageOf(item.GetSentAgeMs())
		if r.applyLimit(s, receivedAt, sentAt, item.GetRate()) {
			s.limitUnreported = forward
		}
	}
}
