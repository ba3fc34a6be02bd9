// Package callerconn handles callers' connections: it bounds writes to them, and reports when
// they are closed while a request runs.
package callerconn

import (
	"net"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/peek"
)

// writeTimeout bounds one write to a caller. It is long because a caller on a bad line has not
// disconnected. Without a bound a frozen caller, or one whose connection is dead, would hold its
// stream and the engine's slot for ever: the write neither succeeds nor fails.
const writeTimeout = 30 * time.Second

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
