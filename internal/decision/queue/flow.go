package queue

import (
	"container/heap"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
)

// item is one work that waits.
type item struct {
	work        decision.Work
	seq         uint64
	first       window
	whole       window
	expires     time.Duration
	flow        *flow
	flowIndex   int
	expiryIndex int
	// since is when begun work was first at the head of those that wait, if seen.
	since time.Duration
	seen  bool
}

// mustStart tells whether the work has to start now to be in time. What is too
// late for its first token does not hold up others that are not, until its last
// deadline presses: else under overload one late answer makes all others late.
func (it *item) mustStart(now time.Duration) bool { return it.first.has(now) || it.whole.has(now) }

// flow is one member's work under one profile, the earliest deadline first.
type flow struct {
	member  string
	weight  float64
	deficit float64
	items   flowHeap
	owner   *profileQueue
}

func (f *flow) push(it *item) {
	it.flow = f
	heap.Push(&f.items, it)
}

func (f *flow) remove(it *item) {
	heap.Remove(&f.items, it.flowIndex)
	if len(f.items) == 0 {
		f.owner.idle(f)
	}
}

func (f *flow) head() *item { return f.items[0] }

type flowHeap []*item

func (h flowHeap) Len() int { return len(h) }
func (h flowHeap) Less(i, j int) bool {
	if h[i].work.FinishBy != h[j].work.FinishBy {
		return h[i].work.FinishBy < h[j].work.FinishBy
	}
	return h[i].seq < h[j].seq
}
func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].flowIndex, h[j].flowIndex = i, j
}
func (h *flowHeap) Push(x any) {
	it := x.(*item)
	it.flowIndex = len(*h)
	*h = append(*h, it)
}
func (h *flowHeap) Pop() any { return popLast((*[]*item)(h)) }

type expiryHeap []*item

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].expires < h[j].expires }
func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].expiryIndex, h[j].expiryIndex = i, j
}
func (h *expiryHeap) Push(x any) {
	it := x.(*item)
	it.expiryIndex = len(*h)
	*h = append(*h, it)
}
func (h *expiryHeap) Pop() any { return popLast((*[]*item)(h)) }

// popLast takes the last item and leaves no pointer to it behind.
func popLast(list *[]*item) *item {
	old := *list
	it := old[len(old)-1]
	old[len(old)-1] = nil
	*list = old[:len(old)-1]
	return it
}
