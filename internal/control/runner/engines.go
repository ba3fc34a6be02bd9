package runner

import (
	"encoding/json"
	"net"
	"time"

	"github.com/joomcode/errorx"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"goldcrestseam.dev/goldcrestseam/internal/clock"
	"goldcrestseam.dev/goldcrestseam/internal/control"
	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
)

// LeaseOver is the type of errors of writes that were held back since this
// leader's lease had run out.
var LeaseOver = Namespace.NewType("lease_over")

// maxOrderAnswer bounds an engine's answer to an order.
const maxOrderAnswer = 64 << 10

// OrderProtocol is how orders are spoken with engines.
type OrderProtocol interface {
	// Write fills the request for an order.
	Write(req *fasthttp.Request, e control.SendOrder) error
	// Read takes the engine's answer to it. Errors: the answer tells nothing of
	// the order.
	Read(resp *fasthttp.Response, e control.SendOrder) (*engineapi.OrderAnswer, error)
}

// nativeOrders speaks the system's own protocol with engines.
type nativeOrders struct{}

// engineSender sends orders to engines.
type engineSender struct {
	loop     *loop
	protocol OrderProtocol
	wg       conc.WaitGroup
}

func newEngineSender(l *loop, p OrderProtocol) *engineSender {
	if p == nil {
		p = nativeOrders{}
	}
	return &engineSender{loop: l, protocol: p}
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

// deliver gives the engine's answer, or an error and whether no byte went out.
func deliver(p OrderProtocol, e control.SendOrder) (*engineapi.OrderAnswer, bool, error) {
	var answer *engineapi.OrderAnswer
	notSent, err := callOnce(leasedCall{address: e.Address, until: e.LeaseUntil, timeout: e.Timeout, maxAnswer: maxOrderAnswer},
		func(req *fasthttp.Request) error { return p.Write(req, e) },
		func(resp *fasthttp.Response) (err error) {
			answer, err = p.Read(resp, e)
			return err
		})
	return answer, notSent, err
}

// leasedCall is a call that is made inside a lease or not at all.
type leasedCall struct {
	address   string
	until     time.Duration
	timeout   time.Duration
	maxAnswer int
}

// callOnce makes a call once and gives whether no byte of it went out, for errors.
//
// Each call has a connection of its own: none that has gone silent is used, and closing it
// drops what of the call has not left yet.
func callOnce(c leasedCall, write func(*fasthttp.Request) error, read func(*fasthttp.Response) error) (bool, error) {
	guard := &leaseGuard{until: c.until}
	client := &fasthttp.HostClient{
		Addr: c.address, Dial: guard.dialer(c.timeout),
		MaxIdemponentCallAttempts: 1, RetryIfErr: neverRetry, MaxResponseBodySize: c.maxAnswer,
	}
	defer client.CloseIdleConnections()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	if err := write(req); err != nil {
		return true, err
	}
	if err := client.DoTimeout(req, resp, c.timeout); err != nil {
		return !guard.written(), err
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

// Read takes an answer only if it is about this order.
func (nativeOrders) Read(resp *fasthttp.Response, e control.SendOrder) (*engineapi.OrderAnswer, error) {
	answer := &engineapi.OrderAnswer{}
	if err := json.Unmarshal(resp.Body(), answer); err != nil {
		return nil, errorx.Decorate(err, "status %d", resp.StatusCode())
	}
	if answer.ID != e.Order.ID || answer.Result == "" {
		return nil, Failed.New("the answer is about order %q with result %q", answer.ID, answer.Result)
	}
	return answer, nil
}

func neverRetry(*fasthttp.Request, int, error) (resetTimeout, retry bool) { return false, false }

// leaseGuard checks the lease directly before each write.
//
// Failure: the process is stopped, or waits long for a connection, after the
// reducer gave the order out. When it goes on another leader may have given this
// engine a newer order; one that ignores fencing tokens would obey the old one.
// The check is on CLOCK_BOOTTIME, which runs on while a VM is suspended. What
// remains is a pause between the check and the write itself: for it the
// successor waits out the stated longest pause.
type leaseGuard struct {
	until time.Duration
	wrote chan struct{}
}

func (g *leaseGuard) dialer(timeout time.Duration) fasthttp.DialFunc {
	g.wrote = make(chan struct{}, 1)
	return func(address string) (net.Conn, error) {
		conn, err := net.DialTimeout("tcp", address, timeout)
		if err != nil {
			return nil, err
		}
		return &guardedConn{Conn: conn, guard: g}, nil
	}
}

func (g *leaseGuard) written() bool { return len(g.wrote) > 0 }

func (g *leaseGuard) noteWrite() {
	select {
	case g.wrote <- struct{}{}:
	default:
	}
}

type guardedConn struct {
	net.Conn
	guard *leaseGuard
}

// Write writes while the lease lasts. Errors: LeaseOver.
func (c *guardedConn) Write(p []byte) (int, error) {
	if clock.SinceBoot() >= c.guard.until {
		return 0, LeaseOver.New("this leader's lease has run out")
	}
	c.guard.noteWrite()
	return c.Conn.Write(p)
}
