package traffic

import (
	"net"
	"time"
)

// callerStall is how long a caller may take no bytes at all. It is long, since a
// caller on a bad line is not gone; but without any limit a caller that is frozen,
// or whose connection has gone silent, would hold its stream and the engine's
// slot for ever: the write neither succeeds nor fails.
const callerStall = 30 * time.Second

// callerListener gives connections whose writes are bounded.
type callerListener struct{ net.Listener }

func (l callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: conn, stall: callerStall}, nil
}

type callerConn struct {
	net.Conn
	stall time.Duration
}

func (c *callerConn) Write(p []byte) (int, error) {
	if err := c.Conn.SetWriteDeadline(time.Now().Add(c.stall)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}
