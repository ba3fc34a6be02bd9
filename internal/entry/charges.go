package entry

import (
	"strings"

	"goldcrestseam.dev/goldcrestseam/internal/decision/suspicion"
)

// charge is what a request is charged with for a crash.
type charge struct {
	score int
	// uncertain is set if the request may have been sent after the crash.
	uncertain bool
	// pending is set until it is judged whether the crash counts in full.
	pending bool
	// request is that which ran with a part, tokens how far its answer had come. disproved is set once an
	// answer with the part got further elsewhere.
	request   uint64
	tokens    int
	disproved bool
}

// crashedBefore reports whether another incarnation of the server ended under the request, too.
func (s *suspect) crashedBefore(server, death string) bool {
	for other, c := range s.deaths {
		if other != death && !c.uncertain && strings.HasPrefix(other, deathKey(server, "")) {
			return true
		}
	}
	return false
}

func (s *suspect) chargedAsMuch(than *suspect) bool {
	total := 0
	for death := range than.deaths {
		if c, charged := s.deaths[death]; !charged || c.uncertain {
			return false
		}
		total += s.deaths[death].score
	}
	return total >= than.highestScore()
}

// counted is how many crashes the request was surely sent before.
func (s *suspect) counted() int {
	n := 0
	for _, c := range s.deaths {
		if !c.uncertain {
			n++
		}
	}
	return n
}

// highestScore is the score if all crashes count in full.
func (s *suspect) highestScore() int { return s.sum(func(charge) bool { return true }) }

// score sums up what was judged.
func (s *suspect) score() int {
	if s == nil {
		return 0
	}
	return s.sum(func(c charge) bool { return !c.pending })
}

// sum adds up the scores of the charges that count.
func (s *suspect) sum(counts func(charge) bool) int {
	sum := 0
	var crashes []suspicion.Crash
	for _, c := range s.deaths {
		score := c.score
		if !counts(c) {
			score = 0
		}
		sum += score
		if s.part {
			crashes = append(crashes, suspicion.Crash{Score: score, Request: c.request, Tokens: c.tokens})
		}
	}
	if s.part {
		return suspicion.PartScore(crashes)
	}
	return sum
}
