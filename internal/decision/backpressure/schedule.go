package backpressure

import (
	"math"
	"time"
)

const (
	// grantHorizon is how far ahead of its time a permit is granted: far enough that no permit
	// is lost between two requests, near enough that urgent work can wait for it.
	grantHorizon = 250 * time.Millisecond
	// warmUpTime is how long a new schedule runs at half of the limit: another entry may have
	// kept the schedule until now, and some entries may still use that one.
	warmUpTime = 2 * time.Second
	// idleTimeout is how long a schedule is kept without requests.
	idleTimeout = 10 * time.Second
	// minRequestInterval is the least time after which an entry is told to request again.
	minRequestInterval = 20 * time.Millisecond
	// requestersPerPermit is the number of entries that are to request each permit. With only
	// one, a permit is lost whenever that entry has nothing to send.
	requestersPerPermit = 2.0
)

// PermitSchedule grants the permits for one server incarnation; one entry keeps it for all
// entries.
//
// It protects an overloaded server that many entries with uneven demand share. Fixed shares
// of the limit would leave the server idle for entries with little demand and withhold it
// from those with much, and are useless if there are more entries than requests per second.
// Instead, permits follow each other at the rate of the limit, whoever requests them.
// Entries without a permit request again spread over the time in which all recent requesters
// can get one, so the number of requests grows with the limit and not with the number of
// entries.
type PermitSchedule struct {
	rate     float64
	signalAt time.Duration
	// nextPermitAt is when the next permit becomes valid, startedAt when the schedule began,
	// lastRequestAt when permits were last requested.
	nextPermitAt, startedAt, lastRequestAt time.Duration
	// requesters holds the entries that have requested permits recently, and until when each
	// counts.
	requesters   map[string]time.Duration
	requestCount int
}

// GrantRequest is a request for permits.
type GrantRequest struct {
	Entry string
	// Rate is the limit that the entry knows, from a signal received at SignalAt.
	Rate     float64
	SignalAt time.Duration
	Wanted   int
}

// GrantResponse grants permits: how long from now each becomes valid, and when to request
// again.
type GrantResponse struct {
	Delays        []time.Duration
	NextRequestIn time.Duration
}

// Grant answers a request for permits.
func (s *PermitSchedule) Grant(now time.Duration, req GrantRequest) GrantResponse {
	if s.requesters == nil || s.Idle(now) {
		*s = PermitSchedule{nextPermitAt: now, startedAt: now, requesters: make(map[string]time.Duration)}
	}
	s.lastRequestAt = now
	if s.rate == 0 || req.SignalAt >= s.signalAt {
		s.rate, s.signalAt = req.Rate, req.SignalAt
	}
	grantRate := s.rate
	if now-s.startedAt < warmUpTime {
		grantRate /= 2
	}
	s.expireRequesters(now)
	var response GrantResponse
	for range req.Wanted {
		permitAt := max(s.nextPermitAt, now)
		if permitAt-now > grantHorizon {
			break
		}
		response.Delays = append(response.Delays, permitAt-now)
		s.nextPermitAt = permitAt + time.Duration(float64(time.Second)/grantRate)
	}
	response.NextRequestIn = s.nextRequestIn(now, grantRate, req.Entry)
	s.requesters[req.Entry] = now + response.NextRequestIn + time.Second
	return response
}

// expireRequesters drops the entries that have not requested again when they could.
func (s *PermitSchedule) expireRequesters(now time.Duration) {
	for entry, until := range s.requesters {
		if now >= until {
			delete(s.requesters, entry)
		}
	}
}

// nextRequestIn returns the time after which an entry is to request again.
func (s *PermitSchedule) nextRequestIn(now time.Duration, grantRate float64, entry string) time.Duration {
	others := float64(len(s.requesters))
	if _, counted := s.requesters[entry]; counted {
		others--
	}
	// Multiples of the golden ratio spread the entries evenly over the time.
	s.requestCount++
	_, fraction := math.Modf(float64(s.requestCount) * math.Phi)
	spread := time.Duration((0.5 + fraction) * others / (requestersPerPermit * grantRate) * float64(time.Second))
	return max(minRequestInterval, s.nextPermitAt-now-grantHorizon, spread)
}

// Idle reports whether no permits have been requested for idleTimeout.
func (s *PermitSchedule) Idle(now time.Duration) bool { return now-s.lastRequestAt >= idleTimeout }
