package admission

import (
	"math"
	"slices"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
)

// usageDecayTime is the time constant of a member's recent usage. A member with a sixth of
// the work sends an entry a bulk request every six seconds, so this covers about twenty of
// them; over one minute, random differences between a few requests would decide on refusals.
const usageDecayTime = 2 * time.Minute

// minTrackedCost is the usage, in prompt tokens, below which a member is removed. Otherwise
// each of up to 1,300 members would stay in memory once it has called.
const minTrackedCost = 10

// usage is admitted cost that decays with usageDecayTime.
type usage struct {
	cost      float64
	weight    float64
	updatedAt time.Duration
}

func (u *usage) decayed(now time.Duration) float64 {
	return u.cost * math.Exp(-(now-u.updatedAt).Seconds()/usageDecayTime.Seconds())
}

func (u *usage) add(now time.Duration, cost float64) {
	u.cost = u.decayed(now) + cost
	u.updatedAt = now
}

// profileUsage is the usage of one profile. All members decay alike, so the total is kept
// without adding them up.
type profileUsage struct {
	members map[string]*usage
	total   usage
	// weights is the sum of the members' weights.
	weights float64
}

// memberUsage tracks the recently admitted cost of each member, per profile.
type memberUsage struct {
	profiles  map[string]*profileUsage
	lastSweep time.Duration
}

func newMemberUsage() *memberUsage {
	return &memberUsage{profiles: make(map[string]*profileUsage)}
}

func (m *memberUsage) add(now time.Duration, w *decision.Work) {
	m.sweep(now)
	p := m.profiles[w.Profile]
	if p == nil {
		p = &profileUsage{members: make(map[string]*usage)}
		m.profiles[w.Profile] = p
	}
	u := p.members[w.Member]
	if u == nil {
		u = &usage{}
		p.members[w.Member] = u
	}
	p.weights += memberWeight(w) - u.weight
	u.weight = memberWeight(w)
	u.add(now, w.Cost())
	p.total.add(now, w.Cost())
}

// share returns the member's fair share of its profile among the members that use it, and
// whether its recent usage exceeds that.
func (m *memberUsage) share(now time.Duration, w *decision.Work) (float64, bool) {
	p := m.profiles[w.Profile]
	if p == nil {
		return 1, false
	}
	u := p.members[w.Member]
	if u == nil {
		return memberWeight(w) / (p.weights + memberWeight(w)), false
	}
	share := memberWeight(w) / max(p.weights, memberWeight(w))
	return share, len(p.members) > 1 && u.decayed(now) > share*p.total.decayed(now)
}

// othersRate returns the cost per second of the recently admitted requests of the other
// members of the request's profile.
func (m *memberUsage) othersRate(now time.Duration, w *decision.Work) float64 {
	p := m.profiles[w.Profile]
	if p == nil {
		return 0
	}
	others := p.total.decayed(now)
	if u := p.members[w.Member]; u != nil {
		others -= u.decayed(now)
	}
	return max(0, others) / usageDecayTime.Seconds()
}

// sweep removes members that have not called for long. They are removed in order of name, so
// that the floating-point sums are reproducible.
func (m *memberUsage) sweep(now time.Duration) {
	if now-m.lastSweep < usageDecayTime {
		return
	}
	m.lastSweep = now
	for _, p := range m.profiles {
		p.sweep(now)
	}
}

func (p *profileUsage) sweep(now time.Duration) {
	var idle []string
	for name, u := range p.members {
		if u.decayed(now) < minTrackedCost {
			idle = append(idle, name)
		}
	}
	slices.Sort(idle)
	for _, name := range idle {
		p.weights -= p.members[name].weight
		delete(p.members, name)
	}
}

func memberWeight(w *decision.Work) float64 {
	if w.MemberWeight <= 0 {
		return 1
	}
	return w.MemberWeight
}
