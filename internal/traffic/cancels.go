package traffic

import (
	"sync"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
	"goldcrestseam.dev/goldcrestseam/internal/entry"
	"goldcrestseam.dev/goldcrestseam/internal/host"
)

// cancelScheduler sends delayed cancels to engines. A pending cancel is dropped
// when the caller resumes its stream, at this or at another entry.
type cancelScheduler struct {
	send func(address string, req engineapi.CancelRequest)

	mu     sync.Mutex
	timers map[string]*time.Timer
	// suppressedUntil holds, per resumed request, the time until which delayed
	// cancels are ignored.
	suppressedUntil map[string]time.Time
}

// suppressFor is longer than the delay of any cancel, so a cancel that was
// delayed from before the resume cannot reach the engine.
const suppressFor = 10 * time.Second

func newCancelScheduler(send func(string, engineapi.CancelRequest)) *cancelScheduler {
	return &cancelScheduler{send: send, timers: make(map[string]*time.Timer), suppressedUntil: make(map[string]time.Time)}
}

func (c *cancelScheduler) schedule(e entry.Cancel) {
	wireID := host.WireIDOf(e.RequestID)
	c.mu.Lock()
	defer c.mu.Unlock()
	if e.Delay > 0 && time.Now().Before(c.suppressedUntil[wireID]) {
		return
	}
	c.stopTimer(wireID)
	c.timers[wireID] = time.AfterFunc(e.Delay, func() {
		c.fire(wireID, e)
	})
}

func (c *cancelScheduler) fire(wireID string, e entry.Cancel) {
	c.mu.Lock()
	delete(c.timers, wireID)
	c.mu.Unlock()
	c.send(e.Address, engineapi.CancelRequest{RequestID: wireID, Attempt: e.Attempt})
}

// suppress drops the pending cancel of a request and ignores delayed ones for
// suppressFor, because the caller has resumed its stream.
func (c *cancelScheduler) suppress(wireID string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopTimer(wireID)
	now := time.Now()
	for id, until := range c.suppressedUntil {
		if now.After(until) {
			delete(c.suppressedUntil, id)
		}
	}
	c.suppressedUntil[wireID] = now.Add(suppressFor)
}

// stopTimer drops a pending cancel. The caller must hold mu.
func (c *cancelScheduler) stopTimer(wireID string) {
	if t := c.timers[wireID]; t != nil {
		t.Stop()
		delete(c.timers, wireID)
	}
}
