package host

import (
	"context"
	"sync"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/clock"
)

// viewLease is until when the published view counts, for traffic goroutines.
type viewLease struct {
	mu    sync.Mutex
	until time.Duration
	// renewed is closed with the next renewal.
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

// inForce tells whether the lease counts now, and else what is closed with its renewal.
func (l *viewLease) inForce() (bool, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return clock.SinceBoot() < l.until, l.renewed
}

// ViewLeaseValid tells whether control's word on the view counts now. Whoever gives a final
// answer by what the view does not hold asks for this first and then reads the Snapshot.
//
// Failure: an entry misses a change, since control or the way to it is slow, and tells a
// caller for good that there is no such route or credential though it was declared and
// acknowledged seconds ago.
func (h *Host) ViewLeaseValid() bool {
	ok, _ := h.loop.lease.inForce()
	return ok
}

// AwaitViewLease waits until the view is in force, at most so long; false if it is not, or ctx
// has ended.
func (h *Host) AwaitViewLease(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		ok, renewed := h.loop.lease.inForce()
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
