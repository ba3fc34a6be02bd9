package host

import "time"

const (
	// slowResponse is the response time from which the aggregator or its link counts as
	// loaded: several times that of an idle aggregator in another data centre.
	slowResponse = 8 * time.Millisecond
	// maxSumInterval limits how long a sum is reused. Some of the requests it counts have
	// ended by then.
	maxSumInterval = 200 * time.Millisecond
	// sumIntervalGrowth and sumIntervalDecay are the factors of the interval after a slow and
	// after a fast response.
	sumIntervalGrowth = 2.0
	sumIntervalDecay  = 0.9
)

// sumInterval adapts how long an entry reuses a sum of backlogs before it asks the aggregator
// again: longer while the aggregator responds slowly, shorter while it responds fast.
//
// With many entries, each placing many requests a second, and many engines, one sum per
// request saturates the aggregator's link, since a sum holds the backlog of each engine. Every
// placement decision would then wait until its timeout and be made without any sum, which is
// worse than an older one.
type sumInterval struct{ current time.Duration }

// maxAge returns how old a sum may be for a placement decision that accepts the requested age.
func (p *sumInterval) maxAge(requested time.Duration) time.Duration { return max(requested, p.current) }

// observe adjusts the interval to the duration of a sum request, whether it was answered or not.
func (p *sumInterval) observe(took time.Duration) {
	factor := sumIntervalDecay
	if took >= slowResponse {
		factor = sumIntervalGrowth
	}
	p.current = min(maxSumInterval, max(sumMaxAge, time.Duration(float64(p.current)*factor)))
}
