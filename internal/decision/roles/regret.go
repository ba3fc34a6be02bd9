package roles

import (
	"math"
	"time"
)

// regretTime is the time constant with which regret fades: what was lost an hour
// ago says little on the next minutes.
const regretTime = 10 * time.Minute

// rateTime is the time constant of the rate at which regret grows now, horizon
// how long that rate is reckoned to go on.
const (
	rateTime = 20 * time.Second
	horizon  = 3 * time.Minute
)

// regrets keep for each other split how many engine-seconds of offered work the
// present split lost beyond what that one would have lost, lately, and at what
// rate it does so now.
type regrets struct {
	size     int
	share    float64
	current  Split
	now      backlog // of the present split
	options  []Split
	backlogs []backlog
	sums     []float64
	rates    []float64
}

// reset starts anew when the fleet or the bound on mixed engines changed: an
// engine that is lost for good makes other splits the candidates. The backlog
// stays.
func (r *regrets) reset(current Split, minMixedShare float64) {
	if r.size != current.Size() || r.share != minMixedShare {
		r.size, r.share = current.Size(), minMixedShare
		r.options = CandidateSplits(r.size, minMixedShare)
		r.sums = make([]float64, len(r.options))
		r.rates = make([]float64, len(r.options))
		r.backlogs = make([]backlog, len(r.options))
		r.level()
	}
	if r.current != current {
		r.current = current
		r.level()
	}
}

// level gives all splits the backlog that there is: from here on they are
// compared.
func (r *regrets) level() {
	for i := range r.backlogs {
		r.backlogs[i] = r.now
	}
}

// add notes what each split would have lost in the interval. A split that would
// have lost more than the present one loses its regret, down to zero: a swing
// back takes away what the swing there gave.
func (r *regrets) add(offered Demand, mixed float64, interval time.Duration) {
	lost := r.now.step(r.current, offered, mixed, interval)
	keep := decay(interval, regretTime)
	keepRate := decay(interval, rateTime)
	for i, s := range r.options {
		gain := lost - r.backlogs[i].step(s, offered, mixed, interval)
		r.sums[i] = max(0, keep*r.sums[i]+gain)
		r.rates[i] = keepRate*r.rates[i] + (1-keepRate)*gain/interval.Seconds()
	}
}

func decay(interval, constant time.Duration) float64 {
	return math.Exp(-interval.Seconds() / constant.Seconds())
}

// candidate is a split to change to.
type candidate struct {
	split   Split
	changes int
	// regret and expected are in engine-seconds: what was lost lately, and that
	// with what will be over the horizon at the present rate.
	regret, expected float64
}

// best gives the split that wins most beyond its cost; false when none does. Two
// things must hold. What was lost lately must exceed the seconds that engines
// are away: so an oscillation that is faster than changes pay never gets one.
// And that with what will be lost over the horizon must exceed the whole cost
// with its price: so a lasting shift does not have to be paid for in full first.
func (r *regrets) best(c cost) (candidate, bool) {
	var best candidate
	bestNet := 0.0
	for i, s := range r.options {
		changes := r.current.ChangesTo(s)
		n := float64(changes)
		expected := r.sums[i] + max(0, r.rates[i])*horizon.Seconds()
		net := expected - n*(c.away+c.price)
		if changes > 0 && r.sums[i] > n*c.away && net > bestNet {
			best, bestNet = candidate{s, changes, r.sums[i], expected}, net
		}
	}
	return best, bestNet > 0
}

// spend takes away the part of the regrets that changes were made for.
func (r *regrets) spend(regret float64) {
	for i := range r.sums {
		r.sums[i] = max(0, r.sums[i]-regret)
	}
}
