// Package queue holds accepted requests until a backend server has room for them.
//
// It handles long requests among short ones under saturation. Each pool (one model, or one
// plain service) has a queue per profile, and each profile has one per member. Profiles
// share a pool by stride scheduling over their declared shares, members share a profile by
// deficit round robin in tokens, and each member's requests are ordered by deadline. A
// request that must start now to finish in time is served first, whatever the shares are.
//
// Without this, a burst of bulk requests delays the urgent ones, one member's burst delays
// all other members, and a steady stream of urgent requests starves bulk requests until they
// miss their deadlines. docs/design/queue.md has the alternatives and the measurements.
package queue

import (
	"container/heap"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
	"goldcrestseam.dev/goldcrestseam/internal/declaration"
)

// maxTries bounds how many heads one Pop passes to fits. When the fleet is full, each call
// scans all servers, so the cost must not grow with the number of members.
const maxTries = 8

// Queue is not safe for concurrent use; the reducer's goroutine owns it.
type Queue struct {
	pools       []*pool
	poolsByName map[string]*pool
	items       map[string]*item
	expiry      expiryHeap
	summary     Summary
	seq         uint64
	nextPool    int
}

// New returns an empty queue.
func New() *Queue {
	return &Queue{
		poolsByName: make(map[string]*pool),
		items:       make(map[string]*item),
		summary:     newSummary(),
	}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.items) }

// Summary returns the sums over the waiting requests; they change with the queue.
func (q *Queue) Summary() *Summary { return &q.summary }

// Push adds a request. It replaces an earlier one with the same request ID.
func (q *Queue) Push(w decision.Work) {
	q.Remove(w.RequestID)
	q.seq++
	it := &item{work: w, seq: q.seq, expires: expiresAt(&w)}
	it.firstTokenWindow, it.finishWindow = startWindows(&w)
	q.items[w.RequestID] = it
	p := q.pool(&w)
	p.push(it)
	p.waiting++
	q.summary.profileThroughput[profileKey(&w)] = p.profilesByName[w.Profile].throughput
	q.summary.poolThroughput[PoolKey(&w)] = p.throughput
	heap.Push(&q.expiry, it)
	if w.Resumed {
		p.resumed = append(p.resumed, it)
	}
	q.summary.add(&it.work, 1)
}

// Pop takes the next request that fits. It tries a bounded number of heads; the last call of
// fits is for the request returned.
func (q *Queue) Pop(now time.Duration, fits func(*decision.Work) bool) (decision.Work, bool) {
	for i := range q.pools {
		p := q.pools[(q.nextPool+i)%len(q.pools)]
		tries := maxTries
		if it := p.pop(now, fits, &tries); it != nil {
			q.nextPool = (q.nextPool + i + 1) % len(q.pools)
			q.drop(it)
			return it.work, true
		}
	}
	return decision.Work{}, false
}

// Expire removes all requests that can't be answered in time any more.
func (q *Queue) Expire(now time.Duration) []decision.Work {
	var expired []decision.Work
	for len(q.expiry) > 0 && q.expiry[0].expires <= now {
		it := q.expiry[0]
		it.flow.remove(it)
		q.drop(it)
		expired = append(expired, it.work)
	}
	return expired
}

// Remove removes the request with that ID and reports whether it was waiting.
func (q *Queue) Remove(requestID string) bool {
	it := q.items[requestID]
	if it == nil {
		return false
	}
	it.flow.remove(it)
	q.drop(it)
	return true
}

// drop removes an item that has left its flow from the other indexes.
func (q *Queue) drop(it *item) {
	heap.Remove(&q.expiry, it.expiryIndex)
	p := q.pool(&it.work)
	if it.work.Resumed {
		p.removeResumed(it)
	}
	if p.waiting--; p.waiting == 0 {
		p.throughput.waiting = false
	}
	delete(q.items, it.work.RequestID)
	q.summary.add(&it.work, -1)
}

// pool returns the pool of servers that the request competes for.
func (q *Queue) pool(w *decision.Work) *pool {
	name := w.Kind + "/" + w.Model
	if w.Kind == declaration.KindPlain {
		name = w.Kind + "/" + w.Service
	}
	p := q.poolsByName[name]
	if p == nil {
		p = newPool()
		q.poolsByName[name] = p
		q.pools = append(q.pools, p)
	}
	return p
}
