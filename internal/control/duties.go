package control

import (
	"log/slog"
	"strconv"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

const (
	// dutyTimeout bounds one call.
	dutyTimeout = time.Second
	// firstDutyPause is how long after a call that was not taken it is made again; it doubles
	// with each one, up to maxDutyPause.
	firstDutyPause = 400 * time.Millisecond
	maxDutyPause   = 3 * time.Second
	// maxDutyCalls bounds the calls under way at once.
	maxDutyCalls = 4
)

// Duty is a kind of call that one replica at a time may make.
type Duty string

// The duties.
const (
	// DutyUsage reports a window of usage.
	DutyUsage Duty = "usage"
	// DutyScale orders servers.
	DutyScale Duty = "scale"
)

// DutiesConfig says what is done outside of the deployment in its name.
type DutiesConfig struct {
	// Usage is members' usage.
	Usage UsageConfig
	// OrderServers lets the leader order servers for the services that declare autoscaling.
	OrderServers bool
	// Lease is how long another holder may still be thought to act after its last call: a
	// new one waits so long before its first.
	Lease time.Duration
	// Holder names this replica in the calls.
	Holder string
}

// DutyCall makes one call in the name of the deployment. The runner checks LeaseUntil right
// before it writes, and gives the call Timeout. It is answered with a DutyAnswered.
type DutyCall struct {
	Duty Duty
	// Subject tells calls of one duty apart that are about different things.
	Subject string
	// Usage is the window of a DutyUsage, Scale the order of a DutyScale.
	Usage *pb.UsageWindow
	Scale ScaleOrder
	// Holder and Token name the caller and order the callers; no two holders have the same
	// token.
	Holder string
	Token  uint64
	// LeaseUntil is when this replica's authority ends, since boot.
	LeaseUntil time.Duration
	Timeout    time.Duration
}

// DutyResult is how a call was answered.
type DutyResult string

// Results of a DutyCall.
const (
	// DutyAccepted: the call was carried out.
	DutyAccepted DutyResult = "taken"
	// DutyFenced: another holder has a higher token.
	DutyFenced DutyResult = "fenced"
	// DutyUnavailable: what was ordered is not to be had now.
	DutyUnavailable DutyResult = "unavailable"
	// DutyBusy: it was not taken and may be called again later.
	DutyBusy DutyResult = "busy"
	// DutyUnanswered: it is not known whether it was, or will be, carried out.
	DutyUnanswered DutyResult = "unanswered"
)

// DutyAnswered is how a DutyCall ended.
type DutyAnswered struct {
	Duty    Duty
	Subject string
	Result  DutyResult
	// Reason is for the log.
	Reason string
}

func (DutyCall) isEffect()    {}
func (DutyAnswered) isEvent() {}

// dutyLead is what a leader keeps of its calls.
//
// The holder of all duties is the leader, and its term is the token: a term has one leader
// for ever, also after losses that the log survives, and a leader acts only inside its lease.
type dutyLead struct {
	calls  map[string]*dutyCall
	flying int
	// fenced is set once another holder was seen to have a higher token.
	fenced bool
}

// dutyCall is one that is under way or is to be made again.
type dutyCall struct {
	flying bool
	tries  int
	nextAt time.Duration
	made   DutyCall
}

func newDutyLead() dutyLead { return dutyLead{calls: make(map[string]*dutyCall)} }

func usageSubject(window int64) string { return strconv.FormatInt(window, 10) }

func dutyKey(duty Duty, subject string) string { return string(duty) + "/" + subject }

// callDuty makes a call unless it is under way or has to wait.
//
// Failure: leadership moves to another replica and back within moments, and each of them
// makes calls: the other side sees holders that take turns, and a late call of one undoes
// what the next one did. A new leader waits until a call of the one before is over.
func (r *Reducer) callDuty(c DutyCall) {
	d := &r.lead.duties
	key := dutyKey(c.Duty, c.Subject)
	call := d.calls[key]
	switch {
	case d.fenced || d.flying >= maxDutyCalls || r.now < r.lead.since+r.cfg.Duties.Lease:
		return
	case call != nil && (call.flying || r.now < call.nextAt):
		return
	case call == nil:
		call = &dutyCall{}
		d.calls[key] = call
	}
	call.flying, call.made = true, c
	d.flying++
	c.Holder, c.Token, c.LeaseUntil, c.Timeout = r.cfg.Duties.Holder, r.term, r.node.LeaseUntil(), dutyTimeout
	r.emit(c)
}

// onDutyAnswered settles a call, or makes it wait for its next try.
func (r *Reducer) onDutyAnswered(e DutyAnswered) {
	if r.lead == nil {
		return
	}
	d := &r.lead.duties
	key := dutyKey(e.Duty, e.Subject)
	call := d.calls[key]
	if call == nil || !call.flying {
		return
	}
	call.flying = false
	call.tries++
	d.flying--
	r.logDuty(e, call)
	switch e.Result {
	case DutyAccepted:
		delete(d.calls, key)
		r.dutyTaken(&call.made)
	case DutyUnavailable:
		delete(d.calls, key)
		r.scaleUnavailable(&call.made)
	case DutyFenced:
		d.fenced = true
	default:
		pause := min(maxDutyPause, firstDutyPause<<min(call.tries-1, 8))
		call.nextAt = r.now + pause
	}
}

func (r *Reducer) dutyTaken(c *DutyCall) {
	switch c.Duty {
	case DutyUsage:
		r.usageTaken(c.Usage.GetWindow())
	case DutyScale:
		r.scaleTaken(c)
	}
}

func (r *Reducer) logDuty(e DutyAnswered, call *dutyCall) {
	level := slog.LevelInfo
	if e.Result != DutyAccepted {
		level = slog.LevelWarn
	}
	fields := []Field{
		{"duty", string(e.Duty)}, {"subject", e.Subject}, {"result", string(e.Result)},
		{"token", r.term}, {"tries", call.tries}, {"reason", e.Reason},
	}
	if e.Duty == DutyScale {
		fields = append(fields, Field{"servers", call.made.Scale.Servers}, Field{"ordered_because", call.made.Scale.Reason})
	}
	r.log(level, "duty called", fields...)
}
