// Package callerconn handles callers' connections: it bounds writes to them, reports when
// they are closed while a request runs, and closes kept ones between two requests.
package callerconn

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/peek"
)

// writeTimeout bounds one write to a caller. It is long because a caller on a bad line has not
// disconnected. Without a bound a frozen caller, or one whose connection is dead, would hold its
// stream and the engine's slot for ever: the write neither succeeds nor fails.
const writeTimeout = 30 * time.Second

// markedReadTimeout bounds the reading of a request that has arrived when its connection was to be closed.
const markedReadTimeout = 30 * time.Second

// Listener accepts connections whose writes are bounded.
type Listener struct{ net.Listener }

// Accept waits for the next connection.
func (l Listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: conn, WriteTimeout: writeTimeout}, nil
}

// Conn is a caller's connection.
type Conn struct {
	net.Conn
	// WriteTimeout bounds each write.
	WriteTimeout time.Duration

	// lingers is set if Close reads what is on its way.
	lingers atomic.Bool

	mu sync.Mutex
	// closing is set if the connection is to be closed unless it has something to read.
	closing bool
}

// Unwrap returns the connection below.
func (c *Conn) Unwrap() net.Conn { return c.Conn }

// Read reads as net.Conn does. At a connection that CloseUnlessReadable has marked it ends with io.EOF once there is
// nothing to read.
//
// The goroutine that reads decides, not the one that marks: a request may have arrived that the reader had no
// processor time for, or be read already and not yet be known as one.
func (c *Conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || !c.unmark(time.Now().Add(markedReadTimeout)) {
			return n, err
		}
		if peek.Idle(c.Conn) {
			return 0, io.EOF
		}
	}
}

// CloseUnlessReadable lets the Read in progress, or the next one, end with io.EOF unless there is something to read.
func (c *Conn) CloseUnlessReadable() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
}

// unmark ends what CloseUnlessReadable began and sets the read deadline; false if the connection is not marked.
func (c *Conn) unmark(deadline time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closing {
		return false
	}
	c.closing = false
	_ = c.Conn.SetReadDeadline(deadline)
	return true
}

// Write writes p within WriteTimeout.
func (c *Conn) Write(p []byte) (int, error) {
	if err := c.Conn.SetWriteDeadline(time.Now().Add(c.WriteTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// Watch calls onClose, once, when the caller closes its connection while its request runs. See
// peek.Watch for stop.
func Watch(conn net.Conn, onClose func()) (stop func()) {
	if c, ok := conn.(*Conn); ok {
		conn = c.Conn
	}
	return peek.Watch(conn, onClose)
}
