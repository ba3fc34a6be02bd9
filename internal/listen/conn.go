package listen

import (
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/clock"
)

// What the server that reads requests from a connection says of it. Zero, while it has said nothing: the connection
// is idle from when bytes were last read or written.
const (
	markedIdle = iota + 1
	markedBusy
)

// conn records when it was last used.
type conn struct {
	net.Conn
	listener *LimitedListener
	use      atomic.Int32
	lastUsed atomic.Int64
}

// MarkBusy tells whether a request is in progress on a connection that a LimitedListener has accepted, also
// below other layers that have an Unwrap method. Until the first call a connection counts as idle whenever
// nothing is transferred, also while its caller waits for a slow answer.
func MarkBusy(c net.Conn, busy bool) {
	for c != nil {
		if tracked, ok := c.(*conn); ok {
			tracked.mark(busy)
			return
		}
		layer, ok := c.(interface{ Unwrap() net.Conn })
		if !ok {
			return
		}
		c = layer.Unwrap()
	}
}

func (c *conn) mark(busy bool) {
	c.touch()
	if busy {
		c.use.Store(markedBusy)
		return
	}
	c.use.Store(markedIdle)
}

// idleSince returns since when nothing happens on the connection; false while a request is in progress.
func (c *conn) idleSince() (time.Duration, bool) {
	return time.Duration(c.lastUsed.Load()), c.use.Load() != markedBusy
}

func (c *conn) touch() { c.lastUsed.Store(int64(clock.SinceBoot())) }

func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.use.Load() != markedBusy {
		c.touch()
	}
	return n, err
}

func (c *conn) Write(p []byte) (int, error) {
	if c.use.Load() != markedBusy {
		c.touch()
	}
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
