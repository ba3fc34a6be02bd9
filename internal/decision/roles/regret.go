package roles

import "time"

// regrets keep for each other split how many engine-seconds of offered work it
// would have served beyond what the present split did, lately.
//
// A change is made once that is more than it costs. So a shift is reckoned to
// last as long again as it has lasted: a horizon that needs no guess. Whatever
// the load does, a policy of this kind loses at most about as much by waiting as
// it pays for changes, and an oscillation faster than the costs never gets one.
type regrets struct {
	size    int
	share   float64
	options []Split
	sums    []float64
}

// reset starts anew when the fleet or the bound on mixed engines changed: an
// engine that is lost for good makes other splits the candidates.
func (r *regrets) reset(size int, minMixedShare float64) {
	if r.size == size && r.share == minMixedShare {
		return
	}
	r.size, r.share = size, minMixedShare
	r.options = Splits(size, minMixedShare)
	r.sums = make([]float64, len(r.options))
}

// add notes what each split would have served over the interval. A split that
// would have served less loses what it has, down to zero: a swing back takes
// away what the swing there gave.
func (r *regrets) add(current Split, d Demand, mixed float64, interval time.Duration) {
	served := Served(current, d, mixed)
	for i, s := range r.options {
		gain := Served(s, d, mixed) - served
		r.sums[i] = max(0, r.sums[i]+gain*interval.Seconds())
	}
}

// best gives the split whose regret exceeds the cost of going there by most, and
// the regret; none when no split does.
func (r *regrets) best(current Split, cost float64) (target Split, regret float64, ok bool) {
	bestNet := 0.0
	for i, s := range r.options {
		net := r.sums[i] - cost*float64(current.Changes(s))
		if net > bestNet {
			target, regret, bestNet, ok = s, r.sums[i], net, true
		}
	}
	return target, regret, ok && current.Changes(target) > 0
}

// spend takes away the part of the regrets that changes were made for.
func (r *regrets) spend(regret float64) {
	for i := range r.sums {
		r.sums[i] = max(0, r.sums[i]-regret)
	}
}
