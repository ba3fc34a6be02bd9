package host

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/clock"
	"goldcrestseam.dev/goldcrestseam/internal/entry"
)

// viewLease holds until when the published view is valid. Request goroutines read it.
type viewLease struct {
	mu    sync.Mutex
	until time.Duration
	// confirmedAt is when the request was sent that renewed it last, leasedBy the control replica
	// that answered it.
	confirmedAt time.Duration
	leasedBy    string
	// renewed is closed by the next renewal.
	renewed chan struct{}
}

func newViewLease() *viewLease { return &viewLease{renewed: make(chan struct{})} }

func (l *viewLease) renew(e entry.LeaseRenewed) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.until, l.confirmedAt, l.leasedBy = e.Until, e.ConfirmedAt, e.From
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

// ViewBasis is the view that a decision rests on, for log lines.
type ViewBasis struct {
	Version, Revision uint64
	// From is the address of the control replica that sent this version, LeasedBy that of the one
	// that renewed the lease last.
	From, LeasedBy string
	// Age is the time since a request for the view was sent that the leader answered.
	Age time.Duration
	// Leased reports whether the lease is valid.
	Leased bool
}

// ViewBasis describes the view of a snapshot as it is at present.
func (h *Host) ViewBasis(snap *entry.Snapshot) ViewBasis {
	l := h.loop.lease
	l.mu.Lock()
	defer l.mu.Unlock()
	now := clock.SinceBoot()
	return ViewBasis{
		Version: snap.ViewVersion, Revision: snap.Revision, From: snap.ViewFrom, LeasedBy: l.leasedBy,
		Age: now - l.confirmedAt, Leased: now < l.until,
	}
}

// Attr returns the basis as one group of a log line.
func (b *ViewBasis) Attr() slog.Attr {
	return slog.Group("view", "version", b.Version, "revision", b.Revision, "from", b.From, "leased_by", b.LeasedBy,
		"age_ms", b.Age.Milliseconds(), "leased", b.Leased)
}
