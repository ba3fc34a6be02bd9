package httpconn

import (
	"context"
	"errors"
	"syscall"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/peek"
)

const (
	// listenTries bounds how often NothingListens opens a connection.
	listenTries = 3
	// listenInterval is how long a new connection is watched, and the time between two tries.
	listenInterval = 10 * time.Millisecond
	// listenTimeout bounds all tries together.
	listenTimeout = 200 * time.Millisecond
)

// NothingListens reports whether new connections to an address are refused. It is to be asked once
// a connection has broken: a server may end one connection, or reset those beyond its limit, and
// live on, but a process that has ended accepts none. It returns false for a server that does not
// answer at all, which may be frozen or cut off.
//
// While a process ends, the kernel may still accept connections and reset them, so that such a one
// is followed by another try. A connection that stays open is kept for later requests.
func (c *Client) NothingListens(ctx context.Context, address string, maxConns int) bool {
	ctx, cancel := context.WithTimeout(ctx, listenTimeout)
	defer cancel()
	for range listenTries {
		cn, err := c.connection(ctx, Call{Address: address, NewConnection: true, MaxConns: maxConns})
		if errors.Is(err, syscall.ECONNREFUSED) {
			return true
		}
		if err != nil && !errors.Is(err, syscall.ECONNRESET) {
			return false
		}
		sleep(ctx, listenInterval)
		if err == nil && c.keepIfOpen(cn) {
			return false
		}
	}
	return false
}

// keepIfOpen keeps a connection for later requests, or closes it if the peer has.
func (c *Client) keepIfOpen(cn *conn) bool {
	if !peek.Idle(cn.Conn) {
		c.discard(cn)
		return false
	}
	c.putIdle(cn, defaultMaxIdleTime)
	return true
}

// sleep waits for d; it returns false as soon as ctx ends.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
