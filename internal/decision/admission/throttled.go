package admission

import (
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
	"goldcrestseam.dev/goldcrestseam/internal/decision/queue"
	"goldcrestseam.dev/goldcrestseam/internal/declaration"
	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
	"goldcrestseam.dev/goldcrestseam/internal/outcome"
)

const (
	// closedSpread is the part of the time until they may come back by which callers that were
	// refused together are spread.
	closedSpread = 0.25
	// boundedPrior is how many seconds of measurement an entry's equal part of what servers
	// take counts as: demand is uneven, and the part that it gets shows soon.
	boundedPrior = 0.5
	// maxPlace bounds the time of one place in what callers are told.
	maxPlace = 2 * time.Second
)

// bounded sums up the servers that can run a work where all of them take less than they have
// places for.
type bounded struct {
	servers int
	// rate is how many requests a second they take from all entries.
	rate float64
	// opensIn is how long the first of them takes nothing.
	opensIn time.Duration
}

// boundedFor adds them up; none where a server takes any work. Engines that only read prompts
// run none by themselves: work waits for those that decode.
func boundedFor(w *decision.Work, fleet *decision.Fleet) bounded {
	var b bounded
	for i := range fleet.Servers {
		s := &fleet.Servers[i]
		switch {
		case !s.ServesNowOrLater(w), s.Role == engineapi.RolePrefill:
		case s.RateLimit == 0 && s.Usable:
			return bounded{}
		default:
			if b.servers == 0 || s.AvailableIn < b.opensIn {
				b.opensIn = s.AvailableIn
			}
			b.servers++
			b.rate += s.RateLimit
		}
	}
	return b
}

// startBy is until when work that finds its servers closed may wait to be sent: long work
// until it can't be finished, other work while it can be on time. More that waits on would be
// late, and make what comes next late.
func startBy(w *decision.Work) time.Duration {
	by := w.FinishBy
	if w.Class != declaration.ClassBulk {
		by = min(by, w.FirstTokenBy)
	}
	if rate := w.EngineSpeed.PrefillRate; rate > 0 {
		by -= seconds(float64(w.PromptTokens) / rate)
	}
	return by
}

// ThrottledPastDeadline tells whether all servers of work that waits are closed until it is too late,
// and when it may come back.
func ThrottledPastDeadline(now time.Duration, w *decision.Work, fleet *decision.Fleet) (retryAfter time.Duration, closed bool) {
	b := boundedFor(w, fleet)
	if b.servers == 0 || now+b.opensIn <= startBy(w) {
		return 0, false
	}
	return comeBack(w, b.opensIn+b.place()), true
}

// judge decides on work whose servers all take less than they have places for.
//
// It answers a service in need. What its servers take goes to the work that comes first by
// rank and can be on time; all else is refused as it comes, with when the next place is to be
// had.
func (b *bounded) judge(now time.Duration, w *decision.Work, entries int, queued *queue.Summary) Verdict {
	wait := b.wait(now, w, float64(max(1, entries)), queued)
	figures := []decision.Figure{
		{Name: "wait_seconds", Value: wait.Seconds()}, {Name: "opens_in_seconds", Value: b.opensIn.Seconds()},
		{Name: "servers_rate", Value: b.rate},
	}
	if now+wait <= startBy(w) {
		return Verdict{Admit: true, Wait: wait, Reason: "its servers take it in time", Figures: figures}
	}
	v := refuse(outcome.CodeDeadline, comeBack(w, max(wait, b.place())), "its servers take no more work until it is too late", figures)
	v.Wait = wait
	return v
}

// wait is how long the work waits behind what waits already.
func (b *bounded) wait(now time.Duration, w *decision.Work, entries float64, queued *queue.Summary) time.Duration {
	ahead := queued.Get(queue.PoolKey(w))
	if ahead.Requests == 0 || b.rate == 0 {
		return b.opensIn
	}
	cost, secs := queued.PoolThroughput(now, w)
	each := ahead.Cost() / float64(ahead.Requests)
	if w.Kind == declaration.KindPlain {
		each = decision.PlainCallCost
	}
	return max(b.opensIn, waitBehind(float64(ahead.Requests), cost/max(1, each), secs, b.rate/entries, boundedPrior))
}

// place is how long the next place takes once the servers are open.
func (b *bounded) place() time.Duration {
	if b.rate == 0 {
		return 0
	}
	return min(seconds(1/b.rate), maxPlace)
}

// comeBack is when work may come back that is refused for so long a wait.
func comeBack(w *decision.Work, wait time.Duration) time.Duration {
	return wait + time.Duration(closedSpread*spread(w.RequestID)*float64(wait))
}
