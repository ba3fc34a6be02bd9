package httpconn

import (
	"context"
	"net"
	"sync"
	"time"
)

// slowDial is when the opening of a connection counts as slow: within a region it takes
// 2 to 3 ms, and a VM that is dark or cut off answers never. Fifty times that leaves an
// entry that is short of processor time room to be late itself.
const slowDial = 150 * time.Millisecond

// dialWatch tells once that a dial is slow, and then that it has ended. The lock keeps
// the two in order: a server that was called slow last would be shunned for ever.
type dialWatch struct {
	tell func(slow bool)

	mu    sync.Mutex
	told  bool
	ended bool
}

func (w *dialWatch) slow() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.ended {
		w.told = true
		w.tell(true)
	}
}

func (w *dialWatch) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	if w.told {
		w.tell(false)
	}
}

// dial opens a connection and tells the call's owner if that is slow.
func (c *Client) dial(ctx context.Context, call Call) (net.Conn, error) {
	if call.Slow == nil {
		return c.dialer.DialContext(ctx, "tcp", call.Address)
	}
	w := &dialWatch{tell: call.Slow}
	timer := time.AfterFunc(slowDial, w.slow)
	defer w.end()
	defer timer.Stop()
	return c.dialer.DialContext(ctx, "tcp", call.Address)
}
