package queue

import (
	"slices"
	"time"
)

const (
	// starvationLimit is how long the first resumed request waits before others are held back
	// for it: its caller's stream has stopped meanwhile.
	starvationLimit = time.Second
	// holdTime is how long the others are held back, and how long they are served again before
	// the next hold. An engine frees memory within a few seconds; a request that fits nowhere
	// must not hold all others back for good.
	holdTime = 3 * time.Second
)

// starved returns the resumed request for which the rest of the pool is held back, or nil.
//
// It guards against this failure: an engine dies while the load is twice the fleet's
// capacity. Each request that ran there needs memory for all of its tokens elsewhere, and
// small new requests take the memory as it is freed, before there is enough. Accepted
// streams then stand still until their callers give up, while the fleet serves later
// requests.
func (p *pool) starved(now time.Duration) *item {
	if len(p.resumed) == 0 {
		return nil
	}
	it := p.resumed[0]
	if !it.reachedHead {
		it.reachedHead, it.headSince = true, now
	}
	waited := now - it.headSince - starvationLimit
	if waited < 0 || waited%(2*holdTime) >= holdTime {
		return nil
	}
	return it
}

func (p *pool) removeResumed(it *item) {
	p.resumed = slices.DeleteFunc(p.resumed, func(other *item) bool { return other == it })
}
