package queue

import (
	"slices"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
)

// quantum is what a member of weight 1 may have served in one round, in tokens
// of Work.Cost. A counter question costs about 3,500, so a round gives each
// member one; a dossier of 40,000 waits for ten rounds of the others.
const quantum = 4000

// profileQueue shares one profile's turn among its members.
type profileQueue struct {
	name  string
	share float64
	// pass is the profile's virtual time: cost served over share.
	pass   float64
	flows  map[string]*flow
	active []*flow
	turn   int
	drain  *drain
}

func (p *profileQueue) push(it *item) {
	f := p.flows[it.work.Member]
	if f == nil {
		f = &flow{member: it.work.Member, owner: p}
		p.flows[it.work.Member] = f
	}
	f.weight = positive(it.work.MemberWeight)
	if len(f.items) == 0 {
		p.active = append(p.active, f)
	}
	f.push(it)
}

// idle takes a flow without work out of the round. Its deficit is forgotten, so
// that a member can't save up turns while it is silent.
func (p *profileQueue) idle(f *flow) {
	for i, other := range p.active {
		if other != f {
			continue
		}
		p.active = append(p.active[:i], p.active[i+1:]...)
		if i < p.turn {
			p.turn--
		}
		break
	}
	if len(p.active) > 0 {
		p.turn %= len(p.active)
	} else {
		p.turn = 0
	}
	delete(p.flows, f.member)
}

// critical gives the fitting head with the earliest deadline that must start now,
// nil when none must. It looks at the heads of at most maxTries members.
func (p *profileQueue) critical(now time.Duration, fits func(*decision.Work) bool, tries *int) *item {
	var first *item
	for i := range p.active[:min(len(p.active), maxTries)] {
		it := p.active[(p.turn+i)%len(p.active)].head()
		if it.mustStart(now) && (first == nil || it.work.FinishBy < first.work.FinishBy) {
			first = it
		}
	}
	if first == nil || !try(first, fits, tries) {
		return nil
	}
	return first
}

// next gives the member's head whose turn it is by deficit round robin: of those
// that fit, the one that needs the fewest rounds. Rounds in which nobody can
// afford its head are passed over in one step.
func (p *profileQueue) next(fits func(*decision.Work) bool, tries *int) *item {
	var tried [maxTries]*flow
	for n := 0; n < maxTries && *tries > 0; n++ {
		index, rounds := p.nearest(tried[:n])
		if index < 0 {
			return nil
		}
		f := p.active[index]
		if try(f.head(), fits, tries) {
			return p.serve(index, rounds)
		}
		tried[n] = f
	}
	return nil
}

// nearest gives the flow that needs the fewest rounds, the first in turn of
// several, and how many it needs; -1 when all were tried.
func (p *profileQueue) nearest(tried []*flow) (index int, rounds float64) {
	index = -1
	for i := range p.active {
		at := (p.turn + i) % len(p.active)
		if slices.Contains(tried, p.active[at]) {
			continue
		}
		need := p.active[at].roundsToAfford()
		if index < 0 || need < rounds {
			index, rounds = at, need
		}
		if need == 0 {
			break
		}
	}
	return index, rounds
}

// serve charges the member's head after giving all members their rounds.
func (p *profileQueue) serve(index int, rounds float64) *item {
	if rounds > 0 {
		for _, f := range p.active {
			f.deficit += rounds * quantum * f.weight
		}
	}
	f := p.active[index]
	it := f.head()
	f.deficit -= it.work.Cost()
	p.turn = index
	if len(f.items) > 1 && f.deficit < f.items.second().work.Cost() {
		p.turn = (index + 1) % len(p.active)
	}
	return it
}

// roundsToAfford is how many more rounds the member needs for its head.
func (f *flow) roundsToAfford() float64 {
	missing := f.head().work.Cost() - f.deficit
	if missing <= 0 {
		return 0
	}
	return ceil(missing / (quantum * f.weight))
}

// second gives the item that is head when the first has gone; the heap has two
// items or more.
func (h flowHeap) second() *item {
	if len(h) > 2 && h.Less(2, 1) {
		return h[2]
	}
	return h[1]
}

func try(it *item, fits func(*decision.Work) bool, tries *int) bool {
	if *tries <= 0 {
		return false
	}
	*tries--
	return fits(&it.work)
}
