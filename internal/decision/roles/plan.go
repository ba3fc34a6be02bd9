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
	p.demand.add(engineSeconds(&o), o.Interval)
	fleet := survey(&o)
	if fleet.away >= max(1, o.Bounds.MaxAway) || fleet.split.Size() == 0 {
		return nil
	}
	target, gain := p.best(&o, fleet)
	need := fleet.split.Changes(target)
	if need == 0 {
		return nil
	}
	cost := changeCost(&o, fleet) * float64(need)
	if gain <= cost {
		return nil
	}
	return Towards(&o, target, "offered mix", figures(target, gain, cost))
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

// horizon is how long a mix is reckoned to last.
const horizon = 60 * time.Second

func (p *Planner) best(o *Observation, f fleetState) (Split, float64) {
	size := f.split.Size()
	best, bestGain, bestNet := f.split, 0.0, 0.0
	current := p.value(f.split, o.Rates.Mixed)
	for _, s := range Splits(size, o.Bounds.MinMixedShare) {
		gain := (p.value(s, o.Rates.Mixed) - current) * horizon.Seconds()
		net := gain - changeCost(o, f)*float64(f.split.Changes(s))
		if net > bestNet {
			best, bestGain, bestNet = s, gain, net
		}
	}
	return best, bestGain
}

// value is the mean of what the split would have served lately, in engines.
func (p *Planner) value(s Split, mixed float64) float64 {
	sum := 0.0
	for i := range p.demand.count {
		sum += Served(s, p.demand.recent(i), mixed)
	}
	return sum / float64(max(1, p.demand.count))
}

// changeCost is what one change costs, in engine-seconds.
func changeCost(o *Observation, f fleetState) float64 {
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
		{Name: "gain_engine_seconds", Value: gain},
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

func engineSeconds(o *Observation) Demand {
	return Demand{Prefill: o.PrefillTokens / o.Rates.Prefill, Decode: o.DecodeTokens / o.Rates.Decode}
}
