package queue

import (
	"container/heap"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
)

// item is one waiting request.
type item struct {
	work             decision.Work
	seq              uint64
	firstTokenWindow startWindow
	finishWindow     startWindow
	expires          time.Duration
	flow             *flow
	flowIndex        int
	expiryIndex      int
	// headSince is when a resumed request became the first of those waiting, if reachedHead is
	// set.
	headSince   time.Duration
	reachedHead bool
}

// mustStart reports whether the request has to start now to meet a deadline. A request that
// is too late for its first token does not go before others until its finish deadline is
// near: otherwise, under overload, one late answer makes all others late.
func (it *item) mustStart(now time.Duration) bool {
	return it.firstTokenWindow.contains(now) || it.finishWindow.contains(now)
}

// flow holds one member's requests in one profile, the earliest deadline first.
type flow struct {
	member  string
	weight  float64
	deficit float64
	items   flowHeap
	profile *profileQueue
}

func (f *flow) push(it *item) {
	it.flow = f
	heap.Push(&f.items, it)
}

func (f *flow) remove(it *item) {
	heap.Remove(&f.items, it.flowIndex)
	if len(f.items) == 0 {
		f.profile.deactivate(f)
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

// popLast removes the last item and clears its slot, so that the item can be collected.
func popLast(list *[]*item) *item {
	old := *list
	it := old[len(old)-1]
	old[len(old)-1] = nil
	*list = old[:len(old)-1]
	return it
}
