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
	// throttledRetrySpread spreads the retries of callers that are refused together, as a
	// fraction of their Retry-After time.
	throttledRetrySpread = 0.25
	// throttledPriorSeconds is the weight, in seconds of measurement, of the assumption that
	// every entry gets an equal part of the servers' rate limits. Demand is uneven, and the
	// part that an entry really gets shows soon.
	throttledPriorSeconds = 0.5
	// maxRequestInterval bounds what the interval between requests adds to a Retry-After time.
	maxRequestInterval = 2 * time.Second
)

// throttledServers sums up the servers that can run a request if each of them has a rate
// limit or has asked for back-off.
type throttledServers struct {
	servers int
	// rate is the number of requests per second that they accept from all entries together.
	rate float64
	// availableIn is the time until the first of them accepts a request.
	availableIn time.Duration
}

// throttledServersFor sums up the servers for a request. The result is empty if one of them is
// not throttled. Engines in the prefill role are left out: a request also needs one that
// decodes.
func throttledServersFor(w *decision.Work, fleet *decision.Fleet) throttledServers {
	var sum throttledServers
	for i := range fleet.Servers {
		s := &fleet.Servers[i]
		switch {
		case !s.ServesNowOrLater(w), s.Role == engineapi.RolePrefill:
		case s.RateLimit == 0 && s.Usable:
			return throttledServers{}
		default:
			if sum.servers == 0 || s.AvailableIn < sum.availableIn {
				sum.availableIn = s.AvailableIn
			}
			sum.servers++
			sum.rate += s.RateLimit
		}
	}
	return sum
}

// latestStart returns until when a request whose servers are throttled may wait to be sent:
// a bulk request until it can't finish in time, any other while its first token can still be
// in time. If more requests waited on, they would be late and would delay the ones behind
// them.
func latestStart(w *decision.Work) time.Duration {
	latest := w.FinishBy
	if w.Class != declaration.ClassBulk {
		latest = min(latest, w.FirstTokenBy)
	}
	if rate := w.EngineSpeed.PrefillRate; rate > 0 {
		latest -= seconds(float64(w.PromptTokens) / rate)
	}
	return latest
}

// ThrottledPastDeadline reports whether all servers of a waiting request are throttled for
// longer than the request can wait, and when its caller should retry.
func ThrottledPastDeadline(now time.Duration, w *decision.Work, fleet *decision.Fleet) (retryAfter time.Duration, throttled bool) {
	servers := throttledServersFor(w, fleet)
	if servers.servers == 0 || now+servers.availableIn <= latestStart(w) {
		return 0, false
	}
	return throttledRetryAfter(w, servers.availableIn+servers.requestInterval()), true
}

// admit decides on a request whose servers are all throttled.
//
// It protects overloaded servers. What they accept goes to the requests that come first by
// rank and can be in time; every other request is refused on arrival, with the time at which
// the servers accept the next one.
func (t *throttledServers) admit(now time.Duration, w *decision.Work, entries int, queued *queue.Summary) Verdict {
	wait := t.wait(now, w, float64(max(1, entries)), queued)
	figures := []decision.Figure{
		{Name: "wait_seconds", Value: wait.Seconds()}, {Name: "opens_in_seconds", Value: t.availableIn.Seconds()},
		{Name: "servers_rate", Value: t.rate},
	}
	if now+wait <= latestStart(w) {
		return Verdict{Admit: true, Wait: wait, Reason: "its servers accept it in time", Figures: figures}
	}
	v := refuse(outcome.CodeDeadline, throttledRetryAfter(w, max(wait, t.requestInterval())), "its servers take no more work until it is too late", figures)
	v.Wait = wait
	return v
}

// wait estimates how long the request waits behind those in the queue.
func (t *throttledServers) wait(now time.Duration, w *decision.Work, entries float64, queued *queue.Summary) time.Duration {
	ahead := queued.Get(queue.PoolKey(w))
	if ahead.Requests == 0 || t.rate == 0 {
		return t.availableIn
	}
	cost, secs := queued.PoolThroughput(now, w)
	meanCost := ahead.Cost() / float64(ahead.Requests)
	if w.Kind == declaration.KindPlain {
		meanCost = decision.PlainCallCost
	}
	return max(t.availableIn, waitBehind(float64(ahead.Requests), cost/max(1, meanCost), secs, t.rate/entries, throttledPriorSeconds))
}

// requestInterval returns the time between two requests that the servers accept, at most
// maxRequestInterval.
func (t *throttledServers) requestInterval() time.Duration {
	if t.rate == 0 {
		return 0
	}
	return min(seconds(1/t.rate), maxRequestInterval)
}

// throttledRetryAfter returns the Retry-After time of a request that would wait that long.
func throttledRetryAfter(w *decision.Work, wait time.Duration) time.Duration {
	return wait + time.Duration(throttledRetrySpread*spreadFraction(w.RequestID)*float64(wait))
}
