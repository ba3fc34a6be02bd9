package measure

import (
	"sync"

	"goldcrestseam.dev/goldcrestseam/internal/standin/caller"
	"goldcrestseam.dev/goldcrestseam/internal/standin/workload"
)

// times collects the times of one kind of stream.
type times struct {
	mu     sync.Mutex
	first  *workload.Histogram
	gap    *workload.Histogram
	failed int
}

func newTimes() *times {
	return &times{first: workload.NewHistogram(), gap: workload.NewHistogram()}
}

func (t *times) add(res *caller.Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !res.Complete {
		t.failed++
		return
	}
	t.first.Add(res.TimeToFirstToken)
	for _, g := range res.ChunkGaps {
		t.gap.Add(g)
	}
}
