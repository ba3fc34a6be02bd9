package queue

import (
	"slices"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
)

// quantum is the cost, as in Work.Cost, that a member of weight 1 may have served in one
// round. A short interactive request costs about 3,500, so a round gives each member one; a
// bulk request of 40,000 waits for ten rounds of the others.
const quantum = 4000

// profileQueue shares one profile's turns among its members.
type profileQueue struct {
	name  string
	share float64
	// pass is the profile's virtual time in stride scheduling: cost served divided by share.
	pass       float64
	flows      map[string]*flow
	active     []*flow
	turnIndex  int
	throughput *throughput
}

func (p *profileQueue) push(it *item) {
	f := p.flows[it.work.Member]
	if f == nil {
		f = &flow{member: it.work.Member, profile: p}
		p.flows[it.work.Member] = f
	}
	f.weight = weightOrDefault(it.work.MemberWeight)
	if len(f.items) == 0 {
		p.active = append(p.active, f)
	}
	f.push(it)
}

// deactivate removes a flow without work from the round. Its deficit is dropped, so that an
// idle member can't save turns.
func (p *profileQueue) deactivate(f *flow) {
	for i, other := range p.active {
		if other != f {
			continue
		}
		p.active = append(p.active[:i], p.active[i+1:]...)
		if i < p.turnIndex {
			p.turnIndex--
		}
		break
	}
	if len(p.active) > 0 {
		p.turnIndex %= len(p.active)
	} else {
		p.turnIndex = 0
	}
	delete(p.flows, f.member)
}

// earliestCritical returns the head with the earliest deadline among those that must start
// now; nil if there is none or it does not fit. It looks at the heads of at most maxTries
// members.
func (p *profileQueue) earliestCritical(now time.Duration, fits func(*decision.Work) bool, tries *int) *item {
	var first *item
	for i := range p.active[:min(len(p.active), maxTries)] {
		it := p.active[(p.turnIndex+i)%len(p.active)].head()
		if it.mustStart(now) && (first == nil || it.work.FinishBy < first.work.FinishBy) {
			first = it
		}
	}
	if first == nil || !tryItem(first, fits, tries) {
		return nil
	}
	return first
}

// next picks a member's head by deficit round robin: of the heads that fit, the one that
// needs the fewest rounds. Rounds in which no member can afford its head are skipped in one
// step.
func (p *profileQueue) next(fits func(*decision.Work) bool, tries *int) *item {
	var tried [maxTries]*flow
	for n := 0; n < maxTries && *tries > 0; n++ {
		index, rounds := p.fewestRounds(tried[:n])
		if index < 0 {
			return nil
		}
		f := p.active[index]
		if tryItem(f.head(), fits, tries) {
			return p.serve(index, rounds)
		}
		tried[n] = f
	}
	return nil
}

// fewestRounds returns the index of the flow that needs the fewest rounds, the first in turn
// among equals, and their number; -1 if all are in tried.
func (p *profileQueue) fewestRounds(tried []*flow) (index int, rounds float64) {
	index = -1
	for i := range p.active {
		at := (p.turnIndex + i) % len(p.active)
		if slices.Contains(tried, p.active[at]) {
			continue
		}
		needed := p.active[at].roundsToAfford()
		if index < 0 || needed < rounds {
			index, rounds = at, needed
		}
		if needed == 0 {
			break
		}
	}
	return index, rounds
}

// serve gives all members their rounds, then charges the cost of the chosen member's head.
func (p *profileQueue) serve(index int, rounds float64) *item {
	if rounds > 0 {
		for _, f := range p.active {
			f.deficit += rounds * quantum * f.weight
		}
	}
	f := p.active[index]
	it := f.head()
	f.deficit -= it.work.Cost()
	p.turnIndex = index
	if len(f.items) > 1 && f.deficit < f.items.nextHead().work.Cost() {
		p.turnIndex = (index + 1) % len(p.active)
	}
	return it
}

// roundsToAfford returns how many more rounds the member needs for its head.
func (f *flow) roundsToAfford() float64 {
	missing := f.head().work.Cost() - f.deficit
	if missing <= 0 {
		return 0
	}
	return ceil(missing / (quantum * f.weight))
}

// nextHead returns the item that becomes the head when the current one is removed; the heap
// has at least two items.
func (h flowHeap) nextHead() *item {
	if len(h) > 2 && h.Less(2, 1) {
		return h[2]
	}
	return h[1]
}

func tryItem(it *item, fits func(*decision.Work) bool, tries *int) bool {
	if *tries <= 0 {
		return false
	}
	*tries--
	return fits(&it.work)
}
