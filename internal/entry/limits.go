package entry

import (
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision/backpressure"
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

// heardWord takes what a server said with an answer of the work that it wants.
func (r *Reducer) heardWord(s *server, word backpressure.Word) {
	old := s.word
	s.word = word
	if word.Unclear != "" && word.Unclear != old.Unclear {
		r.logLimit(s, "named a limit that can't be read", old.Rate)
	}
	switch {
	case word.Rate == old.Rate:
	case word.Rate == 0:
		r.logLimit(s, "names no limit any more", old.Rate)
	default:
		r.logLimit(s, "names a limit", old.Rate)
	}
}

func (r *Reducer) logLimit(s *server, reason string, before float64) {
	r.emit(LogDecision{Kind: LogServer, Server: s.pb.Id, Reason: reason, Figures: append(
		[]Figure{{Name: "limit_before", Value: before}, {Name: "limit_per_second", Value: s.word.Rate}},
		Figure{Name: "sent_last_seconds", Value: float64(s.sends.sum(r.now))},
	)})
}

// limitFigures are those of a server that names a limit, none for others.
func (r *Reducer) limitFigures(s *server) []Figure {
	if s.word.Rate == 0 {
		return nil
	}
	return []Figure{
		{Name: "limit_per_second", Value: s.word.Rate},
		{Name: "sent_last_seconds", Value: float64(s.sends.sum(r.now))},
	}
}
