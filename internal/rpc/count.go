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

// Names of the counters of bytes on the wire between processes of this system.
const (
	MetricBytesSent     = "rpc_bytes_sent"
	MetricBytesReceived = "rpc_bytes_received"
)

// CountBytes counts the bytes of all connections that are opened from here on. They are counted
// below TLS, so that the count is what the network carries without the headers of TCP and IP.
func (a *Auth) CountBytes(scope tally.Scope) {
	a.sent = scope.Counter(MetricBytesSent)
	a.received = scope.Counter(MetricBytesReceived)
}

// countedConn counts the bytes that a connection carries.
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

// count adds to a counter. The counter is nil if CountBytes was not called.
func count(counter tally.Counter, n int) {
	if counter != nil {
		counter.Inc(int64(n))
	}
}

// countedListener accepts connections whose bytes are counted.
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

// dial opens a connection whose bytes are counted.
func (a *Auth) dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return countedConn{Conn: conn, auth: a}, nil
}

// Names of the counters of the calls that a process answers, one series per call. Bytes are
// those of bodies, without headers.
const (
	MetricCallsAnswered     = "rpc_calls_answered"
	MetricCallBytesSent     = "rpc_call_bytes_sent"
	MetricCallBytesReceived = "rpc_call_bytes_received"
)

const (
	// maxCallNames bounds the number of names that are counted separately, since a request's
	// path is arbitrary. The others are counted as otherCalls.
	maxCallNames = 64
	otherCalls   = "other"
)

// CallTotals are the number of answered calls of one name and the bytes of their bodies.
type CallTotals struct {
	Call           string
	Calls          int64
	Sent, Received int64
}

// CallCounters counts the calls that a process answers, by name.
type CallCounters struct {
	scope tally.Scope

	mu     sync.Mutex
	byCall map[string]*CallTotals
}

// NewCallCounters returns counters that also write to the metrics scope.
func NewCallCounters(scope tally.Scope) *CallCounters {
	return &CallCounters{scope: scope, byCall: make(map[string]*CallTotals)}
}

// Wrap returns a handler that counts the calls that next answers.
func (c *CallCounters) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		request := &countedBody{ReadCloser: r.Body}
		r.Body = request
		response := &countedWriter{ResponseWriter: w}
		next.ServeHTTP(response, r)
		c.add(CallTotals{Call: path.Base(r.URL.Path), Calls: 1, Sent: response.bytes, Received: request.bytes})
	})
}

func (c *CallCounters) add(t CallTotals) {
	name := c.addTotals(t)
	scope := c.scope.Tagged(map[string]string{"call": name})
	scope.Counter(MetricCallsAnswered).Inc(t.Calls)
	scope.Counter(MetricCallBytesSent).Inc(t.Sent)
	scope.Counter(MetricCallBytesReceived).Inc(t.Received)
}

// addTotals adds to the totals of the call and returns the name under which it is counted.
func (c *CallCounters) addTotals(t CallTotals) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byCall[t.Call] == nil && len(c.byCall) >= maxCallNames {
		t.Call = otherCalls
	}
	totals := c.byCall[t.Call]
	if totals == nil {
		totals = &CallTotals{Call: t.Call}
		c.byCall[t.Call] = totals
	}
	totals.Calls += t.Calls
	totals.Sent += t.Sent
	totals.Received += t.Received
	return t.Call
}

// Take returns the totals since the last Take, ordered by name.
func (c *CallCounters) Take() []CallTotals {
	c.mu.Lock()
	defer c.mu.Unlock()
	totals := make([]CallTotals, 0, len(c.byCall))
	for _, call := range slices.Sorted(maps.Keys(c.byCall)) {
		t := c.byCall[call]
		if t.Calls > 0 {
			totals = append(totals, *t)
			*t = CallTotals{Call: call}
		}
	}
	return totals
}

// countedWriter counts the bytes of the body that a handler writes.
type countedWriter struct {
	http.ResponseWriter
	bytes int64
}

func (w *countedWriter) Write(p []byte) (int, error) {
	n, err := w.ResponseWriter.Write(p)
	w.bytes += int64(n)
	return n, err
}

// countedBody counts the bytes of the body that a handler reads.
type countedBody struct {
	io.ReadCloser
	bytes int64
}

func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.bytes += int64(n)
	return n, err
}
