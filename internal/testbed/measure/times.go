package measure

import (
	"sync"

	"goldcrestseam.dev/goldcrestseam/internal/standin/caller"
	"goldcrestseam.dev/goldcrestseam/internal/standin/workload"
)

// streamTimes collects the latencies of the streams through an entry or of those
// directly from an engine.
type streamTimes struct {
	mu               sync.Mutex
	timeToFirstToken *workload.Histogram
	chunkGap         *workload.Histogram
	failed           int
}

func newStreamTimes() *streamTimes {
	return &streamTimes{timeToFirstToken: workload.NewHistogram(), chunkGap: workload.NewHistogram()}
}

func (t *streamTimes) add(res *caller.Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !res.Complete {
		t.failed++
		return
	}
	t.timeToFirstToken.Add(res.TimeToFirstToken)
	for _, g := range res.ChunkGaps {
		t.chunkGap.Add(g)
	}
}
