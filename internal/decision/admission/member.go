package admission

import (
	"math"
	"slices"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
)

// useTime is the time constant of what counts as a member's recent use. A member
// with a sixth of the work sends an entry a dossier in six seconds, so this is some
// twenty of them; over a minute the chance of a few decided on refusals.
const useTime = 2 * time.Minute

// forgetBelow is the use, in tokens, below which a member is forgotten, so that
// 1,300 members that once called do not stay in memory.
const forgetBelow = 10

// use is admitted cost that decays with useTime.
type use struct {
	cost   float64
	weight float64
	at     time.Duration
}

func (u *use) decayed(now time.Duration) float64 {
	return u.cost * math.Exp(-(now-u.at).Seconds()/useTime.Seconds())
}

func (u *use) add(now time.Duration, cost float64) {
	u.cost = u.decayed(now) + cost
	u.at = now
}

// profileUse is the use of one profile: all decay alike, so the total is kept
// without looking at the members.
type profileUse struct {
	members map[string]*use
	total   use
	// weights is the sum of the members' weights.
	weights float64
}

// memberUse tracks what each member was let in lately, per profile.
type memberUse struct {
	profiles map[string]*profileUse
	swept    time.Duration
}

func newMemberUse() *memberUse {
	return &memberUse{profiles: make(map[string]*profileUse)}
}

func (m *memberUse) add(now time.Duration, w *decision.Work) {
	m.sweep(now)
	p := m.profiles[w.Profile]
	if p == nil {
		p = &profileUse{members: make(map[string]*use)}
		m.profiles[w.Profile] = p
	}
	u := p.members[w.Member]
	if u == nil {
		u = &use{}
		p.members[w.Member] = u
	}
	p.weights += weightOf(w) - u.weight
	u.weight = weightOf(w)
	u.add(now, w.Cost())
	p.total.add(now, w.Cost())
}

// share is the member's fair part of its profile among the members that use it,
// and whether its recent use is more than that.
func (m *memberUse) share(now time.Duration, w *decision.Work) (float64, bool) {
	p := m.profiles[w.Profile]
	if p == nil {
		return 1, false
	}
	u := p.members[w.Member]
	if u == nil {
		return weightOf(w) / (p.weights + weightOf(w)), false
	}
	share := weightOf(w) / max(p.weights, weightOf(w))
	return share, len(p.members) > 1 && u.decayed(now) > share*p.total.decayed(now)
}

// othersRate is the cost per second that the other members of the work's profile
// were let in with lately.
func (m *memberUse) othersRate(now time.Duration, w *decision.Work) float64 {
	p := m.profiles[w.Profile]
	if p == nil {
		return 0
	}
	others := p.total.decayed(now)
	if u := p.members[w.Member]; u != nil {
		others -= u.decayed(now)
	}
	return max(0, others) / useTime.Seconds()
}

// sweep forgets members that have not called for long, in order of name so that
// the sums come out the same each time.
func (m *memberUse) sweep(now time.Duration) {
	if now-m.swept < useTime {
		return
	}
	m.swept = now
	for _, p := range m.profiles {
		p.sweep(now)
	}
}

func (p *profileUse) sweep(now time.Duration) {
	var gone []string
	for name, u := range p.members {
		if u.decayed(now) < forgetBelow {
			gone = append(gone, name)
		}
	}
	slices.Sort(gone)
	for _, name := range gone {
		p.weights -= p.members[name].weight
		delete(p.members, name)
	}
}

func weightOf(w *decision.Work) float64 {
	if w.MemberWeight <= 0 {
		return 1
	}
	return w.MemberWeight
}
