package host

import (
	"context"
	"sync"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/clock"
)

// viewLease holds until when the published view is valid. Request goroutines read it.
type viewLease struct {
	mu    sync.Mutex
	until time.Duration
	// renewed is closed by the next renewal.
	renewed chan struct{}
}

func newViewLease() *viewLease { return &viewLease{renewed: make(chan struct{})} }

func (l *viewLease) renew(until time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.until = until
	close(l.renewed)
	l.renewed = make(chan struct{})
}

// valid reports whether the lease is valid at present, and returns the channel that its next
// renewal closes.
func (l *viewLease) valid() (bool, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return clock.SinceBoot() < l.until, l.renewed
}

// ViewLeaseValid reports whether the lease on the view is valid at present. Before a final
// answer that relies on something missing from the view, check this first and read the Snapshot
// afterwards.
//
// Without the check, an entry that missed a change because control or the link to it is slow
// would give a caller a final refusal for a route or credential that was declared and
// acknowledged seconds ago.
func (h *Host) ViewLeaseValid() bool {
	ok, _ := h.loop.lease.valid()
	return ok
}

// AwaitViewLease waits up to the given time for a valid lease on the view. It returns false on
// timeout and if ctx has ended.
func (h *Host) AwaitViewLease(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		ok, renewed := h.loop.lease.valid()
		if ok {
			return true
		}
		select {
		case <-renewed:
		case <-timer.C:
			return false
		case <-ctx.Done():
			return false
		case <-h.loop.stopped:
			return false
		}
	}
}
