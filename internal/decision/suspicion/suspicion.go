// Package suspicion weighs the crashes of servers that a part of prompts is charged with.
//
// A part that crashes servers does so where they begin to write an answer on it, or at the same position
// each time, whatever else the request holds. So a crash says little of a part if one of its answers got
// further elsewhere, and what one request ends again and again is that request's doing.
package suspicion

const (
	// RequestsOfPart is in how many different requests a part must have run to be quarantined.
	RequestsOfPart = 2
	// MaxRequestsOfPart is of how many requests it is remembered that they held a part.
	MaxRequestsOfPart = 16
	// Margin is how many tokens further an answer must have got to speak for its part: the last events
	// before a crash may be lost on their way.
	Margin = 4
	// repeatedScore is what a crash counts, in quarters, that the same request had ended another server by.
	repeatedScore = 2
)

// Crash is a crash that a part is charged with.
type Crash struct {
	// Score is how much it counts by itself, in quarters of a crash.
	Score int
	// Request is the fingerprint of the request that ran, 0 if it is not known.
	Request uint64
	// Tokens is how many tokens of its answer had come.
	Tokens int
}

// PartScore returns the score of a part, in quarters of a crash.
func PartScore(crashes []Crash) int {
	furthest := 0
	best := make(map[uint64]int, len(crashes))
	for _, c := range crashes {
		furthest = max(furthest, c.Tokens)
		best[c.Request] = max(best[c.Request], c.Score)
	}
	sum := 0
	for _, c := range crashes {
		switch {
		case c.Tokens+Margin <= furthest:
		case c.Request != 0 && c.Score < best[c.Request], c.Request != 0 && best[c.Request] == 0:
			sum += min(c.Score, repeatedScore)
		default:
			sum += c.Score
			if c.Request != 0 {
				best[c.Request] = 0
			}
		}
	}
	return sum
}
