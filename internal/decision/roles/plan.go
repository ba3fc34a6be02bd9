package roles

import (
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
)

// Plan records an observation and returns the role changes to order now, at most as many as the
// bound on unavailable engines allows.
func (p *Planner) Plan(now time.Duration, o Observation) []Change {
	o.Rates = o.Rates.withDefaults()
	fleet := summarize(&o)
	p.regrets.update(fleet.split, o.Bounds.MinMixedShare)
	p.regrets.record(offeredDemand(&o), o.Rates.MixedEfficiency, o.Interval)
	if fleet.unavailable >= max(1, o.Bounds.MaxUnavailable) {
		return nil
	}
	cost := estimateChangeCost(&o)
	best, ok := p.regrets.bestChange(cost)
	if !ok {
		return nil
	}
	changes := ChangesTowards(&o, best.split, "offered mix", figures(best, cost))
	p.regrets.consume(best.regret * float64(len(changes)) / float64(best.changes))
	return changes
}

// fleetState summarizes the engines; those that are changing count with their target role.
type fleetState struct {
	split       Split
	unavailable int
}

func summarize(o *Observation) fleetState {
	var f fleetState
	for i := range o.Engines {
		e := &o.Engines[i]
		if e.Changing {
			f.unavailable++
			f.split.count(e.TargetRole, 1)
		} else if e.Usable || e.Expected {
			f.split.count(e.Role, 1)
		}
	}
	return f
}

// changeCost is the cost of one role change, in engine-seconds.
type changeCost struct {
	// lostWork is the work that is not done during the change; price is what the profiles demand
	// beyond that.
	lostWork, price float64
}

// movedWorkShare is the share of an engine's running work that a change costs again: prefill in
// progress starts over, and streams wait for the transfer of their KV cache.
const movedWorkShare = 1

// estimateChangeCost weights the unavailable time by the ratio of the deployment's weights for
// changes and for goodput.
func estimateChangeCost(o *Observation) changeCost {
	ratio := 1.0
	if o.Price.GoodputWeight > 0 && o.Price.ChangeWeight > 0 {
		ratio = o.Price.ChangeWeight / o.Price.GoodputWeight
	}
	pending := 0.0
	for i := range o.Engines {
		pending += o.Engines[i].PendingTokens
	}
	moveCost := movedWorkShare * pending / o.Rates.Prefill / float64(max(1, len(o.Engines)))
	return changeCost{
		lostWork: o.Bounds.ChangeTime.Seconds()*ratio + moveCost,
		price:    o.Price.PerChange.Seconds(),
	}
}

// ChangesTowards returns the changes that lead from the current split towards the target, within
// the bound on unavailable engines. The engines with the fewest pending tokens change first.
func ChangesTowards(o *Observation, target Split, reason string, figures []decision.Figure) []Change {
	var changes []Change
	f := summarize(o)
	for range max(1, o.Bounds.MaxUnavailable) - f.unavailable {
		from, to, ok := nextChange(f.split, target)
		if !ok {
			break
		}
		e := leastPending(o, from, changes)
		if e == nil {
			break
		}
		f.split.count(from, -1)
		f.split.count(to, 1)
		changes = append(changes, Change{Engine: e.ID, From: from, To: to, Reason: reason, Figures: figures})
	}
	return changes
}

func figures(best candidate, c changeCost) []decision.Figure {
	return []decision.Figure{
		{Name: "regret_engine_seconds", Value: best.regret},
		{Name: "expected_engine_seconds", Value: best.expected},
		{Name: "cost_engine_seconds", Value: float64(best.changes) * (c.lostWork + c.price)},
		{Name: "target_prefill", Value: float64(best.split.Prefill)},
		{Name: "target_mixed", Value: float64(best.split.Mixed)},
		{Name: "target_decode", Value: float64(best.split.Decode)},
	}
}

// nextChange returns one change from s towards the target.
func nextChange(s, target Split) (from, to engineapi.Role, ok bool) {
	diff := [3]int{target.Prefill - s.Prefill, target.Mixed - s.Mixed, target.Decode - s.Decode}
	roles := [3]engineapi.Role{engineapi.RolePrefill, engineapi.RoleMixed, engineapi.RoleDecode}
	surplus, shortage := 0, 0
	for i := range diff {
		if diff[i] < diff[surplus] {
			surplus = i
		}
		if diff[i] > diff[shortage] {
			shortage = i
		}
	}
	return roles[surplus], roles[shortage], diff[surplus] < 0 && diff[shortage] > 0
}

// leastPending returns the engine of that role with the fewest pending tokens. Among equals it
// returns the one that started last, because it has the fewest prompts cached.
func leastPending(o *Observation, role engineapi.Role, chosen []Change) *Engine {
	var best *Engine
	for i := range o.Engines {
		e := &o.Engines[i]
		if e.Changing || !e.Usable || !sameRole(e.Role, role) || isChosen(chosen, e.ID) {
			continue
		}
		if best == nil || e.PendingTokens < best.PendingTokens || e.PendingTokens == best.PendingTokens && e.Age < best.Age {
			best = e
		}
	}
	return best
}

func sameRole(a, b engineapi.Role) bool {
	return a == b || (a == "" && b == engineapi.RoleMixed)
}

func isChosen(chosen []Change, id string) bool {
	for i := range chosen {
		if chosen[i].Engine == id {
			return true
		}
	}
	return false
}

// Defaults of Rates, as in internal/enginemodel.
const (
	defaultPrefillRate     = 10000
	defaultDecodeRate      = 889
	defaultMixedEfficiency = 0.8
)

func (r Rates) withDefaults() Rates {
	if r.Prefill <= 0 {
		r.Prefill = defaultPrefillRate
	}
	if r.Decode <= 0 {
		r.Decode = defaultDecodeRate
	}
	if r.MixedEfficiency <= 0 {
		r.MixedEfficiency = defaultMixedEfficiency
	}
	return r
}

// minInterval keeps an observation over an empty interval from counting as infinite demand.
const minInterval = 0.001

// offeredDemand returns the offered demand in units of fully busy engines.
func offeredDemand(o *Observation) Demand {
	seconds := max(o.Interval.Seconds(), minInterval)
	return Demand{
		Prefill: o.PrefillTokens / o.Rates.Prefill / seconds,
		Decode:  o.DecodeTokens / o.Rates.Decode / seconds,
	}
}
