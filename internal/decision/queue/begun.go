package queue

import (
	"slices"
	"time"
)

const (
	// starveLimit is how long begun work waits among the rest before room is made
	// for it: its caller sees its stream stand still.
	starveLimit = time.Second
	// holdLimit is how long the rest is held back then, and how long it goes on
	// after that. An engine's memory gets free within some seconds; work that fits
	// nowhere must not hold all others back for good.
	holdLimit = 3 * time.Second
)

// starved gives begun work for which the rest of the pool is held back, or nil.
//
// Failure: an engine dies at twice the fleet's load. What ran there needs as much
// memory elsewhere as it has tokens, and new questions take each bit that gets
// free before there is enough: streams that were accepted stand still until their
// callers give up, while the fleet serves what came later.
func (p *pool) starved(now time.Duration) *item {
	if len(p.begun) == 0 {
		return nil
	}
	it := p.begun[0]
	if !it.seen {
		it.seen, it.since = true, now
	}
	waited := now - it.since - starveLimit
	if waited < 0 || waited%(2*holdLimit) >= holdLimit {
		return nil
	}
	return it
}

func (p *pool) forget(it *item) {
	p.begun = slices.DeleteFunc(p.begun, func(other *item) bool { return other == it })
}
