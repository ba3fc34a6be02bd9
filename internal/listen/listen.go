// Package listen bounds how many connections a listener holds, and keeps it taking new ones
// where file descriptors run out.
package listen

import (
	"errors"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/clock"
)

const (
	// idleFor is how long a connection must have been still to make room for another one.
	idleFor = 200 * time.Millisecond
	// acceptPause is how long nothing is accepted after an error that may pass.
	acceptPause = 20 * time.Millisecond
)

// LimitedListener is a listener that holds at most so many connections. It closes the one that has
// been still the longest to take another, and a new one at once while all are in use.
//
// Failure: each of thousands of servers keeps its connection to one replica. At the limit of
// descriptors accepting fails, the server's loop ends with that error, and the process ends
// though all it had to do was to let go of a connection.
type LimitedListener struct {
	net.Listener
	most int
	log  *slog.Logger

	mu   sync.Mutex
	open map[*conn]struct{}
}

// LimitListener bounds a listener; most 0: only errors that may pass are taken care of.
func LimitListener(ln net.Listener, most int, log *slog.Logger) *LimitedListener {
	return &LimitedListener{Listener: ln, most: most, log: log, open: make(map[*conn]struct{})}
}

// Accept waits for the next connection. Errors: the listener is closed.
func (b *LimitedListener) Accept() (net.Conn, error) {
	for {
		accepted, err := b.Listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil, err
		}
		if err != nil {
			b.log.Warn("no connection accepted", "error", err.Error(), "open", b.count())
			b.closeIdlest()
			time.Sleep(acceptPause)
			continue
		}
		if c := b.admit(accepted); c != nil {
			return c, nil
		}
	}
}

// admit takes a connection, or closes it where all are in use.
func (b *LimitedListener) admit(accepted net.Conn) *conn {
	if b.most > 0 && b.count() >= b.most && !b.closeIdlest() {
		b.log.Warn("connection turned away; all are in use", "open", b.most)
		_ = accepted.Close()
		return nil
	}
	c := &conn{Conn: accepted, listener: b}
	c.touch()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.open[c] = struct{}{}
	return c
}

func (b *LimitedListener) count() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.open)
}

// closeIdlest closes the connection that has been still the longest; false if all were in use
// a moment ago.
func (b *LimitedListener) closeIdlest() bool {
	if c := b.idlest(clock.SinceBoot() - idleFor); c != nil {
		_ = c.Close()
		return true
	}
	return false
}

func (b *LimitedListener) idlest(before time.Duration) *conn {
	b.mu.Lock()
	defer b.mu.Unlock()
	var found *conn
	for c := range b.open {
		if used := c.usedAt(); used < before {
			found, before = c, used
		}
	}
	return found
}

func (b *LimitedListener) forget(c *conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.open, c)
}

// conn notes when it was used last.
type conn struct {
	net.Conn
	listener *LimitedListener
	used     atomic.Int64
}

func (c *conn) touch()                { c.used.Store(int64(clock.SinceBoot())) }
func (c *conn) usedAt() time.Duration { return time.Duration(c.used.Load()) }

func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.touch()
	return n, err
}

func (c *conn) Write(p []byte) (int, error) {
	c.touch()
	return c.Conn.Write(p)
}

func (c *conn) Close() error {
	c.listener.forget(c)
	return c.Conn.Close()
}
