package server

import (
	"cmp"
	"slices"
	"time"
)

// task is one request as the batch sees it.
type task struct {
	stream *stream
	// priority: the larger first; order breaks ties.
	priority int
	order    uint64
	// prefill is how many prompt tokens are still to be read, decode how many
	// tokens are still to be made.
	prefill float64
	decode  int
	// credit is the decode time that has built up.
	credit time.Duration
}

// batch is continuous batching in virtual time: prefill takes its turn by
// priority at the engine's prefill rate, every request whose prompt is read
// makes one token each TokenTime.
type batch struct {
	slots     int
	rate      float64
	tokenTime time.Duration
	tasks     []*task
	arrivals  uint64
}

// add takes a task in, by priority.
func (b *batch) add(t *task) {
	b.arrivals++
	t.order = b.arrivals
	b.tasks = append(b.tasks, t)
	slices.SortStableFunc(b.tasks, func(x, y *task) int {
		return cmp.Or(cmp.Compare(y.priority, x.priority), cmp.Compare(x.order, y.order))
	})
}

// drop takes the tasks out for which gone is true.
func (b *batch) drop(gone func(*task) bool) {
	b.tasks = slices.DeleteFunc(b.tasks, gone)
}

// running gives the tasks that have a slot.
func (b *batch) running() []*task { return b.tasks[:min(b.slots, len(b.tasks))] }

// queuedPrefill sums the prompt tokens still to be read.
func (b *batch) queuedPrefill() float64 {
	sum := 0.0
	for _, t := range b.tasks {
		sum += t.prefill
	}
	return sum
}

// advance lets virtual time pass and calls emit with the tokens due of each task.
func (b *batch) advance(elapsed time.Duration, emit func(*task, int)) {
	budget := b.rate * elapsed.Seconds()
	for _, t := range slices.Clone(b.running()) {
		if t.prefill > 0 {
			used := min(budget, t.prefill)
			budget -= used
			t.prefill -= used
			if t.prefill > 0 {
				continue
			}
			// The end of the prefill makes the first token.
			t.credit = b.tokenTime
		} else {
			t.credit += elapsed
		}
		due := min(int(t.credit/b.tokenTime), t.decode)
		t.credit -= time.Duration(due) * b.tokenTime
		t.decode -= due
		if due > 0 {
			emit(t, due)
		}
	}
}
