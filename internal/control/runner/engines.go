package runner

import (
	"context"
	"encoding/json"
	"math"
	"net"
	"time"

	"github.com/joomcode/errorx"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"goldcrestseam.dev/goldcrestseam/internal/clock"
	"goldcrestseam.dev/goldcrestseam/internal/control"
	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
	"goldcrestseam.dev/goldcrestseam/internal/httpconn"
)

// LeaseExpired is the type of errors of writes that were not made because this leader's
// lease had expired.
var LeaseExpired = Namespace.NewType("lease_over")

// maxOrderAnswerBytes bounds an engine's answer to an order.
const maxOrderAnswerBytes = 64 << 10

// OrderProtocol encodes orders to engines and decodes their answers.
type OrderProtocol interface {
	// Write fills the request for an order.
	Write(req *fasthttp.Request, e control.SendOrder) error
	// Read decodes the engine's answer. Errors: the answer says nothing about the order.
	Read(resp *fasthttp.Response, e control.SendOrder) (*engineapi.OrderAnswer, error)
}

// IdentityProtocol asks an address which server incarnation runs there.
type IdentityProtocol interface {
	// WriteCheck fills the request. Errors: the address can't be asked.
	WriteCheck(req *fasthttp.Request, e control.CheckAddress) error
	// ReadCheck returns the incarnation that answered, by its id or its name. Errors: the answer names none.
	ReadCheck(resp *fasthttp.Response) (string, error)
}

// nativeOrders is the default OrderProtocol.
type nativeOrders struct{}

// engineSender sends orders to engines.
type engineSender struct {
	loop     *loop
	protocol OrderProtocol
	identity IdentityProtocol
	checks   chan struct{}
	wg       conc.WaitGroup
}

// maxChecks bounds the checks of addresses in flight. Others fail at once and are repeated by
// the reports that lead to them.
const maxChecks = 32

func newEngineSender(l *loop, d Drivers) *engineSender {
	s := &engineSender{loop: l, protocol: d.Orders, identity: d.Identity, checks: make(chan struct{}, maxChecks)}
	if s.protocol == nil {
		s.protocol = nativeOrders{}
	}
	if s.identity == nil {
		s.identity = nativeIdentity{}
	}
	return s
}

// check asks an address once, off the control goroutine.
func (s *engineSender) check(e control.CheckAddress) {
	result := control.AddressChecked{Server: e.Server, Candidates: e.Candidates}
	select {
	case s.checks <- struct{}{}:
	default:
		result.Reason = "too many checks in flight"
		s.wg.Go(func() { s.loop.post(result) })
		return
	}
	s.wg.Go(func() {
		defer func() { <-s.checks }()
		call := leasedCall{address: e.Address, leaseUntil: math.MaxInt64, timeout: e.Timeout, maxAnswerBytes: maxOrderAnswerBytes}
		_, err := callOnce(call, func(req *fasthttp.Request) error { return s.identity.WriteCheck(req, e) },
			func(resp *fasthttp.Response) (err error) {
				result.Incarnation, err = s.identity.ReadCheck(resp)
				return err
			})
		if err != nil {
			result.Incarnation, result.Reason = "", err.Error()
		}
		s.loop.post(result)
	})
}

// nativeIdentity is the default IdentityProtocol.
type nativeIdentity struct{}

func (nativeIdentity) WriteCheck(req *fasthttp.Request, e control.CheckAddress) error {
	req.SetRequestURI("http://" + e.Address + engineapi.PathHealth)
	return nil
}

func (nativeIdentity) ReadCheck(resp *fasthttp.Response) (string, error) {
	if id := string(resp.Header.Peek(engineapi.HeaderIncarnation)); id != "" {
		return id, nil
	}
	return "", Failed.New("status %d names no incarnation", resp.StatusCode())
}

func (s *engineSender) wait() { s.wg.Wait() }

// send sends one order once, off the control goroutine.
func (s *engineSender) send(e control.SendOrder) {
	s.wg.Go(func() {
		answer, notSent, err := deliver(s.protocol, e)
		if err != nil {
			s.loop.post(control.OrderUnanswered{
				Server: e.Server, OrderID: e.Order.ID, NotSent: notSent, Reason: err.Error(),
			})
			return
		}
		s.loop.post(control.OrderAnswered{Server: e.Server, Answer: *answer})
	})
}

