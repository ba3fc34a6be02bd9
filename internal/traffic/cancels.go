package traffic

import (
	"sync"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
	"goldcrestseam.dev/goldcrestseam/internal/entry"
	"goldcrestseam.dev/goldcrestseam/internal/host"
)

// cancels holds the cancels that wait for their time. One is dropped when the
// caller goes on with its stream, here or at another entry.
type cancels struct {
	send func(address string, req engineapi.CancelRequest)

	mu      sync.Mutex
	waiting map[string]*time.Timer
	// kept holds until when requests are not cancelled that their callers
	// have gone on with.
	kept map[string]time.Time
}

// keepTime is longer than any cancel waits.
const keepTime = 10 * time.Second

func newCancels(send func(string, engineapi.CancelRequest)) *cancels {
	return &cancels{send: send, waiting: make(map[string]*time.Timer), kept: make(map[string]time.Time)}
}

func (c *cancels) plan(e entry.Cancel) {
	wireID := host.WireIDOf(e.RequestID)
	c.mu.Lock()
	defer c.mu.Unlock()
	if e.Delay > 0 && time.Now().Before(c.kept[wireID]) {
		return
	}
	c.stop(wireID)
	c.waiting[wireID] = time.AfterFunc(e.Delay, func() {
		c.fire(wireID, e)
	})
}

func (c *cancels) fire(wireID string, e entry.Cancel) {
	c.mu.Lock()
	delete(c.waiting, wireID)
	c.mu.Unlock()
	c.send(e.Address, engineapi.CancelRequest{RequestID: wireID, Attempt: e.Attempt})
}

// keep drops a cancel that waits, and those planned within keepTime: the
// caller goes on with its stream.
func (c *cancels) keep(wireID string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stop(wireID)
	now := time.Now()
	for id, until := range c.kept {
		if now.After(until) {
			delete(c.kept, id)
		}
	}
	c.kept[wireID] = now.Add(keepTime)
}

// stop must be called with mu held.
func (c *cancels) stop(wireID string) {
	if t := c.waiting[wireID]; t != nil {
		t.Stop()
		delete(c.waiting, wireID)
	}
}
