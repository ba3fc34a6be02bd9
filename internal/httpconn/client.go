// Package httpconn calls backend servers over HTTP/1.1 on connections that it
// looks after itself. The HTTP library's client repeats calls and hides when
// bytes were sent; a request that may run once must know both. Parsing and
// writing of messages are the library's.
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
	// dialTimeout bounds the opening of a connection: within a data centre it
	// takes some milliseconds, and a lost first packet comes again after a second.
	dialTimeout = 1500 * time.Millisecond
	// idleLimit: a connection that idled longer is not used again, since
	// something between the two ends may have lost track of it.
	idleLimit = 2 * time.Second
	// maxIdle bounds idle connections to one server.
	maxIdle = 8
	// bufferBytes is the size of a connection's buffers: answers' heads fit.
	bufferBytes = 8 << 10
	// maxSkipped bounds answers to earlier requests that are passed over while
	// the one to this request is waited for.
	maxSkipped = 3
	// probeAfter, probeEvery and probes find a peer that is gone without a word:
	// 2.5 s after its last sign a connection to it fails.
	probeAfter = time.Second
	probeEvery = 500 * time.Millisecond
	probes     = 3
)

// Client keeps connections to backend servers. Its methods may be called from
// any goroutine.
type Client struct {
	dialer net.Dialer

	mu    sync.Mutex
	hosts map[string]*hostConns
}

// hostConns are the connections to one address.
type hostConns struct {
	open int
	// idle holds those that wait for a request, the last used at the end.
	idle []*conn
}

// New gives a client without connections.
func New() *Client {
	return &Client{
		dialer: net.Dialer{Timeout: dialTimeout, KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeAfter, Interval: probeEvery, Count: probes,
		}},
		hosts: make(map[string]*hostConns),
	}
}

// Call is one request as it is to be sent, once.
type Call struct {
	Address string
	Request *fasthttp.Request
	// NewConnection asks for a connection that has carried nothing before: one that idled
	// may have been closed, and a request that is lost on it may have run.
	NewConnection bool
	// MaxConns bounds the open connections to the address; 0: no bound.
	MaxConns int
	// AcceptsRequests is asked once there is a connection; if it tells that the server wants the
	// request no more, none is sent. nil: it does.
	AcceptsRequests func() bool
	// Matches tells whether an answer is to this request. A server may send a second
	// answer to an earlier request where the answer to this one is due.
	Matches func(*fasthttp.ResponseHeader) bool
}

// conn is one connection.
type conn struct {
	net.Conn
	address string
	r       *bufio.Reader
	w       *bufio.Writer
	used    time.Time
	// idleFor is how long it may idle, by its server's last answer.
	idleFor time.Duration
}

// Do sends the request and reads the answer's head. When ctx ends the connection
// is closed, also while the answer's body is read. Errors: NotSent, Refused,
// Broken, Closed, Mismatched.
func (c *Client) Do(ctx context.Context, call Call) (*Response, error) {
	cn, err := c.connection(ctx, call)
	if err != nil {
		return nil, Classify(err)
	}
	if call.AcceptsRequests != nil && !call.AcceptsRequests() {
		c.keep(cn, idleLimit)
		return nil, NotSent.New("the server wants no more requests")
	}
	a := &Response{client: c, conn: cn}
	a.unwatch = context.AfterFunc(ctx, func() { _ = cn.Close() })
	if err := a.exchange(call); err != nil {
		a.Close()
		return nil, err
	}
	return a, nil
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
	nc, err := c.dialer.DialContext(ctx, "tcp", call.Address)
	if err != nil {
		c.release(call.Address)
		return nil, &DialError{Cause: err}
	}
	return &conn{
		Conn: nc, address: call.Address,
		r: bufio.NewReaderSize(nc, bufferBytes), w: bufio.NewWriterSize(nc, bufferBytes),
	}, nil
}

// takeIdle gives the idle connection used last that is still good.
//
// Failure: a server closes a connection that idles, or sends bytes that nobody
// asked for; the next request on it fails or gets another one's answer. Both show
// on the connection before the request is written.
func (c *Client) takeIdle(address string) *conn {
	for {
		cn := c.popIdle(address)
		if cn == nil {
			return nil
		}
		if time.Since(cn.used) < cn.idleFor && cn.r.Buffered() == 0 && peek.Idle(cn.Conn) {
			return cn
		}
		c.drop(cn)
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

// reserve counts a connection that is about to be opened. With no room idle ones
// are closed for it.
func (c *Client) reserve(address string, most int) bool {
	c.mu.Lock()
	h := c.hosts[address]
	if h == nil {
		h = &hostConns{}
		c.hosts[address] = h
	}
	var spare *conn
	if most > 0 && h.open >= most && len(h.idle) > 0 {
		spare = h.idle[0]
		h.idle = h.idle[1:]
		h.open--
	}
	ok := most <= 0 || h.open < most
	if ok {
		h.open++
	}
	c.mu.Unlock()
	if spare != nil {
		_ = spare.Close()
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

func (c *Client) drop(cn *conn) {
	_ = cn.Close()
	c.release(cn.address)
}

// keep puts a connection aside for the next request, which may come so much later.
func (c *Client) keep(cn *conn, idleFor time.Duration) {
	cn.used, cn.idleFor = time.Now(), idleFor
	c.mu.Lock()
	h := c.hosts[cn.address]
	if len(h.idle) < maxIdle {
		h.idle = append(h.idle, cn)
		c.mu.Unlock()
		return
	}
	c.mu.Unlock()
	c.drop(cn)
}

// CloseIdle closes the connections that idle too long; call it now and then.
func (c *Client) CloseIdle() {
	c.mu.Lock()
	var old []*conn
	for _, h := range c.hosts {
		for len(h.idle) > 0 && time.Since(h.idle[0].used) >= idleLimit {
			old = append(old, h.idle[0])
			h.idle = h.idle[1:]
		}
	}
	c.mu.Unlock()
	for _, cn := range old {
		c.drop(cn)
	}
}
