package listen

import (
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/clock"
)

// Use is what the server that reads requests from a connection says of it. Zero, while it has said nothing: the connection
// is idle from when bytes were last read or written.
type Use int32

const (
	// Idle connections wait for a request.
	Idle Use = iota + 1
	// Arriving is the use while a request is read. Such a connection counts as idle from when the request began to
	// arrive, whatever is read since: its caller may never send the end.
	Arriving
	// Busy connections have a request in progress that was read to its end.
	Busy
)

// conn records when it was last used.
type conn struct {
	net.Conn
	listener *LimitedListener
	use      atomic.Int32
	lastUsed atomic.Int64
}

// Mark tells the use of a connection that a LimitedListener has accepted, also below other layers that have an Unwrap
// method. Until the first call a connection counts as idle whenever nothing is transferred, also while its caller waits
// for a slow answer.
func Mark(c net.Conn, use Use) {
	for c != nil {
		if tracked, ok := c.(*conn); ok {
			tracked.touch()
			tracked.use.Store(int32(use))
			return
		}
		layer, ok := c.(interface{ Unwrap() net.Conn })
		if !ok {
			return
		}
		c = layer.Unwrap()
	}
}

// idleSince returns since when nothing happens on the connection; false while a request is in progress.
func (c *conn) idleSince() (time.Duration, bool) {
	return time.Duration(c.lastUsed.Load()), Use(c.use.Load()) != Busy
}

// touchUnlessMarked records a transfer, except where the server has said since when the connection is in use.
func (c *conn) touchUnlessMarked() {
	if use := Use(c.use.Load()); use != Busy && use != Arriving {
		c.touch()
	}
}

func (c *conn) touch() { c.lastUsed.Store(int64(clock.SinceBoot())) }

func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.touchUnlessMarked()
	return n, err
}

func (c *conn) Write(p []byte) (int, error) {
	c.touchUnlessMarked()
	return c.Conn.Write(p)
}

// SyscallConn gives access to the descriptor, to look at bytes without reading them.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return sc.SyscallConn()
}

// CloseWrite ends the sending side of the connection.
func (c *conn) CloseWrite() error {
	sender, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errors.ErrUnsupported
	}
	return sender.CloseWrite()
}

func (c *conn) Close() error {
	c.listener.remove(c)
	return c.Conn.Close()
}
