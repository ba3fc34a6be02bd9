package runner

import (
	"encoding/json"
	"net/http"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"goldcrestseam.dev/goldcrestseam/internal/control"
)

// maxDutyAnswer bounds the answer to a duty's call.
const maxDutyAnswer = 16 << 10

// DutyProtocol is how duties are called.
type DutyProtocol interface {
	// Write fills the request for a call to that address.
	Write(req *fasthttp.Request, address string, c control.DutyCall) error
	// Read tells how it was answered.
	Read(resp *fasthttp.Response, c control.DutyCall) control.DutyResult
}

// dutyCaller makes the calls of duties, each once and off the control goroutine.
type dutyCaller struct {
	loop     *loop
	address  string
	protocol DutyProtocol
	wg       conc.WaitGroup
}

func newDutyCaller(l *loop, address string, p DutyProtocol) *dutyCaller {
	if p == nil {
		p = nativeDuties{}
	}
	return &dutyCaller{loop: l, address: address, protocol: p}
}

func (d *dutyCaller) wait() { d.wg.Wait() }

func (d *dutyCaller) call(c control.DutyCall) {
	d.wg.Go(func() {
		result, reason := d.deliver(c)
		d.loop.post(control.DutyAnswered{Duty: c.Duty, Subject: c.Subject, Result: result, Reason: reason})
	})
}

// deliver makes one call inside the lease, on a connection of its own, as deliver of orders.
func (d *dutyCaller) deliver(c control.DutyCall) (control.DutyResult, string) {
	guard := &leaseGuard{until: c.LeaseUntil}
	client := &fasthttp.HostClient{
		Addr: d.address, Dial: guard.dialer(c.Timeout),
		MaxIdemponentCallAttempts: 1, RetryIfErr: neverRetry, MaxResponseBodySize: maxDutyAnswer,
	}
	defer client.CloseIdleConnections()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	if err := d.protocol.Write(req, d.address, c); err != nil {
		return control.DutyBusy, err.Error()
	}
	if err := client.DoTimeout(req, resp, c.Timeout); err != nil {
		if !guard.written() {
			return control.DutyBusy, err.Error()
		}
		return control.DutyUnanswered, err.Error()
	}
	return d.protocol.Read(resp, c), http.StatusText(resp.StatusCode())
}

// nativeDuties posts usage as JSON to whoever accounts for it.
type nativeDuties struct{}

// nativeUsage is a report of one window's usage.
type nativeUsage struct {
	Window   int64             `json:"window"`
	Holder   string            `json:"holder"`
	Token    uint64            `json:"token"`
	Requests map[string]uint64 `json:"requests"`
}

// pathNativeUsage is where such reports go.
const pathNativeUsage = "/v1/usage"

func (nativeDuties) Write(req *fasthttp.Request, address string, c control.DutyCall) error {
	usage := nativeUsage{Window: c.Usage.GetWindow(), Holder: c.Holder, Token: c.Token, Requests: make(map[string]uint64)}
	for _, count := range c.Usage.GetCounts() {
		usage.Requests[count.GetMember()] = count.GetRequests()
	}
	body, err := json.Marshal(usage)
	if err != nil {
		return err
	}
	req.Header.SetMethod(http.MethodPost)
	req.SetRequestURI("http://" + address + pathNativeUsage)
	req.Header.SetContentType("application/json")
	req.SetBody(body)
	return nil
}

func (nativeDuties) Read(resp *fasthttp.Response, _ control.DutyCall) control.DutyResult {
	switch status := resp.StatusCode(); {
	case status == http.StatusConflict:
		return control.DutyFenced
	case status >= http.StatusOK && status < http.StatusMultipleChoices:
		return control.DutyTaken
	default:
		return control.DutyBusy
	}
}
