package backpressure

import (
	"math"
	"time"
)

const (
	// ahead is how far ahead of its time a permit is given: long enough that no time passes
	// unused between two questions, short enough that urgent work may wait for it.
	ahead = 250 * time.Millisecond
	// beginFor is how long a schedule that begins runs at half of the limit: another entry
	// may have kept it until now, and some may still ask that one.
	beginFor = 2 * time.Second
	// forgetAfter is how long a schedule stands that nobody asks.
	forgetAfter = 10 * time.Second
	// askAgainLeast bounds how soon an entry is to ask again.
	askAgainLeast = 20 * time.Millisecond
	// askersPerPermit is how many entries are to ask for each permit: with one alone a permit
	// goes unused whenever that entry has nothing to send.
	askersPerPermit = 2.0
)

// PermitSchedule gives out the permits for one life of a server; one entry keeps it for all.
//
// It answers a server in need before many entries with uneven demand: shares of the limit
// would leave it idle for those that have little and keep it from those that have much, and
// are nothing at all where there are more entries than requests a second. Permits follow each
// other at the pace of the limit, whoever asks; those that get none come back spread over
// the time in which all that have asked lately can get one, so that questions grow with the
// limit and not with the number of entries.
type PermitSchedule struct {
	rate   float64
	wordAt time.Duration
	// next is when the next permit may be used, began when the schedule did, used when it was
	// last asked.
	next, began, used time.Duration
	// askers are the entries that have asked lately, until when they count.
	askers map[string]time.Duration
	turn   int
}

// GrantRequest is a question for permits.
type GrantRequest struct {
	Entry string
	// Rate is the limit as the entry knows it, from a word that came at SignalAt.
	Rate     float64
	SignalAt time.Duration
	Wanted   int
}

// GrantResponse gives permits: how long from now each may be used, and when to ask again.
type GrantResponse struct {
	Delays        []time.Duration
	NextRequestIn time.Duration
}

// Grant answers a question.
func (s *PermitSchedule) Grant(now time.Duration, ask GrantRequest) GrantResponse {
	if s.askers == nil || s.Idle(now) {
		*s = PermitSchedule{next: now, began: now, askers: make(map[string]time.Duration)}
	}
	s.used = now
	if s.rate == 0 || ask.SignalAt >= s.wordAt {
		s.rate, s.wordAt = ask.Rate, ask.SignalAt
	}
	pace := s.rate
	if now-s.began < beginFor {
		pace /= 2
	}
	s.count(now)
	var a GrantResponse
	for range ask.Wanted {
		slot := max(s.next, now)
		if slot-now > ahead {
			break
		}
		a.Delays = append(a.Delays, slot-now)
		s.next = slot + time.Duration(float64(time.Second)/pace)
	}
	a.NextRequestIn = s.again(now, pace, ask.Entry)
	s.askers[ask.Entry] = now + a.NextRequestIn + time.Second
	return a
}

// count forgets the entries that have not asked again when they could.
func (s *PermitSchedule) count(now time.Duration) {
	for entry, until := range s.askers {
		if now >= until {
			delete(s.askers, entry)
		}
	}
}

// again is when an entry is to ask next.
func (s *PermitSchedule) again(now time.Duration, pace float64, entry string) time.Duration {
	others := float64(len(s.askers))
	if _, counted := s.askers[entry]; counted {
		others--
	}
	s.turn++
	_, part := math.Modf(float64(s.turn) * math.Phi)
	spread := time.Duration((0.5 + part) * others / (askersPerPermit * pace) * float64(time.Second))
	return max(askAgainLeast, s.next-now-ahead, spread)
}

// Idle tells whether nobody has asked for a while.
func (s *PermitSchedule) Idle(now time.Duration) bool { return now-s.used >= forgetAfter }
