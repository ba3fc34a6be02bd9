package admission

import "time"

// ResendLimit bounds what a deployment sends beyond the first send of each request.
type ResendLimit struct {
	// Ratio is how many such sends a service may get per request for it.
	Ratio float64
	// Constant is how many it may get besides in each window.
	Constant int
	// Window is the sliding span over which both are counted.
	Window time.Duration
}

// ResendLimiter is one entry's part of the limit, per service.
//
// It answers the pattern of a fleet that fails or refuses much at once: every
// request is sent again, the load doubles just when it can't be served, and the
// fleet never recovers. Each entry takes the ratio of its own requests and an
// equal part of the constant, so that no entry has to ask another before it sends.
type ResendLimiter struct {
	limit    ResendLimit
	services map[string]*extraUse
}

// extraUse holds the times of one service's requests and of what was sent beyond
// their first sends, the oldest first.
type extraUse struct {
	requests []time.Duration
	extras   []time.Duration
}

// safeShare is the part of the limit that is used: entries count by their own
// clocks, and a send counts where it arrives.
const safeShare = 0.8

// NewResendLimiter gives an entry's part of the limit; nil for none.
func NewResendLimiter(limit *ResendLimit) *ResendLimiter {
	if limit == nil || limit.Window <= 0 {
		return nil
	}
	return &ResendLimiter{limit: *limit, services: make(map[string]*extraUse)}
}

// RecordArrival counts a request for the service.
func (x *ResendLimiter) RecordArrival(now time.Duration, service string) {
	if x == nil {
		return
	}
	u := x.use(now, service)
	u.requests = append(u.requests, now)
}

// AllowResend asks for one more send of a request to the service; entries is how many
// entries share the limit.
func (x *ResendLimiter) AllowResend(now time.Duration, service string, entries int) bool {
	if x == nil {
		return true
	}
	u := x.use(now, service)
	constant := float64(x.limit.Constant) / float64(max(1, entries))
	allowed := safeShare * (x.limit.Ratio*float64(len(u.requests)) + constant)
	if float64(len(u.extras)+1) > allowed {
		return false
	}
	u.extras = append(u.extras, now)
	return true
}

func (x *ResendLimiter) use(now time.Duration, service string) *extraUse {
	u := x.services[service]
	if u == nil {
		u = &extraUse{}
		x.services[service] = u
	}
	u.requests = since(u.requests, now-x.limit.Window)
	u.extras = since(u.extras, now-x.limit.Window)
	return u
}

// since drops what lies before the time.
func since(times []time.Duration, from time.Duration) []time.Duration {
	old := 0
	for old < len(times) && times[old] < from {
		old++
	}
	return times[old:]
}
