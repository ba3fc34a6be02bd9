package queue

import (
	"math"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
	"goldcrestseam.dev/goldcrestseam/internal/declaration"
)

// pool holds the profiles that compete for the same servers.
type pool struct {
	profiles       []*profileQueue
	profilesByName map[string]*profileQueue
	// resumed holds the requests whose callers have a part of the answer, in order of arrival
	// in the queue.
	resumed []*item
	// virtualTime is the virtual time (pass) of the profile that was served last.
	virtualTime float64
	// waiting is the number of requests waiting here, throughput the rate at which they leave.
	waiting    int
	throughput *throughput
}

func newPool() *pool {
	return &pool{profilesByName: make(map[string]*profileQueue), throughput: &throughput{}}
}

func (p *pool) push(it *item) {
	pq := p.profilesByName[it.work.Profile]
	if pq == nil {
		pq = &profileQueue{name: it.work.Profile, flows: make(map[string]*flow), throughput: &throughput{}}
		p.profilesByName[it.work.Profile] = pq
		p.insert(pq, it.work.Class)
	}
	pq.share = weightOrDefault(it.work.ProfileShare)
	if len(pq.active) == 0 {
		// A profile that was idle starts at the pass of the others. Otherwise one that was idle
		// for an hour would be served before them until its pass has caught up.
		pq.pass = max(pq.pass, p.virtualTime)
	}
	pq.push(it)
}

// insert puts urgent profiles before the others: of several requests that must start now,
// the urgent one goes first because it is small.
func (p *pool) insert(pq *profileQueue, class declaration.Class) {
	if class == declaration.ClassBulk {
		p.profiles = append(p.profiles, pq)
		return
	}
	p.profiles = append([]*profileQueue{pq}, p.profiles...)
}

// pop takes the next item that fits: first one that must start now, then by the profiles'
// shares.
func (p *pool) pop(now time.Duration, fits func(*decision.Work) bool, tries *int) *item {
	if p.waiting > 0 {
		p.throughput.markWaiting(now)
	}
	for _, pq := range p.profiles {
		if len(pq.active) > 0 {
			pq.throughput.markWaiting(now)
		}
	}
	if it := p.starved(now); it != nil {
		if !tryItem(it, fits, tries) {
			return nil
		}
		return p.take(now, p.profilesByName[it.work.Profile], it)
	}
	for _, pq := range p.profiles {
		if it := pq.earliestCritical(now, fits, tries); it != nil {
			it.flow.deficit -= it.work.Cost()
			return p.take(now, pq, it)
		}
	}
	var tried uint64
	for range p.profiles {
		pq, bit := p.lowestPass(tried)
		if pq == nil {
			return nil
		}
		tried |= bit
		allowance := max(1, *tries/2)
		remaining := allowance
		if it := pq.next(fits, &remaining); it != nil {
			return p.take(now, pq, it)
		}
		*tries -= allowance - remaining
	}
	return nil
}

// lowestPass returns the profile with work and the smallest pass that is not in tried, and
// its bit there. Each profile has a bit; those beyond the 64th share the last one.
func (p *pool) lowestPass(tried uint64) (*profileQueue, uint64) {
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
	p.virtualTime = max(p.virtualTime, pq.pass)
	pq.pass += it.work.Cost() / pq.share
	it.flow.remove(it)
	pq.throughput.record(now, it.work.Cost(), len(pq.active) == 0)
	p.throughput.record(now, it.work.Cost(), false)
	return it
}

// weightOrDefault returns 1 for a weight that was not set.
func weightOrDefault(weight float64) float64 {
	if weight <= 0 {
		return 1
	}
	return weight
}

func ceil(v float64) float64 { return math.Ceil(v) }
