package policy

import (
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision/roles"
	"goldcrestseam.dev/goldcrestseam/internal/enginemodel"
)

// slot is the time between changes of a clairvoyant plan: one change of 5 s and
// the move of what ran there.
const slot = 10 * time.Second

// scheduled carries out a plan that was made with the whole trace known.
type scheduled struct{ targets []roles.Split }

func (p *scheduled) plan(now time.Duration, o roles.Observation) []roles.Change {
	i := min(int(now/slot), len(p.targets)-1)
	target := p.targets[i]
	for target.Size() > roles.CurrentSplit(&o).Size() {
		target = shrink(target)
	}
	return roles.ChangesTowards(&o, target, "schedule", nil)
}

// shrink takes an engine out of the largest part, for one that was lost.
func shrink(s roles.Split) roles.Split {
	switch max(s.Prefill, s.Mixed, s.Decode) {
	case s.Mixed:
		s.Mixed--
	case s.Prefill:
		s.Prefill--
	default:
		s.Decode--
	}
	return s
}

// trueDemand is the offered demand per slot, in engines' worth.
func trueDemand(t *Trace) []roles.Demand {
	demands := make([]roles.Demand, int(t.Length/slot)+1)
	for i := range t.Requests {
		w := &t.Requests[i]
		d := &demands[int(w.Arrived/slot)]
		d.Prefill += float64(w.PromptTokens) / enginemodel.DefaultPrefillRate / slot.Seconds()
		d.Decode += float64(w.OutputTokens) / (enginemodel.Config{}).FullDecodeRate() / slot.Seconds()
	}
	return demands
}

// smoothed means each slot with its successors: dossiers may wait, so demand may
// be served later than it is offered.
func smoothed(demands []roles.Demand, width int) []roles.Demand {
	out := make([]roles.Demand, len(demands))
	for i := range demands {
		out[i] = mean(demands[max(0, i-width/2):min(len(demands), i+1+width/2)])
	}
	return out
}

// bestPlan is the sequence of splits that serves most of the demands at cost
// engine-seconds a change, by dynamic programming over all splits.
func bestPlan(s *Scenario, demands []roles.Demand, cost float64) []roles.Split {
	options := roles.CandidateSplits(s.Engines, s.Roles.MinMixedShare)
	start := initialSplit(s)
	values := make([]float64, len(options))
	for i, o := range options {
		values[i] = -cost * float64(start.ChangesTo(o))
	}
	from := make([][]int, len(demands))
	for t, d := range demands {
		values, from[t] = planSlot(options, values, d, cost)
	}
	best := 0
	for i := range values {
		if values[i] > values[best] {
			best = i
		}
	}
	plan := make([]roles.Split, len(demands))
	for t := len(demands) - 1; t >= 0; t-- {
		plan[t] = options[best]
		best = from[t][best]
	}
	return plan
}

func planSlot(options []roles.Split, before []float64, d roles.Demand, cost float64) ([]float64, []int) {
	after, from := make([]float64, len(options)), make([]int, len(options))
	for i, o := range options {
		best := -1
		for j, p := range options {
			if n := p.ChangesTo(o); n <= 1 && (best < 0 || before[j]-cost*float64(n) > after[i]) {
				best, after[i] = j, before[j]-cost*float64(n)
			}
		}
		from[i] = best
		after[i] += roles.ServedDemand(o, d, enginemodel.MixedEfficiency) * slot.Seconds()
	}
	return after, from
}

// Plans that the clairvoyant policy chooses from by playing each of them: how
// many slots of demand it smooths over, and what a change counts as.
var (
	clairvoyantWidths = []int{1, 6, 18}
	clairvoyantCosts  = []float64{5, 40}
)

// clairvoyant plays all its plans and gives the best run. It is the best of what
// was tried with the future known and so a lower bound of what can be done; the
// upper bound is upperBound.
func clairvoyant(s *Scenario, t *Trace) *tally {
	var best *tally
	demands := trueDemand(t)
	for _, width := range clairvoyantWidths {
		for _, cost := range clairvoyantCosts {
			plan := &scheduled{bestPlan(s, smoothed(demands, width), cost)}
			best = better(best, newSim(s, t, plan, initialSplit(s)).run())
		}
	}
	return better(best, newSim(s, t, never{}, initialSplit(s)).run())
}

func better(a, b *tally) *tally {
	if a == nil || b.goodput > a.goodput {
		return b
	}
	return a
}

// upperBound is a value that no policy can exceed: all engines at the full rate
// of their role from the first arrival until the last deadline, nothing lost to
// changes, interference or waiting, the most valuable work first.
func upperBound(s *Scenario, t *Trace) float64 {
	var urgent, bulk float64
	last := time.Duration(0)
	for i := range t.Requests {
		w := &t.Requests[i]
		last = max(last, w.FinishBy)
		if w.ProfileShare == s.Urgent.Share && w.Profile == s.Urgent.Name {
			urgent += engineSeconds(w)
		} else {
			bulk += engineSeconds(w)
		}
	}
	capacity := capacity(s, t, last)
	if s.Urgent.Share < s.Bulk.Share {
		bulk = min(bulk, capacity)
		urgent = min(urgent, capacity-bulk)
	} else {
		urgent = min(urgent, capacity)
		bulk = min(bulk, capacity-urgent)
	}
	return urgent*s.Urgent.Share + bulk*s.Bulk.Share
}

// capacity is the engine-seconds that there are until a time.
func capacity(s *Scenario, t *Trace, until time.Duration) float64 {
	sum := float64(s.Engines) * until.Seconds()
	for _, l := range t.Losses {
		sum -= (until - l.At).Seconds()
	}
	return sum
}
