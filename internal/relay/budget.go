package relay

import (
	"context"
	"time"

	"golang.org/x/sync/semaphore"

	"goldcrestseam.dev/goldcrestseam/internal/host"
	"goldcrestseam.dev/goldcrestseam/internal/obs"
)

const (
	// eventMemoryShare is the part of the process's memory that large events may take, as a divisor.
	eventMemoryShare = 16
	// defaultEventMemory is what they may take where the settings name no limit.
	defaultEventMemory = 16 << 20
)

// eventBudget bounds the memory of the process for the events that are larger than maxHeldBytes. Each takes what the largest
// event needs, in one acquisition: events that took more as they grow could all wait for each other.
type eventBudget struct {
	host *host.Host
	free *semaphore.Weighted
	size int64
}

func newEventBudget(h *host.Host) *eventBudget {
	size := int64(defaultEventMemory)
	if mb := h.Settings.MemoryMB; mb > 0 {
		size = max(maxEventBytes, int64(mb)<<20/eventMemoryShare)
	}
	return &eventBudget{host: h, free: semaphore.NewWeighted(size), size: size}
}

// take waits until there is memory for a large event. Errors: that of ctx.
func (b *eventBudget) take(ctx context.Context, requestID, server string) error {
	if b.free.TryAcquire(maxEventBytes) {
		return nil
	}
	start := time.Now()
	err := b.free.Acquire(ctx, maxEventBytes)
	b.host.Metrics.Scope.Counter("event_memory_waits").Inc(1)
	b.host.Log.Warn(obs.LineAwaitedMemory, "request_id", requestID, "server", server, "ok", err == nil,
		"ms", time.Since(start).Milliseconds(), "budget_bytes", b.size)
	return err
}

// put gives the memory of a large event back.
func (b *eventBudget) put() { b.free.Release(maxEventBytes) }
