package policy

import (
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision/roles"
	"goldcrestseam.dev/goldcrestseam/internal/enginemodel"
)

// rolePolicy decides on role changes; it is called once every planEvery.
type rolePolicy interface {
	plan(now time.Duration, o roles.Observation) []roles.Change
}

// productionPolicy is the planner that goldcrest-control runs.
type productionPolicy struct{ planner *roles.Planner }

func newProductionPolicy() rolePolicy { return &productionPolicy{roles.NewPlanner()} }

func (p *productionPolicy) plan(now time.Duration, o roles.Observation) []roles.Change {
	return p.planner.Plan(now, o)
}

// staticPolicy never changes the split.
type staticPolicy struct{}

func (staticPolicy) plan(time.Duration, roles.Observation) []roles.Change { return nil }

// followPolicy changes at once to the split that best serves the demand of the last few plans.
type followPolicy struct{ window demandWindow }

// followWindowPlans is the number of plans that followPolicy averages over. With fewer, a single
// long prompt would dominate the demand.
const followWindowPlans = 5

func (p *followPolicy) plan(_ time.Duration, o roles.Observation) []roles.Change {
	d := p.window.add(&o, followWindowPlans)
	target := bestSplit(&o, d)
	return roles.ChangesTowards(&o, target, "follow", nil)
}

// demandWindow is the average demand over the last plans.
type demandWindow struct{ demands []roles.Demand }

func (w *demandWindow) add(o *roles.Observation, maxPlans int) roles.Demand {
	w.demands = append(w.demands, offeredDemand(o))
	if len(w.demands) > maxPlans {
		w.demands = w.demands[1:]
	}
	return mean(w.demands)
}

func mean(demands []roles.Demand) roles.Demand {
	var sum roles.Demand
	for _, d := range demands {
		sum.Prefill += d.Prefill
		sum.Decode += d.Decode
	}
	n := float64(max(1, len(demands)))
	return roles.Demand{Prefill: sum.Prefill / n, Decode: sum.Decode / n}
}

func offeredDemand(o *roles.Observation) roles.Demand {
	seconds := o.Interval.Seconds()
	return roles.Demand{
		Prefill: o.PrefillTokens / enginemodel.DefaultPrefillRate / seconds,
		Decode:  o.DecodeTokens / enginemodel.Config{}.FullDecodeRate() / seconds,
	}
}

// bestSplit returns the split that serves most of the demand; among equals, the one that needs the
// fewest changes.
func bestSplit(o *roles.Observation, demand roles.Demand) roles.Split {
	current := roles.CurrentSplit(o)
	best, bestValue := current, roles.ServedDemand(current, demand, o.Rates.MixedEfficiency)
	for _, s := range roles.CandidateSplits(current.Size(), o.Bounds.MinMixedShare) {
		value := roles.ServedDemand(s, demand, o.Rates.MixedEfficiency)
		if value > bestValue+1e-9 || (value > bestValue-1e-9 && current.ChangesTo(s) < current.ChangesTo(best)) {
			best, bestValue = s, value
		}
	}
	return best
}

// thresholdPolicy changes the role of one engine when one role is overloaded and the other
// underused, with a cooldown after each change.
type thresholdPolicy struct {
	window     demandWindow
	lastChange time.Duration
}

// Settings that operators without a planner commonly use: a role is overloaded above 90% of its
// capacity and underused below 70%, averaged over 30 plans of one second, with a cooldown of 30 s.
const (
	thresholdOverloaded  = 0.9
	thresholdUnderused   = 0.7
	thresholdWindowPlans = 30
	thresholdCooldown    = 30 * time.Second
)

func (p *thresholdPolicy) plan(now time.Duration, o roles.Observation) []roles.Change {
	d := p.window.add(&o, thresholdWindowPlans)
	if now-p.lastChange < thresholdCooldown {
		return nil
	}
	current := roles.CurrentSplit(&o)
	mixedCapacity := float64(current.Mixed) * o.Rates.MixedEfficiency / 2
	prefill := d.Prefill / (float64(current.Prefill) + mixedCapacity)
	decode := d.Decode / (float64(current.Decode) + mixedCapacity)
	target := current
	switch {
	case prefill > thresholdOverloaded && decode < thresholdUnderused && current.Decode > 0:
		target.Prefill, target.Decode = current.Prefill+1, current.Decode-1
	case decode > thresholdOverloaded && prefill < thresholdUnderused && current.Prefill > 0:
		target.Prefill, target.Decode = current.Prefill-1, current.Decode+1
	default:
		return nil
	}
	p.lastChange = now
	return roles.ChangesTowards(&o, target, "thresholds", nil)
}
