package runner

import (
	"encoding/json"
	"net/http"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"goldcrestseam.dev/goldcrestseam/internal/control"
)

// maxDutyAnswerBytes bounds the answer to an external call.
const maxDutyAnswerBytes = 16 << 10

// DutyProtocol encodes external calls and decodes their answers.
type DutyProtocol interface {
	// Write fills the request for a call to that address.
	Write(req *fasthttp.Request, address string, c control.DutyCall) error
	// Read returns the result that the answer stands for.
	Read(resp *fasthttp.Response, c control.DutyCall) control.DutyResult
}

// dutyCaller makes external calls, each once and off the control goroutine.
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

// deliver makes one call and returns its result, with the reason for the log.
func (d *dutyCaller) deliver(c control.DutyCall) (control.DutyResult, string) {
	var result control.DutyResult
	var reason string
	notSent, err := callOnce(leasedCall{address: d.address, leaseUntil: c.LeaseUntil, timeout: c.Timeout, maxAnswerBytes: maxDutyAnswerBytes},
		func(req *fasthttp.Request) error { return d.protocol.Write(req, d.address, c) },
		func(resp *fasthttp.Response) error {
			result, reason = d.protocol.Read(resp, c), http.StatusText(resp.StatusCode())
			return nil
		})
	switch {
	case err == nil:
		return result, reason
	case notSent:
		return control.DutyBusy, err.Error()
	default:
		return control.DutyUnanswered, err.Error()
	}
}

// nativeDuties is the default DutyProtocol. It posts usage as JSON.
type nativeDuties struct{}

// nativeUsage is the report of one window's usage.
type nativeUsage struct {
	Window   int64             `json:"window"`
	Holder   string            `json:"holder"`
	Token    uint64            `json:"token"`
	Requests map[string]uint64 `json:"requests"`
}

// pathNativeUsage is the path that usage reports are posted to.
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
		return control.DutyAccepted
	default:
		return control.DutyBusy
	}
}
