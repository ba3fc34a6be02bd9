package policy

import (
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision/roles"
	"goldcrestseam.dev/goldcrestseam/internal/enginemodel"
)

// planSlotLength is the time between changes of a clairvoyant plan: one change takes 5 s, and the
// work running on the engine has to move.
const planSlotLength = 10 * time.Second

// scheduledPolicy carries out a plan that was made with knowledge of the whole trace.
type scheduledPolicy struct{ targets []roles.Split }

func (p *scheduledPolicy) plan(now time.Duration, o roles.Observation) []roles.Change {
	i := min(int(now/planSlotLength), len(p.targets)-1)
	target := p.targets[i]
	for target.Size() > roles.CurrentSplit(&o).Size() {
		target = removeEngine(target)
	}
	return roles.ChangesTowards(&o, target, "schedule", nil)
}

// removeEngine removes an engine of the most frequent role, to account for a lost engine.
func removeEngine(s roles.Split) roles.Split {
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

// demandPerSlot returns the offered demand in each slot, in units of fully busy engines.
func demandPerSlot(t *Trace) []roles.Demand {
	demands := make([]roles.Demand, int(t.Length/planSlotLength)+1)
	for i := range t.Requests {
		w := &t.Requests[i]
		d := &demands[int(w.Arrived/planSlotLength)]
		d.Prefill += float64(w.PromptTokens) / enginemodel.DefaultPrefillRate / planSlotLength.Seconds()
		d.Decode += float64(w.OutputTokens) / (enginemodel.Config{}).FullDecodeRate() / planSlotLength.Seconds()
	}
	return demands
}

// smoothDemand averages each slot with its neighbours. Bulk work may wait, so demand may be
// served later than it is offered.
func smoothDemand(demands []roles.Demand, width int) []roles.Demand {
	out := make([]roles.Demand, len(demands))
	for i := range demands {
		out[i] = mean(demands[max(0, i-width/2):min(len(demands), i+1+width/2)])
	}
	return out
}

// bestPlan returns the sequence of splits that serves most of the demand if each change costs the
// given engine-seconds. It is found by dynamic programming over all splits.
func bestPlan(s *Scenario, demands []roles.Demand, cost float64) []roles.Split {
	splits := roles.CandidateSplits(s.Engines, s.Roles.MinMixedShare)
	start := initialSplit(s)
	values := make([]float64, len(splits))
	for i, o := range splits {
		values[i] = -cost * float64(start.ChangesTo(o))
	}
	predecessors := make([][]int, len(demands))
	for t, d := range demands {
		values, predecessors[t] = extendPlan(splits, values, d, cost)
	}
	best := 0
	for i := range values {
		if values[i] > values[best] {
			best = i
		}
	}
	plan := make([]roles.Split, len(demands))
	for t := len(demands) - 1; t >= 0; t-- {
		plan[t] = splits[best]
		best = predecessors[t][best]
	}
	return plan
}

func extendPlan(splits []roles.Split, before []float64, demand roles.Demand, cost float64) ([]float64, []int) {
	after, predecessors := make([]float64, len(splits)), make([]int, len(splits))
	for i, split := range splits {
		best := -1
		for j, previous := range splits {
			if n := previous.ChangesTo(split); n <= 1 && (best < 0 || before[j]-cost*float64(n) > after[i]) {
				best, after[i] = j, before[j]-cost*float64(n)
			}
		}
		predecessors[i] = best
		after[i] += roles.ServedDemand(split, demand, enginemodel.MixedEfficiency) * planSlotLength.Seconds()
	}
	return after, predecessors
}

// Parameters of the plans that the clairvoyant policy tries: the number of slots to average the
// demand over and the cost of a change in engine-seconds.
var (
	clairvoyantSmoothingWidths = []int{1, 6, 18}
	clairvoyantChangeCosts     = []float64{5, 40}
)

// clairvoyant runs all plans and returns the best run. The plans are made with knowledge of the
// future, so the run shows what is at least achievable; upperBound is what no policy can exceed.
func clairvoyant(s *Scenario, t *Trace) *runStats {
	var best *runStats
	demands := demandPerSlot(t)
	for _, width := range clairvoyantSmoothingWidths {
		for _, cost := range clairvoyantChangeCosts {
			plan := &scheduledPolicy{bestPlan(s, smoothDemand(demands, width), cost)}
			best = higherGoodput(best, newSim(s, t, plan, initialSplit(s)).run())
		}
	}
	return higherGoodput(best, newSim(s, t, staticPolicy{}, initialSplit(s)).run())
}

func higherGoodput(a, b *runStats) *runStats {
	if a == nil || b.goodputValue > a.goodputValue {
		return b
	}
	return a
}

// upperBound returns a goodput value that no policy can exceed: all engines work at the full rate
// of their role from the first arrival until the last deadline, nothing is lost to role changes,
// interference or waiting, and the most valuable work goes first.
func upperBound(s *Scenario, t *Trace) float64 {
	var urgent, bulk float64
	lastDeadline := time.Duration(0)
	for i := range t.Requests {
		w := &t.Requests[i]
		lastDeadline = max(lastDeadline, w.FinishBy)
		if w.ProfileShare == s.Urgent.Share && w.Profile == s.Urgent.Name {
			urgent += engineSeconds(w)
		} else {
			bulk += engineSeconds(w)
		}
	}
	capacity := engineSecondsUntil(s, t, lastDeadline)
	if s.Urgent.Share < s.Bulk.Share {
		bulk = min(bulk, capacity)
		urgent = min(urgent, capacity-bulk)
	} else {
		urgent = min(urgent, capacity)
		bulk = min(bulk, capacity-urgent)
	}
	return urgent*s.Urgent.Share + bulk*s.Bulk.Share
}

// engineSecondsUntil returns the total engine time that is available until the given time.
func engineSecondsUntil(s *Scenario, t *Trace, until time.Duration) float64 {
	sum := float64(s.Engines) * until.Seconds()
	for _, l := range t.Losses {
		sum -= (until - l.At).Seconds()
	}
	return sum
}
