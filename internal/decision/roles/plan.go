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
	p.demand.add(demandOf(&o), o.Interval)
	f := survey(&o)
	p.regrets.reset(f.split.Size(), o.Bounds.MinMixedShare)
	p.regrets.add(f.split, p.demand.value(), o.Rates.Mixed, o.Interval)
	if f.away >= max(1, o.Bounds.MaxAway) {
		return nil
	}
	cost := changeCost(&o)
	target, regret, ok := p.regrets.best(f.split, cost)
	if !ok {
		return nil
	}
	need := float64(f.split.Changes(target))
	changes := Towards(&o, target, "offered mix", figures(target, regret, cost*need))
	p.regrets.spend(regret * float64(len(changes)) / need)
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
			f.split.count(e.Target, 1)
		} else if e.Usable {
			f.split.count(e.Role, 1)
		}
	}
	return f
}

// changeCost is what one change costs, in engine-seconds.
func changeCost(o *Observation) float64 {
	ratio := 1.0
	if o.Price.GoodputWeight > 0 {
		ratio = o.Price.ChangeWeight / o.Price.GoodputWeight
	}
	return o.Bounds.ChangeTime.Seconds() + o.Price.PerChange.Seconds()*ratio
}

// Towards gives the changes that lead from the present split towards target, no
// more than may be away at once, the engines with the least to move first.
func Towards(o *Observation, target Split, reason string, figures []decision.Figure) []Change {
	var changes []Change
	f := survey(o)
	for range max(1, o.Bounds.MaxAway) - f.away {
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

func figures(target Split, gain, cost float64) []decision.Figure {
	return []decision.Figure{
		{Name: "regret_engine_seconds", Value: gain},
		{Name: "cost_engine_seconds", Value: cost},
		{Name: "target_prefill", Value: float64(target.Prefill)},
		{Name: "target_mixed", Value: float64(target.Mixed)},
		{Name: "target_decode", Value: float64(target.Decode)},
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

// idlest gives the engine of that role with the least to move.
func idlest(o *Observation, role engineapi.Role, taken []Change) *Engine {
	var best *Engine
	for i := range o.Engines {
		e := &o.Engines[i]
		if e.Changing || !e.Usable || !sameRole(e.Role, role) || isTaken(taken, e.ID) {
			continue
		}
		if best == nil || e.Busy < best.Busy {
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
	if r.Mixed <= 0 {
		r.Mixed = defaultMixed
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
