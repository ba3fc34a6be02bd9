// Package callerconn has callers' connections: writes to them are bounded, and
// it is noticed when they close while their request runs.
package callerconn

import (
	"net"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/peek"
)

// stallLimit is how long a caller may take no bytes at all. It is long, since a
// caller on a bad line is not gone; but without any limit a caller that is frozen,
// or whose connection has gone silent, would hold its stream and the engine's
// slot for ever: the write neither succeeds nor fails.
const stallLimit = 30 * time.Second

// Listener gives connections whose writes are bounded.
type Listener struct{ net.Listener }

// Accept waits for the next connection.
func (l Listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: conn, WriteTimeout: stallLimit}, nil
}

// Conn is a caller's connection.
type Conn struct {
	net.Conn
	// WriteTimeout is how long a write may take.
	WriteTimeout time.Duration
}

// Write writes within WriteTimeout.
func (c *Conn) Write(p []byte) (int, error) {
	if err := c.Conn.SetWriteDeadline(time.Now().Add(c.WriteTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// Watch calls gone, once, when the caller closes its connection while its request
// runs; see peek.Watch for stop.
func Watch(conn net.Conn, gone func()) (stop func()) {
	if c, ok := conn.(*Conn); ok {
		conn = c.Conn
	}
	return peek.Watch(conn, gone)
}
