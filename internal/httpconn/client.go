// Package httpconn calls backend servers over HTTP/1.1 on connections that it pools itself. The
// HTTP library's client retries calls and hides whether bytes were sent; a request that may run
// at most once needs control of both. Messages are still parsed and written by the library.
package httpconn

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"goldcrestseam.dev/goldcrestseam/internal/peek"
)

const (
	// dialTimeout bounds the opening of a connection. Within a data centre that takes some
	// milliseconds, and a lost first packet is sent again after a second.
	dialTimeout = 1500 * time.Millisecond
	// defaultMaxIdleTime is how long a connection may be idle and still be reused. Middleboxes
	// may drop the state of connections that are idle for longer.
	defaultMaxIdleTime = 2 * time.Second
	// maxIdlePerHost bounds the idle connections to one server.
	maxIdlePerHost = 8
	// bufferBytes is the size of a connection's buffers; the head of a response must fit.
	bufferBytes = 8 << 10
	// maxSkippedResponses bounds how many responses to earlier requests are skipped while the
	// one to this request is awaited.
	maxSkippedResponses = 3
	// keepAliveIdle, keepAliveInterval and keepAliveProbes configure TCP keep-alive to detect a
	// peer that vanished without closing: its connection fails 2.5 s after the last packet from
	// it.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveProbes   = 3
)

// Client pools connections to backend servers. It is safe for concurrent use.
type Client struct {
	// DialContext opens connections. It may be replaced before the first call.
	DialContext func(ctx context.Context, network, address string) (net.Conn, error)
	// OneCallPerConnection closes each connection after its response. It may be set before the first call.
	OneCallPerConnection bool

	dialer net.Dialer

	mu    sync.Mutex
	hosts map[string]*hostConns
}

// hostConns are the connections to one address.
type hostConns struct {
	open int
	// idle holds the connections that carry no request, the most recently used one last.
	idle []*conn
}

// New returns a client without connections.
func New() *Client {
	c := &Client{
		dialer: net.Dialer{Timeout: dialTimeout, KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes,
		}},
		hosts: make(map[string]*hostConns),
	}
	c.DialContext = c.dialer.DialContext
	return c
}

// Call is one request, to be sent once.
type Call struct {
	Address string
	Request *fasthttp.Request
	// NewConnection asks for a new connection: an idle one may have been closed, and a request
	// that is lost on it may have run.
	NewConnection bool
	// MaxConns bounds the open connections to the address; 0 for no bound.
	MaxConns int
	// AcceptsRequests is called once there is a connection. If it returns false the request is
	// not sent. nil means that the server accepts requests.
	AcceptsRequests func() bool
	// Matches reports whether a response is to this request; nil accepts any. A server may send
	// a second response to an earlier request where the one to this request is due.
	Matches func(*fasthttp.ResponseHeader) bool
}

// conn is one connection.
type conn struct {
	net.Conn
	address  string
	r        *bufio.Reader
	w        *bufio.Writer
	lastUsed time.Time
	// maxIdleTime is how long it may be idle, as the server's last response allows.
	maxIdleTime time.Duration
}

// Do sends the request and reads the head of the response. When ctx ends the connection is
// closed, also while the body is read. Errors: NotSent, Refused, Reset, Broken, Closed,
// Malformed, Mismatched.
func (c *Client) Do(ctx context.Context, call Call) (*Response, error) {
	cn, err := c.connection(ctx, call)
	if err != nil {
		return nil, Classify(err)
	}
	if call.AcceptsRequests != nil && !call.AcceptsRequests() {
		c.putIdle(cn, defaultMaxIdleTime)
		return nil, Withheld.New("the server stopped accepting requests")
	}
	resp := &Response{client: c, conn: cn}
	resp.stopCtxWatch = context.AfterFunc(ctx, func() { _ = cn.Close() })
	if err := resp.exchange(call); err != nil {
		resp.Close()
		return nil, err
	}
	return resp, nil
}

func (c *Client) connection(ctx context.Context, call Call) (*conn, error) {
	if !call.NewConnection {
		if cn := c.takeIdle(call.Address); cn != nil {
			return cn, nil
		}
	}
	if !c.reserve(call.Address, call.MaxConns) {
		return nil, &DialError{Cause: fasthttp.ErrNoFreeConns}
	}
	nc, err := c.DialContext(ctx, "tcp", call.Address)
	if err != nil {
		c.release(call.Address)
		return nil, &DialError{Cause: err}
	}
	return &conn{
		Conn: nc, address: call.Address,
		r: bufio.NewReaderSize(nc, bufferBytes), w: bufio.NewWriterSize(nc, bufferBytes),
	}, nil
}

// takeIdle returns the most recently used idle connection that is still usable, or nil.
//
// A server may close an idle connection or send unrequested bytes on it. The next request on it
// would fail or get a response to another request. Both can be seen on the connection before the
// request is written.
func (c *Client) takeIdle(address string) *conn {
	for {
		cn := c.popIdle(address)
		if cn == nil {
			return nil
		}
		if time.Since(cn.lastUsed) < cn.maxIdleTime && cn.r.Buffered() == 0 && peek.Idle(cn.Conn) {
			return cn
		}
		c.discard(cn)
	}
}

func (c *Client) popIdle(address string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.hosts[address]
	if h == nil || len(h.idle) == 0 {
		return nil
	}
	last := len(h.idle) - 1
	cn := h.idle[last]
	h.idle[last] = nil
	h.idle = h.idle[:last]
	return cn
}

// reserve counts a connection that is about to be opened. At the limit it closes an idle one to
// make room; it returns false if there is none.
func (c *Client) reserve(address string, limit int) bool {
	c.mu.Lock()
	h := c.hosts[address]
	if h == nil {
		h = &hostConns{}
		c.hosts[address] = h
	}
	var evicted *conn
	if limit > 0 && h.open >= limit && len(h.idle) > 0 {
		evicted = h.idle[0]
		h.idle = h.idle[1:]
		h.open--
	}
	ok := limit <= 0 || h.open < limit
	if ok {
		h.open++
	}
	c.mu.Unlock()
	if evicted != nil {
		_ = evicted.Close()
	}
	return ok
}

func (c *Client) release(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.hosts[address]
	h.open--
	if h.open == 0 {
		delete(c.hosts, address)
	}
}

func (c *Client) discard(cn *conn) {
	_ = cn.Close()
	c.release(cn.address)
}

// putIdle keeps a connection for later requests, for at most maxIdleTime.
func (c *Client) putIdle(cn *conn, maxIdleTime time.Duration) {
	cn.lastUsed, cn.maxIdleTime = time.Now(), maxIdleTime
	c.mu.Lock()
	h := c.hosts[cn.address]
	if len(h.idle) < maxIdlePerHost {
		h.idle = append(h.idle, cn)
		c.mu.Unlock()
		return
	}
	c.mu.Unlock()
	c.discard(cn)
}

// closeExpired closes the connections that have been idle for too long.
func (c *Client) closeExpired() {
	c.mu.Lock()
	var expired []*conn
	for _, h := range c.hosts {
		for len(h.idle) > 0 && time.Since(h.idle[0].lastUsed) >= defaultMaxIdleTime {
			expired = append(expired, h.idle[0])
			h.idle = h.idle[1:]
		}
	}
	c.mu.Unlock()
	for _, cn := range expired {
		c.discard(cn)
	}
}
