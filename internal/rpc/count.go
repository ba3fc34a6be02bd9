package rpc

import (
	"context"
	"io"
	"maps"
	"net"
	"net/http"
	"path"
	"slices"
	"sync"

	"github.com/uber-go/tally/v4"
)

// Names of the counters of bytes on the wire between our own processes.
const (
	MetricBytesSent     = "rpc_bytes_sent"
	MetricBytesReceived = "rpc_bytes_received"
)

// CountBytes counts the bytes of all connections that are opened from now on. They
// are counted below TLS, so that they are what the network carries, less the
// headers of TCP and IP.
func (a *Auth) CountBytes(scope tally.Scope) {
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

// Names of the counters of the calls that a process answers, by call; bytes are those of
// bodies, without heads.
const (
	MetricCallsAnswered     = "rpc_calls_answered"
	MetricCallBytesSent     = "rpc_call_bytes_sent"
	MetricCallBytesReceived = "rpc_call_bytes_received"
)

const (
	// maxCallNames bounds the calls that are told apart: a path may name anything.
	maxCallNames = 64
	otherCalls   = "other"
)

// CallTotals are what a process has answered of one call.
type CallTotals struct {
	Call           string
	Calls          int64
	Sent, Received int64
}

// CallCounters count what a process answers, by the name of the call.
type CallCounters struct {
	scope tally.Scope

	mu     sync.Mutex
	byCall map[string]*CallTotals
}

// NewCallCounters writes to the scope too.
func NewCallCounters(scope tally.Scope) *CallCounters {
	return &CallCounters{scope: scope, byCall: make(map[string]*CallTotals)}
}

// Wrap wraps a handler of calls.
func (c *CallCounters) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked := &countedBody{ReadCloser: r.Body}
		r.Body = asked
		told := &countedWriter{ResponseWriter: w}
		next.ServeHTTP(told, r)
		c.add(CallTotals{Call: path.Base(r.URL.Path), Calls: 1, Sent: told.bytes, Received: asked.bytes})
	})
}

func (c *CallCounters) add(t CallTotals) {
	name := c.sum(t)
	scope := c.scope.Tagged(map[string]string{"call": name})
	scope.Counter(MetricCallsAnswered).Inc(t.Calls)
	scope.Counter(MetricCallBytesSent).Inc(t.Sent)
	scope.Counter(MetricCallBytesReceived).Inc(t.Received)
}

// sum adds to the totals of the call and gives the name under which it is counted.
func (c *CallCounters) sum(t CallTotals) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byCall[t.Call] == nil && len(c.byCall) >= maxCallNames {
		t.Call = otherCalls
	}
	known := c.byCall[t.Call]
	if known == nil {
		known = &CallTotals{Call: t.Call}
		c.byCall[t.Call] = known
	}
	known.Calls += t.Calls
	known.Sent += t.Sent
	known.Received += t.Received
	return t.Call
}

// Take gives what was counted since the last Take, in order of name.
func (c *CallCounters) Take() []CallTotals {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := make([]CallTotals, 0, len(c.byCall))
	for _, call := range slices.Sorted(maps.Keys(c.byCall)) {
		t := c.byCall[call]
		if t.Calls > 0 {
			list = append(list, *t)
			*t = CallTotals{Call: call}
		}
	}
	return list
}

// countedWriter counts the body that a handler writes.
type countedWriter struct {
	http.ResponseWriter
	bytes int64
}

func (w *countedWriter) Write(p []byte) (int, error) {
	n, err := w.ResponseWriter.Write(p)
	w.bytes += int64(n)
	return n, err
}

// countedBody counts the body that a handler reads.
type countedBody struct {
	io.ReadCloser
	bytes int64
}

func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.bytes += int64(n)
	return n, err
}
