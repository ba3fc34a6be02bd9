package roles

import (
	"math"
	"time"
)

// regretTimeConstant is the time constant with which regret decays: work lost an hour ago says
// little about the next minutes.
const regretTimeConstant = 10 * time.Minute

// regretRateTimeConstant is the time constant of the current growth rate of regret.
// forecastHorizon is how long that rate is assumed to continue.
const (
	regretRateTimeConstant = 20 * time.Second
	forecastHorizon        = 3 * time.Minute
)

// regretTracker records for each alternative split its regret: how many engine-seconds of offered
// work the current split recently lost beyond what the alternative would have lost, and the
// current growth rate of that difference.
type regretTracker struct {
	size           int
	minMixedShare  float64
	current        Split
	currentBacklog backlog // of the current split
	candidates     []Split
	backlogs       []backlog
	regrets        []float64
	growthRates    []float64
}

// update restarts the comparison when the size of the fleet or the bound on mixed engines
// changes, because losing an engine for good changes the candidate splits. The backlog is kept.
func (r *regretTracker) update(current Split, minMixedShare float64) {
	if r.size != current.Size() || r.minMixedShare != minMixedShare {
		r.size, r.minMixedShare = current.Size(), minMixedShare
		r.candidates = CandidateSplits(r.size, minMixedShare)
		r.regrets = make([]float64, len(r.candidates))
		r.growthRates = make([]float64, len(r.candidates))
		r.backlogs = make([]backlog, len(r.candidates))
		r.levelBacklogs()
	}
	if r.current != current {
		r.current = current
		r.levelBacklogs()
	}
}

// levelBacklogs sets the backlog of every candidate to the actual one, so that the comparison
// starts from here.
func (r *regretTracker) levelBacklogs() {
	for i := range r.backlogs {
		r.backlogs[i] = r.currentBacklog
	}
}

// record adds what each split would have lost in the interval. A split that would have lost more
// than the current one loses regret, down to zero, so that a swing back cancels the regret from
// the swing before.
func (r *regretTracker) record(offered Demand, mixedEfficiency float64, interval time.Duration) {
	currentLoss := r.currentBacklog.advance(r.current, offered, mixedEfficiency, interval)
	regretDecay := decay(interval, regretTimeConstant)
	rateDecay := decay(interval, regretRateTimeConstant)
	for i, s := range r.candidates {
		excess := currentLoss - r.backlogs[i].advance(s, offered, mixedEfficiency, interval)
		r.regrets[i] = max(0, regretDecay*r.regrets[i]+excess)
		r.growthRates[i] = rateDecay*r.growthRates[i] + (1-rateDecay)*excess/interval.Seconds()
	}
}

func decay(interval, constant time.Duration) float64 {
	return math.Exp(-interval.Seconds() / constant.Seconds())
}

// candidate is a split to change to.
type candidate struct {
	split   Split
	changes int
	// regret is the work lost recently, expected the same plus the work to be lost within the
	// forecast horizon at the current rate, both in engine-seconds.
	regret, expected float64
}

// bestChange returns the split that gains most beyond its cost; false if none gains.
//
// Two conditions must hold. The work lost recently must exceed the engine-seconds that the
// changes take, so that an oscillation too fast for changes to pay off never causes one. The
// expected loss, which includes the forecast, must exceed the whole cost including its price. So
// a lasting shift causes changes before the whole cost has been lost.
func (r *regretTracker) bestChange(cost changeCost) (candidate, bool) {
	var best candidate
	bestNet := 0.0
	for i, s := range r.candidates {
		count := r.current.ChangesTo(s)
		changes := float64(count)
		expected := r.regrets[i] + max(0, r.growthRates[i])*forecastHorizon.Seconds()
		net := expected - changes*(cost.lostWork+cost.price)
		if count > 0 && r.regrets[i] > changes*cost.lostWork && net > bestNet {
			best, bestNet = candidate{s, count, r.regrets[i], expected}, net
		}
	}
	return best, bestNet > 0
}

// consume subtracts the regret that changes were made for.
func (r *regretTracker) consume(regret float64) {
	for i := range r.regrets {
		r.regrets[i] = max(0, r.regrets[i]-regret)
	}
}
