package host

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"goldcrestseam.dev/goldcrestseam/internal/clock"
	"goldcrestseam.dev/goldcrestseam/internal/entry"
)

const (
	// tickInterval is how often the reducer gets a tick. Queued requests, probes and
	// reports are handled on ticks.
	tickInterval = 20 * time.Millisecond
	// idleTickInterval applies while the reducer waits for no timer: the wake-ups of the
	// short interval alone cost an idle entry 0.5% of a core, out of the 1.1% of a core
	// that the control plane may cost a node.
	idleTickInterval = 200 * time.Millisecond
	// eventQueueSize absorbs bursts of events while the reducer is busy.
	eventQueueSize = 4096
	// mailboxSize exceeds the number of effects that can be pending for one request:
	// the reducer sends the next effect only after an event about the previous one.
	mailboxSize = 8
)

// loop owns the reducer. One goroutine, the control goroutine, steps it. Request
// goroutines post events and receive effects from the mailbox of their request.
type loop struct {
	reducer     *entry.Reducer
	events      chan entry.Event
	applyEffect func(entry.Effect)
	snapshot    atomic.Pointer[entry.Snapshot]
	lease       *viewLease
	// configured is closed when the first configuration is published.
	configured chan struct{}
	stopped    chan struct{}
	// busyTimer times the step in progress.
	busyTimer

	mu        sync.Mutex
	mailboxes map[string]chan entry.Effect
}

func newLoop(r *entry.Reducer, applyEffect func(entry.Effect)) *loop {
	l := &loop{
		reducer: r, events: make(chan entry.Event, eventQueueSize), applyEffect: applyEffect, lease: newViewLease(),
		configured: make(chan struct{}), stopped: make(chan struct{}), mailboxes: make(map[string]chan entry.Effect),
	}
	l.snapshot.Store(&entry.Snapshot{})
	return l
}

// run steps the reducer until ctx ends.
func (l *loop) run(ctx context.Context) {
	defer close(l.stopped)
	timer := time.NewTimer(tickInterval)
	defer timer.Stop()
	due := clock.SinceBoot() + tickInterval
	restart := func(interval time.Duration) {
		due = clock.SinceBoot() + interval
		timer.Reset(interval)
	}
	idle := false
	for {
		select {
		case <-ctx.Done():
			return
		case ev := <-l.events:
			l.step(ev)
			if idle && !l.reducer.Idle() {
				idle = false
				restart(tickInterval)
			}
		case <-timer.C:
			l.step(entry.Tick{Late: max(0, clock.SinceBoot()-due)})
			idle = l.reducer.Idle()
			restart(nextTickInterval(idle))
		}
	}
}

func nextTickInterval(idle bool) time.Duration {
	if idle {
		return idleTickInterval
	}
	return tickInterval
}

func (l *loop) step(ev entry.Event) {
	now := clock.SinceBoot()
	l.begin(now)
	defer l.end()
	for _, e := range l.reducer.Step(now, ev) {
		switch e := e.(type) {
		case entry.Publish:
			l.publish(e.Snapshot)
		case entry.LeaseRenewed:
			l.lease.renew(e)
		case entry.Dispatch:
			l.deliver(e.RequestID, e)
		case entry.DecodeAt:
			l.deliver(e.RequestID, e)
		case entry.Refuse:
			l.deliver(e.RequestID, e)
		case entry.Finish:
			l.deliver(e.RequestID, e)
		default:
			l.applyEffect(e)
		}
	}
}

func (l *loop) publish(s *entry.Snapshot) {
	first := s.Ready() && !l.snapshot.Load().Ready()
	l.snapshot.Store(s)
	if first {
		close(l.configured)
	}
}

// post passes an event to the reducer. It does nothing after the loop has stopped.
func (l *loop) post(ev entry.Event) {
	select {
	case l.events <- ev:
	case <-l.stopped:
	}
}

// openMailbox creates the mailbox of a request.
func (l *loop) openMailbox(id string) <-chan entry.Effect {
	mailbox := make(chan entry.Effect, mailboxSize)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mailboxes[id] = mailbox
	return mailbox
}

func (l *loop) closeMailbox(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.mailboxes, id)
}

// openRequests returns how many requests have a mailbox.
func (l *loop) openRequests() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.mailboxes)
}

func (l *loop) deliver(id string, e entry.Effect) {
	l.mu.Lock()
	mailbox := l.mailboxes[id]
	l.mu.Unlock()
	if mailbox == nil {
		return
	}
	mailbox <- e
}

const runSeparator = "#"

// NewRunKey returns a key that identifies one run of a request at this entry to the
// reducer. A caller that reconnects to its own request starts another run of it, and
// the last effect for the old run must not end the new one.
func NewRunKey(wireID string) string { return wireID + runSeparator + uuid.NewString()[:8] }

// WireIDOf returns the request id of a run that backend servers see.
func WireIDOf(runKey string) string {
	wireID, _, _ := strings.Cut(runKey, runSeparator)
	return wireID
}
