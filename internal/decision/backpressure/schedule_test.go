package backpressure

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// The rule of a server in need: in any 4 s one and a half times its limit, and 5 more.
const (
	ruleWindow = 4 * time.Second
	ruleFactor = 1.5
	ruleExtra  = 5
	// leastShare is the part of what it takes that a server is to get at least.
	leastShare = 0.8
)

// way decides which entry may send to the one server when; each is told of the limit.
type way interface {
	// step lets a millisecond pass; waiting tells how many requests wait at an entry.
	step(now time.Duration, waiting func(entry int) int)
	// take tells whether the entry may send one request now, and counts it.
	take(now time.Duration, entry int) bool
}

// shares gives some entries equal parts of the limit; one permit may be held.
type shares struct {
	rate   float64
	holder []bool
	next   []time.Duration
}

func newShares(entries, holders int, rate float64) *shares {
	s := &shares{rate: rate / float64(holders), holder: make([]bool, entries), next: make([]time.Duration, entries)}
	for i := range holders {
		s.holder[i*entries/holders] = true
	}
	return s
}

func (s *shares) step(time.Duration, func(int) int) {}

func (s *shares) take(now time.Duration, entry int) bool {
	if !s.holder[entry] || now < s.next[entry] {
		return false
	}
	s.next[entry] = now + time.Duration(float64(time.Second)/s.rate)
	return true
}

// asked lets entries ask one of them; another one takes over at a change, which some of them
// learn late.
type asked struct {
	rate      float64
	schedules [2]PermitSchedule
	limits    []RateLimit
	answers   []answerUnderWay
	// changeAt is when the second schedule takes over, changeOver until when all know.
	changeAt, changeOver time.Duration
	questions            int
}

type answerUnderWay struct {
	at    time.Duration
	entry int
	GrantResponse
}

// oneWay is how long a question or an answer takes.
const oneWay = 2 * time.Millisecond

func newAsked(entries int, rate float64) *asked {
	a := &asked{rate: rate, limits: make([]RateLimit, entries), changeAt: 10 * time.Second, changeOver: 11 * time.Second}
	for i := range a.limits {
		a.limits[i].Update(0, 0, rate)
	}
	return a
}

func (a *asked) keeper(now time.Duration, entry int) *PermitSchedule {
	late := now < a.changeOver && entry%3 == 0
	if now < a.changeAt || late {
		return &a.schedules[0]
	}
	return &a.schedules[1]
}

func (a *asked) step(now time.Duration, waiting func(int) int) {
	for len(a.answers) > 0 && a.answers[0].at <= now {
		under := a.answers[0]
		a.answers = a.answers[1:]
		a.limits[under.entry].ApplyGrant(now, under.Delays, under.NextRequestIn)
	}
	for i := range a.limits {
		n := waiting(i)
		if n == 0 || !a.limits[i].ShouldRequest(now) {
			continue
		}
		a.questions++
		a.limits[i].MarkRequested()
		answer := a.keeper(now, i).Grant(now, GrantRequest{Entry: fmt.Sprint("entry-", i), Rate: a.rate, Wanted: min(n, 4)})
		a.answers = append(a.answers, answerUnderWay{now + 2*oneWay, i, answer})
	}
}

func (a *asked) take(now time.Duration, entry int) bool { return a.limits[entry].TrySend(now) }

// played is what came of a way.
type played struct {
	// most is what the server got in the worst window, perSecond what it got on average.
	most      int
	perSecond float64
}

const (
	playFor = 30 * time.Second
	// waits is how long a request may wait.
	waits = 300 * time.Millisecond
)

// play offers the server's only service so many requests a second. Uneven demand comes to a
// tenth of the entries for nine requests of ten.
func play(w way, entries int, demand float64, uneven bool) played {
	rng := rand.New(rand.NewPCG(1, uint64(entries)))
	queues := make([][]time.Duration, entries)
	var sent []time.Duration
	for now := time.Duration(0); now < playFor; now += time.Millisecond {
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
		w.step(now, func(i int) int { return len(queues[i]) })
		for i := range queues {
			for len(queues[i]) > 0 && now-queues[i][0] > waits {
				queues[i] = queues[i][1:]
			}
			for len(queues[i]) > 0 && w.take(now, i) {
				queues[i] = queues[i][1:]
				sent = append(sent, now)
			}
		}
	}
	p := played{perSecond: float64(len(sent)) / playFor.Seconds()}
	first := 0
	for last := range sent {
		for sent[last]-sent[first] >= ruleWindow {
			first++
		}
		p.most = max(p.most, last-first+1)
	}
	return p
}

// Guards against a server in need that gets more than it takes from all entries together, or
// is left idle while requests for it are refused.
func TestWaysToKeepALimitOverAllEntries(t *testing.T) {
	for _, entries := range []int{1, 9, 75, 191, 330} {
		for _, rate := range []float64{0.5, 8.6, 60} {
			for _, demand := range []float64{rate / 2, 4 * rate} {
				for _, uneven := range []bool{false, true} {
					few := min(entries, max(1, int(rate)))
					equal := play(newShares(entries, entries, rate), entries, demand, uneven)
					chosen := play(newShares(entries, few, rate), entries, demand, uneven)
					ask := newAsked(entries, rate)
					got := play(ask, entries, demand, uneven)
					allowed := int(ruleFactor*rate*ruleWindow.Seconds()) + ruleExtra
					name := fmt.Sprintf("%d entries, limit %g, demand %g, uneven %v", entries, rate, demand, uneven)
					t.Logf("%s (allowed %d): equal %d, %.2f/s; chosen %d, %.2f/s; asked %d, %.2f/s, %.1f questions/s", name, allowed,
						equal.most, equal.perSecond, chosen.most, chosen.perSecond, got.most, got.perSecond, float64(ask.questions)/playFor.Seconds())
					if got.most > allowed {
						t.Errorf("%s: the server got %d in 4 s, at most %d", name, got.most, allowed)
					}
					takes := min(rate, demand)
					if enough := takes*playFor.Seconds() >= 100; enough && got.perSecond < leastShare*takes {
						t.Errorf("%s: the server got %.2f a second, and takes %g", name, got.perSecond, takes)
					}
				}
			}
		}
	}
}
