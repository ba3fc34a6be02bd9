package roles

import (
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
)

// Plan takes in an observation and gives the changes to order now, at most as
// many as may be away at once.
func (p *Planner) Plan(now time.Duration, o Observation) []Change {
	o.Rates = o.Rates.withDefaults()
	f := survey(&o)
	p.regrets.reset(f.split, o.Bounds.MinMixedShare)
	p.regrets.add(demandOf(&o), o.Rates.MixedEfficiency, o.Interval)
	if f.away >= max(1, o.Bounds.MaxUnavailable) {
		return nil
	}
	c := changeCost(&o)
	best, ok := p.regrets.best(c)
	if !ok {
		return nil
	}
	changes := ChangesTowards(&o, best.split, "offered mix", figures(best, c))
	p.regrets.spend(best.regret * float64(len(changes)) / float64(best.changes))
	return changes
}

// fleetState sums up the engines: those that change count with their target.
type fleetState struct {
	split Split
	away  int
}

func survey(o *Observation) fleetState {
	var f fleetState
	for i := range o.Engines {
		e := &o.Engines[i]
		if e.Changing {
			f.away++
			f.split.count(e.TargetRole, 1)
		} else if e.Usable {
			f.split.count(e.Role, 1)
		}
	}
	return f
}

// cost is what one change costs, in engine-seconds.
type cost struct {
	// away is the work that is not done meanwhile, price what the profiles ask
	// for beyond that.
	away, price float64
}

// movePart is the part of an engine's running work that a change costs again:
// prefill that was begun starts over, streams wait for their KV cache.
const movePart = 1

// changeCost weighs the time away by how much more the deployment minds changes
// than goodput.
func changeCost(o *Observation) cost {
	ratio := 1.0
	if o.Price.GoodputWeight > 0 && o.Price.ChangeWeight > 0 {
		ratio = o.Price.ChangeWeight / o.Price.GoodputWeight
	}
	busy := 0.0
	for i := range o.Engines {
		busy += o.Engines[i].PendingTokens
	}
	moved := movePart * busy / o.Rates.Prefill / float64(max(1, len(o.Engines)))
	return cost{
		away:  o.Bounds.ChangeTime.Seconds()*ratio + moved,
		price: o.Price.PerChange.Seconds(),
	}
}

// ChangesTowards gives the changes that lead from the present split towards target, no
// more than may be away at once, the engines with the least to move first.
func ChangesTowards(o *Observation, target Split, reason string, figures []decision.Figure) []Change {
	var changes []Change
	f := survey(o)
	for range max(1, o.Bounds.MaxUnavailable) - f.away {
		from, to, ok := step(f.split, target)
		if !ok {
			break
		}
		e := idlest(o, from, changes)
		if e == nil {
			break
		}
		f.split.count(from, -1)
		f.split.count(to, 1)
		changes = append(changes, Change{Engine: e.ID, From: from, To: to, Reason: reason, Figures: figures})
	}
	return changes
}

func figures(best candidate, c cost) []decision.Figure {
	return []decision.Figure{
		{Name: "regret_engine_seconds", Value: best.regret},
		{Name: "expected_engine_seconds", Value: best.expected},
		{Name: "cost_engine_seconds", Value: float64(best.changes) * (c.away + c.price)},
		{Name: "target_prefill", Value: float64(best.split.Prefill)},
		{Name: "target_mixed", Value: float64(best.split.Mixed)},
		{Name: "target_decode", Value: float64(best.split.Decode)},
	}
}

// step gives one change from s towards target.
func step(s, target Split) (from, to engineapi.Role, ok bool) {
	diff := [3]int{target.Prefill - s.Prefill, target.Mixed - s.Mixed, target.Decode - s.Decode}
	names := [3]engineapi.Role{engineapi.RolePrefill, engineapi.RoleMixed, engineapi.RoleDecode}
	least, most := 0, 0
	for i := range diff {
		if diff[i] < diff[least] {
			least = i
		}
		if diff[i] > diff[most] {
			most = i
		}
	}
	return names[least], names[most], diff[least] < 0 && diff[most] > 0
}

// idlest gives the engine of that role with the least to move, of several the one that began
// last: it holds the fewest prompts.
func idlest(o *Observation, role engineapi.Role, taken []Change) *Engine {
	var best *Engine
	for i := range o.Engines {
		e := &o.Engines[i]
		if e.Changing || !e.Usable || !sameRole(e.Role, role) || isTaken(taken, e.ID) {
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

func isTaken(taken []Change, id string) bool {
	for i := range taken {
		if taken[i].Engine == id {
			return true
		}
	}
	return false
}

// Defaults of Rates: those of internal/enginemodel.
const (
	defaultPrefillRate = 10000
	defaultDecodeRate  = 889
	defaultMixed       = 0.8
)

func (r Rates) withDefaults() Rates {
	if r.Prefill <= 0 {
		r.Prefill = defaultPrefillRate
	}
	if r.Decode <= 0 {
		r.Decode = defaultDecodeRate
	}
	if r.MixedEfficiency <= 0 {
		r.MixedEfficiency = defaultMixed
	}
	return r
}

// minInterval keeps an observation over no time from counting as endless demand.
const minInterval = 0.001

// demandOf is the offered demand in engines' worth.
func demandOf(o *Observation) Demand {
	secs := max(o.Interval.Seconds(), minInterval)
	return Demand{
		Prefill: o.PrefillTokens / o.Rates.Prefill / secs,
		Decode:  o.DecodeTokens / o.Rates.Decode / secs,
	}
}
