// Package queue holds accepted work until a backend server has room for it.
//
// It answers the load pattern of long work among short under saturation: each
// pool (one model, or the plain services) has a queue per profile, and each
// profile one per member. Profiles share a pool by stride scheduling over their
// declared shares, members share a profile by deficit round robin in tokens,
// and one member's work goes by deadline. Work that must start now to finish in
// time goes before all shares.
//
// Without it a burst of dossiers holds the clerks' questions back, one member's
// burst holds all others back, and steady questions starve a dossier until its
// hearing is missed. docs/design/queue.md has the ways weighed and the figures.
package queue

import (
	"container/heap"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
	"goldcrestseam.dev/goldcrestseam/internal/declaration"
)

// maxTries bounds how many heads one Pop offers to fits, so that a full fleet
// costs at most that many scans of it and not one for each member.
const maxTries = 8

// Queue is not safe for concurrent use; the reducer's goroutine owns it.
type Queue struct {
	pools   []*pool
	byName  map[string]*pool
	items   map[string]*item
	expiry  expiryHeap
	summary Summary
	seq     uint64
	next    int
}

// New gives an empty queue.
func New() *Queue {
	return &Queue{
		byName:  make(map[string]*pool),
		items:   make(map[string]*item),
		summary: newSummary(),
	}
}

// Len is the number of works that wait.
func (q *Queue) Len() int { return len(q.items) }

// Summary gives live sums of what waits; they change with the queue.
func (q *Queue) Summary() *Summary { return &q.summary }

// Push adds work. The same request id again replaces the earlier one.
func (q *Queue) Push(w decision.Work) {
	q.Remove(w.RequestID)
	q.seq++
	it := &item{work: w, seq: q.seq, expires: expiresAt(&w)}
	it.first, it.whole = windows(&w)
	q.items[w.RequestID] = it
	p := q.pool(&w)
	p.push(it)
	p.waiting++
	q.summary.drains[profileKey(&w)] = p.byName[w.Profile].drain
	q.summary.pools[PoolKey(&w)] = p.drain
	heap.Push(&q.expiry, it)
	if w.Resumed {
		p.begun = append(p.begun, it)
	}
	q.summary.add(&it.work, 1)
}

// Pop takes the next work that fits. It tries a bounded number of heads; the
// last call of fits is the one for the work returned.
func (q *Queue) Pop(now time.Duration, fits func(*decision.Work) bool) (decision.Work, bool) {
	for i := range q.pools {
		p := q.pools[(q.next+i)%len(q.pools)]
		tries := maxTries
		if it := p.pop(now, fits, &tries); it != nil {
			q.next = (q.next + i + 1) % len(q.pools)
			q.drop(it)
			return it.work, true
		}
	}
	return decision.Work{}, false
}

// Expire takes out all work that can't be answered in time any more.
func (q *Queue) Expire(now time.Duration) []decision.Work {
	var out []decision.Work
	for len(q.expiry) > 0 && q.expiry[0].expires <= now {
		it := q.expiry[0]
		it.flow.remove(it)
		q.drop(it)
		out = append(out, it.work)
	}
	return out
}

// Remove takes out the work with that request id, if it waits.
func (q *Queue) Remove(requestID string) bool {
	it := q.items[requestID]
	if it == nil {
		return false
	}
	it.flow.remove(it)
	q.drop(it)
	return true
}

// drop forgets an item that its flow has let go.
func (q *Queue) drop(it *item) {
	heap.Remove(&q.expiry, it.expiryIndex)
	p := q.pool(&it.work)
	if it.work.Resumed {
		p.forget(it)
	}
	if p.waiting--; p.waiting == 0 {
		p.drain.waiting = false
	}
	delete(q.items, it.work.RequestID)
	q.summary.add(&it.work, -1)
}

// pool gives the pool of servers that the work competes for.
func (q *Queue) pool(w *decision.Work) *pool {
	name := w.Kind + "/" + w.Model
	if w.Kind == declaration.KindPlain {
		name = w.Kind + "/" + w.Service
	}
	p := q.byName[name]
	if p == nil {
		p = newPool()
		q.byName[name] = p
		q.pools = append(q.pools, p)
	}
	return p
}
