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
	// tickEvery is how often the reducer lets time pass. Waiting work, probes
	// and reports are paced by it.
	tickEvery = 20 * time.Millisecond
	// quietTickEvery takes its place while nothing waits for time to pass: the
	// wake-ups of the short tick alone cost an idle entry half of a percent of
	// a core, of the 1.1% that control may cost a node.
	quietTickEvery = 200 * time.Millisecond
	// eventBuffer takes up bursts while the reducer is busy.
	eventBuffer = 4096
	// mailboxSize is more than the effects that can be under way for one
	// request: the reducer sends the next one only after an event about the last.
	mailboxSize = 8
)

// loop owns the reducer: one goroutine steps it, traffic goroutines post events
// and wait at their request's mailbox for effects.
type loop struct {
	reducer  *entry.Reducer
	events   chan entry.Event
	carryOut func(entry.Effect)
	snapshot atomic.Pointer[entry.Snapshot]
	lease    *viewLease
	// configured is closed once a configuration has been learned.
	configured chan struct{}
	stopped    chan struct{}
	// busy is the step under way.
	busy

	mu        sync.Mutex
	mailboxes map[string]chan entry.Effect
}

func newLoop(r *entry.Reducer, carryOut func(entry.Effect)) *loop {
	l := &loop{
		reducer: r, events: make(chan entry.Event, eventBuffer), carryOut: carryOut, lease: newViewLease(),
		configured: make(chan struct{}), stopped: make(chan struct{}), mailboxes: make(map[string]chan entry.Effect),
	}
	l.snapshot.Store(&entry.Snapshot{})
	return l
}

// run steps the reducer until ctx ends.
func (l *loop) run(ctx context.Context) {
	defer close(l.stopped)
	timer := time.NewTimer(tickEvery)
	defer timer.Stop()
	quiet := false
	for {
		select {
		case <-ctx.Done():
			return
		case ev := <-l.events:
			l.step(ev)
			if quiet && !l.reducer.Idle() {
				quiet = false
				timer.Reset(tickEvery)
			}
		case <-timer.C:
			l.step(entry.Tick{})
			quiet = l.reducer.Idle()
			timer.Reset(tickPace(quiet))
		}
	}
}

func tickPace(quiet bool) time.Duration {
	if quiet {
		return quietTickEvery
	}
	return tickEvery
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
			l.lease.renew(e.Until)
		case entry.Dispatch:
			l.deliver(e.RequestID, e)
		case entry.DecodeAt:
			l.deliver(e.RequestID, e)
		case entry.Refuse:
			l.deliver(e.RequestID, e)
		case entry.Finish:
			l.deliver(e.RequestID, e)
		default:
			l.carryOut(e)
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

// post hands an event to the reducer. After the end it does nothing.
func (l *loop) post(ev entry.Event) {
	select {
	case l.events <- ev:
	case <-l.stopped:
	}
}

// open gives the mailbox of a request.
func (l *loop) open(id string) <-chan entry.Effect {
	box := make(chan entry.Effect, mailboxSize)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mailboxes[id] = box
	return box
}

func (l *loop) close(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.mailboxes, id)
}

// open requests, for the planned stop.
func (l *loop) openRequests() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.mailboxes)
}

func (l *loop) deliver(id string, e entry.Effect) {
	l.mu.Lock()
	box := l.mailboxes[id]
	l.mu.Unlock()
	if box == nil {
		return
	}
	box <- e
}

const jobSeparator = "#"

// NewRunKey names one run of a request at this entry towards the reducer: a
// caller that takes its request over begins another run of the same request,
// and the last effect for the old run must not end the new one.
func NewRunKey(wireID string) string { return wireID + jobSeparator + uuid.NewString()[:8] }

// WireIDOf gives the request id towards servers of a run.
func WireIDOf(jobKey string) string {
	wireID, _, _ := strings.Cut(jobKey, jobSeparator)
	return wireID
}
