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

// Schedule gives out the permits for one life of a server; one entry keeps it for all.
//
// It answers a server in need before many entries with uneven demand: shares of the limit
// would leave it idle for those that have little and keep it from those that have much, and
// are nothing at all where there are more entries than requests a second. Permits follow each
// other at the pace of the limit, whoever asks; those that get none come back spread over
// the time in which all that have asked lately can get one, so that questions grow with the
// limit and not with the number of entries.
type Schedule struct {
	rate   float64
	wordAt time.Duration
	// next is when the next permit may be used, began when the schedule did, used when it was
	// last asked.
	next, began, used time.Duration
	// askers are the entries that have asked lately, until when they count.
	askers map[string]time.Duration
	turn   int
}

// Ask is a question for permits.
type Ask struct {
	Entry string
	// Rate is the limit as the entry knows it, from a word that came at WordAt.
	Rate   float64
	WordAt time.Duration
	Wanted int
}

// Answer gives permits: how long from now each may be used, and when to ask again.
type Answer struct {
	In    []time.Duration
	Again time.Duration
}

// Grant answers a question.
func (s *Schedule) Grant(now time.Duration, ask Ask) Answer {
	if s.askers == nil || s.Idle(now) {
		*s = Schedule{next: now, began: now, askers: make(map[string]time.Duration)}
	}
	s.used = now
	if s.rate == 0 || ask.WordAt >= s.wordAt {
		s.rate, s.wordAt = ask.Rate, ask.WordAt
	}
	pace := s.rate
	if now-s.began < beginFor {
		pace /= 2
	}
	s.count(now)
	var a Answer
	for range ask.Wanted {
		slot := max(s.next, now)
		if slot-now > ahead {
			break
		}
		a.In = append(a.In, slot-now)
		s.next = slot + time.Duration(float64(time.Second)/pace)
	}
	a.Again = s.again(now, pace, ask.Entry)
	s.askers[ask.Entry] = now + a.Again + time.Second
	return a
}

// count forgets the entries that have not asked again when they could.
func (s *Schedule) count(now time.Duration) {
	for entry, until := range s.askers {
		if now >= until {
			delete(s.askers, entry)
		}
	}
}

// again is when an entry is to ask next.
func (s *Schedule) again(now time.Duration, pace float64, entry string) time.Duration {
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
func (s *Schedule) Idle(now time.Duration) bool { return now-s.used >= forgetAfter }
