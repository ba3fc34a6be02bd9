// Package listen opens listeners that outlive errors of single connections, and bounds the
// connections that they keep open.
package listen

import (
	"errors"
	"log/slog"
	"net"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"goldcrestseam.dev/goldcrestseam/internal/clock"
)

const (
	// minIdleTime is how long a connection must have been idle before it may be closed in favour
	// of a new one.
	minIdleTime = 200 * time.Millisecond
	// acceptRetryDelay is the delay before the next Accept after a temporary error.
	acceptRetryDelay = 20 * time.Millisecond
	// logInterval is the least time between two lines of one kind. A crowd of connections would else
	// cost more lines than connections.
	logInterval = time.Second
	// refusalTimeout bounds the write of a refusal to a new connection, whose buffers are empty.
	refusalTimeout = 10 * time.Millisecond
)

// Limit bounds the open connections of a listener.
type Limit struct {
	// Connections is the number of connections that may be open; 0: any number.
	Connections int
	// Refusal is written to a new connection that is closed since all others are in use; empty: nothing.
	Refusal []byte
	// OnClosed, unless nil, is called for each connection that is closed in favour of a new one, and with
	// refused true for each new one that is refused.
	OnClosed func(refused bool)
}

// LimitedListener is a listener that outlives errors of Accept, with a limit on open connections. At
// the limit it closes the connection that has been idle the longest to accept a new one. If all are in
// use, it refuses the new one.
//
// Without it, thousands of clients that each keep a connection to one process exhaust its file
// descriptors. Accept then fails, the HTTP server returns that error, and the process exits although
// closing one idle connection would have been enough.
type LimitedListener struct {
	net.Listener
	limit Limit
	log   *slog.Logger

	acceptFailed, closedIdle, refusedNew rate.Sometimes

	mu   sync.Mutex
	open map[*conn]struct{}
}

// LimitListener limits the open connections of a listener, of one of Open without a further layer.
func LimitListener(ln net.Listener, limit Limit, log *slog.Logger) *LimitedListener {
	if opened, ok := ln.(*LimitedListener); ok {
		opened.limit = limit
		return opened
	}
	l := &LimitedListener{Listener: ln, limit: limit, log: log, open: make(map[*conn]struct{})}
	for _, line := range []*rate.Sometimes{&l.acceptFailed, &l.closedIdle, &l.refusedNew} {
		line.First, line.Interval = 1, logInterval
	}
	return l
}

// Accept waits for the next connection. Its only error is net.ErrClosed.
func (l *LimitedListener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil, err
		}
		if err != nil {
			l.acceptFailed.Do(func() {
				l.log.Warn("accepting a connection failed", "address", l.Addr().String(), "error", err.Error(), "open", l.count())
			})
			l.closeIdlest()
			time.Sleep(acceptRetryDelay)
			continue
		}
		if c := l.track(accepted); c != nil {
			return c, nil
		}
	}
}

// track registers a connection, or refuses it and returns nil if the limit is reached and all
// others are in use.
func (l *LimitedListener) track(accepted net.Conn) *conn {
	if l.limit.Connections > 0 && l.count() >= l.limit.Connections && !l.closeIdlest() {
		l.refuse(accepted)
		return nil
	}
	c := &conn{Conn: accepted, listener: l}
	c.touch()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[c] = struct{}{}
	return c
}

func (l *LimitedListener) refuse(accepted net.Conn) {
	l.refusedNew.Do(func() {
		l.log.Warn("connection limit reached and no connection idle; refusing the new one", "address", l.Addr().String(), "open", l.limit.Connections)
	})
	l.reportClosed(true)
	if len(l.limit.Refusal) > 0 {
		_ = accepted.SetWriteDeadline(time.Now().Add(refusalTimeout))
		_, _ = accepted.Write(l.limit.Refusal)
	}
	_ = accepted.Close()
}

func (l *LimitedListener) reportClosed(refused bool) {
	if l.limit.OnClosed != nil {
		l.limit.OnClosed(refused)
	}
}

func (l *LimitedListener) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open)
}

// closeIdlest closes the connection that has been idle the longest. It returns false if none
// has been idle for minIdleTime.
func (l *LimitedListener) closeIdlest() bool {
	c := l.findIdlest(clock.SinceBoot() - minIdleTime)
	if c == nil {
		return false
	}
	l.closedIdle.Do(func() {
		l.log.Warn("an idle connection is closed in favour of a new one", "address", l.Addr().String(), "open", l.count(), "limit", l.limit.Connections)
	})
	l.reportClosed(false)
	_ = c.Close()
	return true
}

func (l *LimitedListener) findIdlest(before time.Duration) *conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found *conn
	for c := range l.open {
		if lastUsed, idle := c.idleSince(); idle && lastUsed < before {
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
