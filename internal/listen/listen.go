// Package listen opens listeners, limits the number of their open connections, and keeps them
// accepting when file descriptors run out.
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
	// minIdleTime is how long a connection must have been idle before it may be closed in favour
	// of a new one.
	minIdleTime = 200 * time.Millisecond
	// acceptRetryDelay is the delay before the next Accept after a temporary error.
	acceptRetryDelay = 20 * time.Millisecond
)

// LimitedListener is a listener with a limit on open connections. At the limit it closes the
// connection that has been idle the longest to accept a new one. If all are in use, it closes
// the new one.
//
// Without it, thousands of servers that each keep a connection to one control replica exhaust
// its file descriptors. Accept then fails, the HTTP server returns that error, and the process
// exits although closing one idle connection would have been enough.
type LimitedListener struct {
	net.Listener
	limit int
	log   *slog.Logger

	mu   sync.Mutex
	open map[*conn]struct{}
}

// LimitListener limits the open connections of a listener. With limit 0 it only handles
// temporary errors of Accept.
func LimitListener(ln net.Listener, limit int, log *slog.Logger) *LimitedListener {
	return &LimitedListener{Listener: ln, limit: limit, log: log, open: make(map[*conn]struct{})}
}

// Accept waits for the next connection. Its only error is net.ErrClosed.
func (l *LimitedListener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil, err
		}
		if err != nil {
			l.log.Warn("accepting a connection failed", "error", err.Error(), "open", l.count())
			l.closeIdlest()
			time.Sleep(acceptRetryDelay)
			continue
		}
		if c := l.track(accepted); c != nil {
			return c, nil
		}
	}
}

// track registers a connection, or closes it and returns nil if the limit is reached and all
// others are in use.
func (l *LimitedListener) track(accepted net.Conn) *conn {
	if l.limit > 0 && l.count() >= l.limit && !l.closeIdlest() {
		l.log.Warn("connection limit reached and no connection idle; closing the new one", "open", l.limit)
		_ = accepted.Close()
		return nil
	}
	c := &conn{Conn: accepted, listener: l}
	c.touch()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[c] = struct{}{}
	return c
}

func (l *LimitedListener) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open)
}

// closeIdlest closes the connection that has been idle the longest. It returns false if none
// has been idle for minIdleTime.
func (l *LimitedListener) closeIdlest() bool {
	if c := l.findIdlest(clock.SinceBoot() - minIdleTime); c != nil {
		_ = c.Close()
		return true
	}
	return false
}

func (l *LimitedListener) findIdlest(before time.Duration) *conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found *conn
	for c := range l.open {
		if lastUsed := c.lastUsedAt(); lastUsed < before {
			found, before = c, lastUsed
		}
	}
	return found
}

func (l *LimitedListener) remove(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, c)
}

// conn records when it was last used.
type conn struct {
	net.Conn
	listener *LimitedListener
	lastUsed atomic.Int64
}

func (c *conn) touch()                    { c.lastUsed.Store(int64(clock.SinceBoot())) }
func (c *conn) lastUsedAt() time.Duration { return time.Duration(c.lastUsed.Load()) }

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
	c.listener.remove(c)
	return c.Conn.Close()
}
