package traffic

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

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

// core owns the reducer: one goroutine steps it, traffic goroutines post events
// and wait at their request's mailbox for effects.
type core struct {
	reducer  *entry.Reducer
	events   chan entry.Event
	carryOut func(entry.Effect)
	snapshot atomic.Pointer[entry.Snapshot]
	stopped  chan struct{}

	mu        sync.Mutex
	mailboxes map[string]chan entry.Effect
}

func newCore(r *entry.Reducer, carryOut func(entry.Effect)) *core {
	c := &core{
		reducer: r, events: make(chan entry.Event, eventBuffer), carryOut: carryOut,
		stopped: make(chan struct{}), mailboxes: make(map[string]chan entry.Effect),
	}
	c.snapshot.Store(&entry.Snapshot{})
	return c
}

// run steps the reducer until ctx ends.
func (c *core) run(ctx context.Context) {
	defer close(c.stopped)
	timer := time.NewTimer(tickEvery)
	defer timer.Stop()
	quiet := false
	for {
		select {
		case <-ctx.Done():
			return
		case ev := <-c.events:
			c.step(ev)
			if quiet && !c.reducer.Quiet() {
				quiet = false
				timer.Reset(tickEvery)
			}
		case <-timer.C:
			c.step(entry.Tick{})
			quiet = c.reducer.Quiet()
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

func (c *core) step(ev entry.Event) {
	for _, e := range c.reducer.Step(clock.Boot(), ev) {
		switch e := e.(type) {
		case entry.Publish:
			c.snapshot.Store(e.Snapshot)
		case entry.Dispatch:
			c.deliver(e.RequestID, e)
		case entry.Refuse:
			c.deliver(e.RequestID, e)
		case entry.Finish:
			c.deliver(e.RequestID, e)
		default:
			c.carryOut(e)
		}
	}
}

// post hands an event to the reducer. After the end it does nothing.
func (c *core) post(ev entry.Event) {
	select {
	case c.events <- ev:
	case <-c.stopped:
	}
}

// open gives the mailbox of a request.
func (c *core) open(id string) <-chan entry.Effect {
	box := make(chan entry.Effect, mailboxSize)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.mailboxes[id] = box
	return box
}

func (c *core) close(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.mailboxes, id)
}

// open requests, for the planned stop.
func (c *core) openRequests() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.mailboxes)
}

func (c *core) deliver(id string, e entry.Effect) {
	c.mu.Lock()
	box := c.mailboxes[id]
	c.mu.Unlock()
	if box == nil {
		return
	}
	box <- e
}
