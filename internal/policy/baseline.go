package policy

import (
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision/roles"
	"goldcrestseam.dev/goldcrestseam/internal/enginemodel"
)

// rolePolicy decides on role changes once every planEvery.
type rolePolicy interface {
	plan(now time.Duration, o roles.Observation) []roles.Change
}

// ours is the planner that goldcrest-control runs.
type ours struct{ planner *roles.Planner }

func newOurs() rolePolicy { return &ours{roles.NewPlanner()} }

func (p *ours) plan(now time.Duration, o roles.Observation) []roles.Change {
	return p.planner.Plan(now, o)
}

// never keeps the split.
type never struct{}

func (never) plan(time.Duration, roles.Observation) []roles.Change { return nil }

// follow takes the split that serves the last seconds' demand best, at once.
type follow struct{ window window }

// followWindow is over how long it looks: less is single dossiers.
const followWindow = 5

func (p *follow) plan(_ time.Duration, o roles.Observation) []roles.Change {
	d := p.window.add(&o, followWindow)
	target := bestSplit(&o, d)
	return roles.ChangesTowards(&o, target, "follow", nil)
}

// window is a mean of demand over the last plans.
type window struct{ demands []roles.Demand }

func (w *window) add(o *roles.Observation, length int) roles.Demand {
	w.demands = append(w.demands, demandOf(o))
	if len(w.demands) > length {
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

func demandOf(o *roles.Observation) roles.Demand {
	secs := o.Interval.Seconds()
	return roles.Demand{
		Prefill: o.PrefillTokens / enginemodel.DefaultPrefillRate / secs,
		Decode:  o.DecodeTokens / enginemodel.Config{}.FullDecodeRate() / secs,
	}
}

// bestSplit is the split that serves most of d; of several that do, the one
// nearest to the present split.
func bestSplit(o *roles.Observation, d roles.Demand) roles.Split {
	now := roles.CurrentSplit(o)
	best, bestValue := now, roles.ServedDemand(now, d, o.Rates.MixedEfficiency)
	for _, s := range roles.CandidateSplits(now.Size(), o.Bounds.MinMixedShare) {
		v := roles.ServedDemand(s, d, o.Rates.MixedEfficiency)
		if v > bestValue+1e-9 || (v > bestValue-1e-9 && now.ChangesTo(s) < now.ChangesTo(best)) {
			best, bestValue = s, v
		}
	}
	return best
}

// thresholds moves one engine when one side is busy and the other is not, with
// a pause after each change.
type thresholds struct {
	window window
	last   time.Duration
}

// What operators without a planner commonly set: a side is short above 90% of
// its capacity, has engines to give below 70%, looked at over 30 s with a pause
// of 30 s.
const (
	thresholdBusy   = 0.9
	thresholdIdle   = 0.7
	thresholdWindow = 30
	thresholdPause  = 30 * time.Second
)

func (p *thresholds) plan(now time.Duration, o roles.Observation) []roles.Change {
	d := p.window.add(&o, thresholdWindow)
	if now-p.last < thresholdPause {
		return nil
	}
	s := roles.CurrentSplit(&o)
	band := float64(s.Mixed) * o.Rates.MixedEfficiency / 2
	prefill := d.Prefill / (float64(s.Prefill) + band)
	decode := d.Decode / (float64(s.Decode) + band)
	target := s
	switch {
	case prefill > thresholdBusy && decode < thresholdIdle && s.Decode > 0:
		target.Prefill, target.Decode = s.Prefill+1, s.Decode-1
	case decode > thresholdBusy && prefill < thresholdIdle && s.Prefill > 0:
		target.Prefill, target.Decode = s.Prefill-1, s.Decode+1
	default:
		return nil
	}
	p.last = now
	return roles.ChangesTowards(&o, target, "thresholds", nil)
}
