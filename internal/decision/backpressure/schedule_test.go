package backpressure

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// The bound on what an overloaded server may get: in any 4 s, one and a half times its
// limit, plus 5.
const (
	boundWindow = 4 * time.Second
	boundFactor = 1.5
	boundExtra  = 5
	// minUtilization is the fraction of what it accepts that a server must get at least.
	minUtilization = 0.8
)

// strategy decides when each entry may send to the one server; every entry knows the limit.
type strategy interface {
	// step advances the time by a millisecond; waiting returns the number of requests that
	// wait at an entry.
	step(now time.Duration, waiting func(entry int) int)
	// trySend reports whether the entry may send one request now, and counts it.
	trySend(now time.Duration, entry int) bool
}

// fixedShares gives some entries equal parts of the limit; each can hold one permit.
type fixedShares struct {
	rate       float64
	hasShare   []bool
	nextSendAt []time.Duration
}

func newFixedShares(entries, holders int, rate float64) *fixedShares {
	s := &fixedShares{rate: rate / float64(holders), hasShare: make([]bool, entries), nextSendAt: make([]time.Duration, entries)}
	for i := range holders {
		s.hasShare[i*entries/holders] = true
	}
	return s
}

func (s *fixedShares) step(time.Duration, func(int) int) {}

func (s *fixedShares) trySend(now time.Duration, entry int) bool {
	if !s.hasShare[entry] || now < s.nextSendAt[entry] {
		return false
	}
	s.nextSendAt[entry] = now + time.Duration(float64(time.Second)/s.rate)
	return true
}

// sharedSchedule lets entries request permits from one of them. At a handover another entry
// takes over, which some entries learn late.
type sharedSchedule struct {
	rate      float64
	schedules [2]PermitSchedule
	limits    []RateLimit
	responses []pendingResponse
	// handoverAt is when the second schedule takes over, handoverEnd when all entries know.
	handoverAt, handoverEnd time.Duration
	requests                int
}

type pendingResponse struct {
	arrivesAt time.Duration
	entry     int
	GrantResponse
}

// oneWayDelay is the network delay of a request or a response.
const oneWayDelay = 2 * time.Millisecond

func newSharedSchedule(entries int, rate float64) *sharedSchedule {
	s := &sharedSchedule{rate: rate, limits: make([]RateLimit, entries), handoverAt: 10 * time.Second, handoverEnd: 11 * time.Second}
	for i := range s.limits {
		s.limits[i].Update(0, 0, rate)
	}
	return s
}

func (s *sharedSchedule) scheduleFor(now time.Duration, entry int) *PermitSchedule {
	late := now < s.handoverEnd && entry%3 == 0
	if now < s.handoverAt || late {
		return &s.schedules[0]
	}
	return &s.schedules[1]
}

func (s *sharedSchedule) step(now time.Duration, waiting func(int) int) {
	for len(s.responses) > 0 && s.responses[0].arrivesAt <= now {
		pending := s.responses[0]
		s.responses = s.responses[1:]
		s.limits[pending.entry].ApplyGrant(now, pending.Delays, pending.NextRequestIn)
	}
	for i := range s.limits {
		queued := waiting(i)
		if queued == 0 || !s.limits[i].ShouldRequest(now) {
			continue
		}
		s.requests++
		s.limits[i].MarkRequested()
		response := s.scheduleFor(now, i).Grant(now, GrantRequest{Entry: fmt.Sprint("entry-", i), Rate: s.rate, Wanted: min(queued, 4)})
		s.responses = append(s.responses, pendingResponse{now + 2*oneWayDelay, i, response})
	}
}

func (s *sharedSchedule) trySend(now time.Duration, entry int) bool {
	return s.limits[entry].TrySend(now)
}

// result is the outcome of one simulation.
type result struct {
	// worstWindow is the most requests that the server gets in any window, perSecond its
	// average.
	worstWindow int
	perSecond   float64
}

const (
	simulatedTime = 30 * time.Second
	// maxWait is how long a request may wait.
	maxWait = 300 * time.Millisecond
)

// simulate offers demand requests per second to the server. With uneven demand, a tenth of
// the entries gets nine requests of ten.
func simulate(s strategy, entries int, demand float64, uneven bool) result {
	rng := rand.New(rand.NewPCG(1, uint64(entries)))
	queues := make([][]time.Duration, entries)
	var sent []time.Duration
	for now := time.Duration(0); now < simulatedTime; now += time.Millisecond {
		for rng.Float64() < demand/1000 {
			entry := rng.IntN(entries)
			if busy := max(1, entries/10); uneven && rng.Float64() < 0.9 {
				entry = rng.IntN(busy)
			}
			queues[entry] = append(queues[entry], now)
			if demand < 1000 {
				break
			}
		}
		s.step(now, func(i int) int { return len(queues[i]) })
		for i := range queues {
			for len(queues[i]) > 0 && now-queues[i][0] > maxWait {
				queues[i] = queues[i][1:]
			}
			for len(queues[i]) > 0 && s.trySend(now, i) {
				queues[i] = queues[i][1:]
				sent = append(sent, now)
			}
		}
	}
	r := result{perSecond: float64(len(sent)) / simulatedTime.Seconds()}
	first := 0
	for last := range sent {
		for sent[last]-sent[first] >= boundWindow {
			first++
		}
		r.worstWindow = max(r.worstWindow, last-first+1)
	}
	return r
}

// An overloaded server must not get more from all entries together than it accepts, nor be
// left idle while requests for it are refused.
func TestRateLimitHoldsOverAllEntries(t *testing.T) {
	for _, entries := range []int{1, 9, 75, 191, 330} {
		for _, rate := range []float64{0.5, 8.6, 60} {
			for _, demand := range []float64{rate / 2, 4 * rate} {
				for _, uneven := range []bool{false, true} {
					shareCount := min(entries, max(1, int(rate)))
					equalShares := simulate(newFixedShares(entries, entries, rate), entries, demand, uneven)
					fewShares := simulate(newFixedShares(entries, shareCount, rate), entries, demand, uneven)
					schedule := newSharedSchedule(entries, rate)
					got := simulate(schedule, entries, demand, uneven)
					allowed := int(boundFactor*rate*boundWindow.Seconds()) + boundExtra
					name := fmt.Sprintf("%d entries, limit %g, demand %g, uneven %v", entries, rate, demand, uneven)
					t.Logf("%s (allowed %d): equal shares %d, %.2f/s; few shares %d, %.2f/s; schedule %d, %.2f/s, %.1f permit requests/s", name, allowed,
						equalShares.worstWindow, equalShares.perSecond, fewShares.worstWindow, fewShares.perSecond, got.worstWindow, got.perSecond, float64(schedule.requests)/simulatedTime.Seconds())
					if got.worstWindow > allowed {
						t.Errorf("%s: the server got %d requests in 4 s, want %d at most", name, got.worstWindow, allowed)
					}
					accepted := min(rate, demand)
					if enough := accepted*simulatedTime.Seconds() >= 100; enough && got.perSecond < minUtilization*accepted {
						t.Errorf("%s: the server got %.2f requests per second and accepts %g", name, got.perSecond, accepted)
					}
				}
			}
		}
	}
}
