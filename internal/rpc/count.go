package rpc

import (
	"context"
	"net"

	"github.com/uber-go/tally/v4"
)

// Names of the counters of bytes on the wire between our own processes.
const (
	MetricBytesSent     = "rpc_bytes_sent"
	MetricBytesReceived = "rpc_bytes_received"
)

// Count counts the bytes of all connections that are opened from now on. They
// are counted below TLS, so that they are what the network carries, less the
// headers of TCP and IP.
func (a *Auth) Count(scope tally.Scope) {
	a.sent = scope.Counter(MetricBytesSent)
	a.received = scope.Counter(MetricBytesReceived)
}

// countedConn counts what a connection carries.
type countedConn struct {
	net.Conn
	auth *Auth
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	count(c.auth.received, n)
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	count(c.auth.sent, n)
	return n, err
}

// count adds to a counter; an Auth that was not loaded from settings has none.
func count(counter tally.Counter, n int) {
	if counter != nil {
		counter.Inc(int64(n))
	}
}

// countedListener counts the connections that it accepts.
type countedListener struct {
	net.Listener
	auth *Auth
}

func (l countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{Conn: conn, auth: l.auth}, nil
}

// dial opens a counted connection.
func (a *Auth) dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return countedConn{Conn: conn, auth: a}, nil
}