// deliver returns the engine's answer, or an error and whether no byte was sent.
func deliver(p OrderProtocol, e control.SendOrder) (*engineapi.OrderAnswer, bool, error) {
	var answer *engineapi.OrderAnswer
	notSent, err := callOnce(leasedCall{address: e.Address, leaseUntil: e.LeaseUntil, timeout: e.Timeout, maxAnswerBytes: maxOrderAnswerBytes},
		func(req *fasthttp.Request) error { return p.Write(req, e) },
		func(resp *fasthttp.Response) (err error) {
			answer, err = p.Read(resp, e)
			return err
		})
	return answer, notSent, err
}

// leasedCall describes a call that is made only while the lease is valid.
type leasedCall struct {
	address        string
	leaseUntil     time.Duration
	timeout        time.Duration
	maxAnswerBytes int
}

// callOnce makes a call once. On errors it also returns whether no byte was sent.
//
// Each call uses a new connection: a broken idle connection is never reused, and closing
// the connection drops the bytes of the call that have not been sent yet.
func callOnce(c leasedCall, write func(*fasthttp.Request) error, read func(*fasthttp.Response) error) (bool, error) {
	guard := &leaseGuard{leaseUntil: c.leaseUntil}
	connections := httpconn.New()
	connections.OneCallPerConnection, connections.DialContext = true, guard.dialer(c.timeout)
	client := &fasthttp.HostClient{
		Addr: c.address, Transport: &httpconn.Transport{Client: connections},
		MaxResponseBodySize: c.maxAnswerBytes,
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	if err := write(req); err != nil {
		return true, err
	}
	if err := client.DoTimeout(req, resp, c.timeout); err != nil {
		return !guard.hasWritten(), err
	}
	return false, read(resp)
}

func (nativeOrders) Write(req *fasthttp.Request, e control.SendOrder) error {
	body, err := json.Marshal(e.Order)
	if err != nil {
		return err
	}
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + e.Address + engineapi.PathOrders)
	req.Header.SetContentType("application/json")
	req.SetBody(body)
	return nil
}

// Read accepts only an answer to this order.
func (nativeOrders) Read(resp *fasthttp.Response, e control.SendOrder) (*engineapi.OrderAnswer, error) {
	answer := &engineapi.OrderAnswer{}
	if err := json.Unmarshal(resp.Body(), answer); err != nil {
		return nil, errorx.Decorate(err, "status %d", resp.StatusCode())
	}
	if answer.ID != e.Order.ID || answer.Result == "" {
		return nil, Failed.New("answer does not match the order: id %q, result %q", answer.ID, answer.Result)
	}
	return answer, nil
}

// leaseGuard checks the lease directly before each write.
//
// Failure: the process is paused, or waits long for a connection, after the reducer issued
// the order. When it resumes, another leader may have sent this engine a newer order; an
// engine that ignores fencing tokens would carry out the old one. The check uses
// CLOCK_BOOTTIME, which includes the time that a VM is suspended. A pause between the check
// and the write itself remains possible: for it the successor waits for the longest pause
// that the settings allow for (order_pause).
type leaseGuard struct {
	leaseUntil time.Duration
	firstWrite chan struct{}
}

func (g *leaseGuard) dialer(timeout time.Duration) func(ctx context.Context, network, address string) (net.Conn, error) {
	g.firstWrite = make(chan struct{}, 1)
	return func(_ context.Context, network, address string) (net.Conn, error) {
		conn, err := net.DialTimeout(network, address, timeout)
		if err != nil {
			return nil, err
		}
		return &guardedConn{Conn: conn, guard: g}, nil
	}
}

func (g *leaseGuard) hasWritten() bool { return len(g.firstWrite) > 0 }

func (g *leaseGuard) recordWrite() {
	select {
	case g.firstWrite <- struct{}{}:
	default:
	}
}

type guardedConn struct {
	net.Conn
	guard *leaseGuard
}

// Write writes while the lease is valid. Errors: LeaseExpired.
func (c *guardedConn) Write(p []byte) (int, error) {
	if clock.SinceBoot() >= c.guard.leaseUntil {
		return 0, LeaseExpired.New("this leader's lease has expired")
	}
	c.guard.recordWrite()
	return c.Conn.Write(p)
}
