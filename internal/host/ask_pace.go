package host

import "time"

const (
	// slowAnswer is when an answer shows that the aggregator or its link is busy: several
	// times what an idle one in another data centre takes.
	slowAnswer = 8 * time.Millisecond
	// maxAskPace is the longest that a sum is used again: some of what it tells has ended then.
	maxAskPace = 200 * time.Millisecond
	// askPaceSlower and askPaceFaster change the pace after a slow and a quick answer.
	askPaceSlower = 2.0
	askPaceFaster = 0.9
)

// askPace is how long a sum is used again before the aggregator is asked anew.
//
// It answers many requests a second at each of many entries before many engines: a question
// for each request, answered with what stands at each engine, fills the aggregator's link.
// Each choice then waits as long as it may, and then decides on less than an older sum tells.
type askPace struct{ every time.Duration }

// freshFor is how old a sum may be for a choice that could use one of that age.
func (p *askPace) freshFor(age time.Duration) time.Duration { return max(age, p.every) }

// ended learns from a question that took so long, answered or not.
func (p *askPace) ended(took time.Duration) {
	factor := askPaceFaster
	if took >= slowAnswer {
		factor = askPaceSlower
	}
	p.every = min(maxAskPace, max(sumFreshFor, time.Duration(float64(p.every)*factor)))
}
