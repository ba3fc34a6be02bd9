package entry

import (
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision/backpressure"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// sendCount counts what was sent to a server in the last seconds.
type sendCount struct {
	second time.Duration
	counts [sendSeconds]int
}

// sendSeconds is how many seconds are counted, the one that has begun among them.
const sendSeconds = 4

func (c *sendCount) add(now time.Duration) {
	c.pass(now)
	c.counts[c.second%sendSeconds]++
}

// sum is the requests of the last seconds.
func (c *sendCount) sum(now time.Duration) int {
	c.pass(now)
	sum := 0
	for _, n := range c.counts {
		sum += n
	}
	return sum
}

// pass forgets the seconds that have gone by.
func (c *sendCount) pass(now time.Duration) {
	current := now / second
	for i := max(c.second+1, current-sendSeconds+1); i <= current; i++ {
		c.counts[i%sendSeconds] = 0
	}
	c.second = current
}

// heardWord takes what a server said of the work that it wants, with an answer to a request
// that was sent at that time.
func (r *Reducer) heardWord(s *server, sent time.Duration, word backpressure.Signal) {
	if word.Malformed != "" && word.Malformed != s.wants.Malformed {
		r.logLimit(s, "said what can't be read of the work that it wants", s.wants.Limit.Rate())
	}
	if word.Leaving {
		r.heardLeaving(s, "says in an answer that it leaves")
	}
	if word.Backoff > 0 {
		r.heardRest(s, word.Backoff)
	}
	s.wants.Malformed = word.Malformed
	if word.Malformed != "" && word.RateLimit == 0 {
		return
	}
	r.heardLimit(s, r.now, sent, word.RateLimit)
}

// heardLimit takes the limit of an answer that came at that time to a request sent at sent.
func (r *Reducer) heardLimit(s *server, at, sent time.Duration, rate float64) bool {
	before := s.wants.Limit.Rate()
	if !s.wants.Limit.Update(at, sent, rate) {
		return false
	}
	s.limitIsNew, s.limitSent = true, sent
	r.peers.sent = true
	r.sharedFleet = nil
	r.servers.findBounded(r.now)
	reason := "names a limit"
	if rate == 0 {
		reason = "names no limit any more"
	}
	r.logLimit(s, reason, before)
	return true
}

func (r *Reducer) logLimit(s *server, reason string, before float64) {
	r.emit(LogDecision{Kind: LogServer, Server: s.pb.Id, Reason: reason, Figures: []Figure{
		{Name: "limit_before", Value: before}, {Name: "limit_per_second", Value: s.wants.Limit.Rate()},
		{Name: "sent_last_seconds", Value: float64(s.sends.sum(r.now))},
	}})
}

// heardRest leaves a server alone for as long as it asks for.
func (r *Reducer) heardRest(s *server, rest time.Duration) {
	s.wants.BackOff(r.now, rest)
	r.sharedFleet, r.dirty = nil, true
	r.servers.findBounded(r.now)
	r.logRest(s, rest)
}

// passRests forgets the rests that are over.
func (r *Reducer) passRests() {
	if len(r.servers.bounded) > 0 {
		r.servers.findBounded(r.now)
	}
}

func (r *Reducer) logRest(s *server, rest time.Duration) {
	r.emit(LogDecision{Kind: LogServer, Server: s.pb.Id, Reason: "asks for rest", Figures: []Figure{
		{Name: "rest_seconds", Value: rest.Seconds()},
		{Name: "sent_last_seconds", Value: float64(s.sends.sum(r.now))},
	}})
}

// limitFigures are those of a server that names a limit, none for others.
func (r *Reducer) limitFigures(s *server) []Figure {
	if s.wants.Limit.Rate() == 0 {
		return nil
	}
	return []Figure{
		{Name: "limit_per_second", Value: s.wants.Limit.Rate()},
		{Name: "sent_last_seconds", Value: float64(s.sends.sum(r.now))},
	}
}

// newLimits gives the limits that no report has told of yet. An entry that sends a server
// little would hear of its limit late.
func (r *Reducer) newLimits() []*pb.ServerWord {
	var list []*pb.ServerWord
	for _, s := range r.servers.sorted {
		if s.limitIsNew {
			s.limitIsNew = false
			list = append(list, r.limitProto(s))
		}
	}
	return list
}

// allLimits gives all that are known.
func (r *Reducer) allLimits() []*pb.ServerWord {
	var list []*pb.ServerWord
	for _, s := range r.servers.bounded {
		if s.wants.Limit.Rate() > 0 {
			list = append(list, r.limitProto(s))
		}
	}
	return list
}

func (r *Reducer) limitProto(s *server) *pb.ServerWord {
	l := &s.wants.Limit
	return &pb.ServerWord{
		Server: s.pb.Id, IncarnationHash: s.lifeHash(), Rate: l.Rate(),
		AgeMs: uint32((r.now - l.ReceivedAt()).Milliseconds()), SentAgeMs: uint32((r.now - s.limitSent).Milliseconds()),
	}
}

// heardLimits takes limits that other entries heard. pass tells that others are to be told.
func (r *Reducer) heardLimits(list []*pb.ServerWord, pass bool) {
	for _, told := range list {
		s := r.servers.lifeByHash(told.GetServer(), told.GetIncarnationHash())
		if s == nil || told.GetRate() < 0 {
			continue
		}
		at, sent := r.now-ageOf(told.GetAgeMs()), r.now-ageOf(told.GetSentAgeMs())
		if r.heardLimit(s, at, sent, told.GetRate()) {
			s.limitIsNew = pass
		}
	}
}
