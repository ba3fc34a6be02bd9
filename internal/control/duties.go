package control

import (
	"log/slog"
	"strconv"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

const (
	// dutyTimeout is the timeout of one call.
	dutyTimeout = time.Second
	// initialDutyBackoff is the back-off after the first failed call; it doubles with each
	// failure, up to maxDutyBackoff.
	initialDutyBackoff = 400 * time.Millisecond
	maxDutyBackoff     = 3 * time.Second
	// maxDutyCalls bounds the calls in flight.
	maxDutyCalls = 4
)

// Duty is a kind of call to an external service that only one replica at a time may make.
type Duty string

// The kinds of duty.
const (
	// DutyUsage reports the usage of one accounting window.
	DutyUsage Duty = "usage"
	// DutyScale orders a number of servers for a service.
	DutyScale Duty = "scale"
)

// DutiesConfig configures the calls to external services that the leader makes for the
// deployment.
type DutiesConfig struct {
	// Usage configures the accounting of members' usage.
	Usage UsageConfig
	// OrderServers enables ordering servers for the services that declare autoscaling.
	OrderServers bool
	// Lease is how long a call of the previous holder may still take effect after it was
	// made; a new holder waits this long before its first call.
	Lease time.Duration
	// Holder identifies this replica in the calls.
	Holder string
}

// DutyCall makes one external call for the deployment. The runner checks LeaseUntil right
// before it writes, and applies Timeout. The result is a DutyAnswered.
type DutyCall struct {
	Duty Duty
	// Subject distinguishes calls of the same duty.
	Subject string
	// Usage is the window of a DutyUsage, Scale the order of a DutyScale.
	Usage *pb.UsageWindow
	Scale ScaleOrder
	// Holder identifies the caller. Token is its fencing token; no two holders have the
	// same token.
	Holder string
	Token  uint64
	// LeaseUntil is when this replica's leader lease ends, as time since boot.
	LeaseUntil time.Duration
	Timeout    time.Duration
}

// DutyResult is the result of a DutyCall.
type DutyResult string

// Results of a DutyCall.
const (
	// DutyAccepted means that the call was carried out.
	DutyAccepted DutyResult = "taken"
	// DutyFenced means that another holder has a higher token.
	DutyFenced DutyResult = "fenced"
	// DutyUnavailable means that the ordered servers are not available at present.
	DutyUnavailable DutyResult = "unavailable"
	// DutyBusy means that the call was rejected and may be repeated later.
	DutyBusy DutyResult = "busy"
	// DutyUnanswered means that the call may or may not have been carried out, or may still
	// be.
	DutyUnanswered DutyResult = "unanswered"
)

// DutyAnswered reports the result of a DutyCall.
type DutyAnswered struct {
	Duty    Duty
	Subject string
	Result  DutyResult
	// Reason is for the log.
	Reason string
}

func (DutyCall) isEffect()    {}
func (DutyAnswered) isEvent() {}

// leaderDuties is the leader's in-memory state of its external calls.
//
// The leader holds all duties, and its term is the fencing token: a term has only one
// leader, even after failures, as long as the log survives, and a leader acts only while it
// holds its lease.
type leaderDuties struct {
	calls    map[string]*dutyCall
	inFlight int
	// fenced is set once a call was rejected because another holder has a higher token.
	fenced bool
}

// dutyCall is a call that is in flight or waits for its retry.
type dutyCall struct {
	inFlight bool
	attempts int
	retryAt  time.Duration
	request  DutyCall
}

func newLeaderDuties() leaderDuties { return leaderDuties{calls: make(map[string]*dutyCall)} }

func usageSubject(window int64) string { return strconv.FormatInt(window, 10) }

func dutyKey(duty Duty, subject string) string { return string(duty) + "/" + subject }

// callDuty makes a call unless the same one is in flight or in back-off, or a limit is
// reached.
//
// Failure: leadership moves to another replica and back within moments, and both replicas
// make calls. The external service sees alternating holders, and a late call of one undoes
// what a newer call of the other did. A new leader waits until no call of the previous
// leader can still take effect.
func (r *Reducer) callDuty(c DutyCall) {
	d := &r.lead.duties
	key := dutyKey(c.Duty, c.Subject)
	call := d.calls[key]
	switch {
	case d.fenced || d.inFlight >= maxDutyCalls || r.now < r.lead.startedAt+r.cfg.Duties.Lease:
		return
	case call != nil && (call.inFlight || r.now < call.retryAt):
		return
	case call == nil:
		call = &dutyCall{}
		d.calls[key] = call
	}
	call.inFlight, call.request = true, c
	d.inFlight++
	c.Holder, c.Token, c.LeaseUntil, c.Timeout = r.cfg.Duties.Holder, r.term, r.node.LeaseUntil(), dutyTimeout
	r.emit(c)
}

// onDutyAnswered completes a call or schedules its retry.
func (r *Reducer) onDutyAnswered(e DutyAnswered) {
	if r.lead == nil {
		return
	}
	d := &r.lead.duties
	key := dutyKey(e.Duty, e.Subject)
	call := d.calls[key]
	if call == nil || !call.inFlight {
		return
	}
	call.inFlight = false
	call.attempts++
	d.inFlight--
	r.logDuty(e, call)
	switch e.Result {
	case DutyAccepted:
		delete(d.calls, key)
		r.onDutyAccepted(&call.request)
	case DutyUnavailable:
		delete(d.calls, key)
		r.onScaleUnavailable(&call.request)
	case DutyFenced:
		d.fenced = true
	default:
		backoff := min(maxDutyBackoff, initialDutyBackoff<<min(call.attempts-1, 8))
		call.retryAt = r.now + backoff
	}
}

func (r *Reducer) onDutyAccepted(c *DutyCall) {
	switch c.Duty {
	case DutyUsage:
		r.onUsageAccepted(c.Usage.GetWindow())
	case DutyScale:
		r.onScaleAccepted(c)
	}
}

func (r *Reducer) logDuty(e DutyAnswered, call *dutyCall) {
	level := slog.LevelInfo
	if e.Result != DutyAccepted {
		level = slog.LevelWarn
	}
	fields := []Field{
		{"duty", string(e.Duty)}, {"subject", e.Subject}, {"result", string(e.Result)},
		{"token", r.term}, {"tries", call.attempts}, {"reason", e.Reason},
	}
	if e.Duty == DutyScale {
		fields = append(fields, Field{"servers", call.request.Scale.Servers}, Field{"ordered_because", call.request.Scale.Reason})
	}
	r.log(level, "duty call completed", fields...)
}
