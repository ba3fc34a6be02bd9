package queue

import (
	"math"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
	"goldcrestseam.dev/goldcrestseam/internal/declaration"
)

// pool holds the profiles that compete for the same servers.
type pool struct {
	profiles []*profileQueue
	byName   map[string]*profileQueue
	// begun is work that callers hold a part of, the longest waiting first.
	begun []*item
	// virtual is the pass of the profile served last.
	virtual float64
	// waiting is how many works wait here, drain at what rate they leave.
	waiting int
	drain   *drain
}

func newPool() *pool { return &pool{byName: make(map[string]*profileQueue), drain: &drain{}} }

func (p *pool) push(it *item) {
	pq := p.byName[it.work.Profile]
	if pq == nil {
		pq = &profileQueue{name: it.work.Profile, flows: make(map[string]*flow), drain: &drain{}}
		p.byName[it.work.Profile] = pq
		p.insert(pq, it.work.Class)
	}
	pq.share = positive(it.work.ProfileShare)
	if len(pq.active) == 0 {
		// Guards against a profile that was idle for an hour and then holds all
		// others back with the turns it saved up: it starts where they are.
		pq.pass = max(pq.pass, p.virtual)
	}
	pq.push(it)
}

// insert keeps urgent profiles before the others, so that of several works that
// must start now the urgent one goes first: it is small.
func (p *pool) insert(pq *profileQueue, class declaration.Class) {
	if class == declaration.ClassBulk {
		p.profiles = append(p.profiles, pq)
		return
	}
	p.profiles = append([]*profileQueue{pq}, p.profiles...)
}

// pop takes the next item that fits: first one that must start now, then by
// the profiles' shares.
func (p *pool) pop(now time.Duration, fits func(*decision.Work) bool, tries *int) *item {
	if p.waiting > 0 {
		p.drain.begin(now)
	}
	for _, pq := range p.profiles {
		if len(pq.active) > 0 {
			pq.drain.begin(now)
		}
	}
	if it := p.starved(now); it != nil {
		if !try(it, fits, tries) {
			return nil
		}
		return p.take(now, p.byName[it.work.Profile], it)
	}
	for _, pq := range p.profiles {
		if it := pq.critical(now, fits, tries); it != nil {
			it.flow.deficit -= it.work.Cost()
			return p.take(now, pq, it)
		}
	}
	var tried uint64
	for range p.profiles {
		pq, bit := p.lowest(tried)
		if pq == nil {
			return nil
		}
		tried |= bit
		share := max(1, *tries/2)
		left := share
		if it := pq.next(fits, &left); it != nil {
			return p.take(now, pq, it)
		}
		*tries -= share - left
	}
	return nil
}

// lowest gives the profile with work and the smallest pass that was not tried;
// tried has a bit per profile, profiles beyond 64 share the last one.
func (p *pool) lowest(tried uint64) (*profileQueue, uint64) {
	var best *profileQueue
	var bestBit uint64
	for i, pq := range p.profiles {
		bit := uint64(1) << min(i, 63)
		if len(pq.active) == 0 || tried&bit != 0 {
			continue
		}
		if best == nil || pq.pass < best.pass {
			best, bestBit = pq, bit
		}
	}
	return best, bestBit
}

func (p *pool) take(now time.Duration, pq *profileQueue, it *item) *item {
	p.virtual = max(p.virtual, pq.pass)
	pq.pass += it.work.Cost() / pq.share
	it.flow.remove(it)
	pq.drain.served(now, it.work.Cost(), len(pq.active) == 0)
	p.drain.served(now, it.work.Cost(), false)
	return it
}

// positive gives 1 for a weight that was left out.
func positive(weight float64) float64 {
	if weight <= 0 {
		return 1
	}
	return weight
}

func ceil(v float64) float64 { return math.Ceil(v) }
