package admission

import (
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
	"goldcrestseam.dev/goldcrestseam/internal/decision/queue"
	"goldcrestseam.dev/goldcrestseam/internal/declaration"
)

// estimate is the expected timing of a request.
type estimate struct {
	wait      time.Duration // until a server starts on it
	prefill   time.Duration // its own prefill
	decode    time.Duration // its own decode
	overShare bool
	share     float64
}

func (e *estimate) figures() []decision.Figure {
	return []decision.Figure{
		{Name: "wait_seconds", Value: e.wait.Seconds()},
		{Name: "prefill_seconds", Value: e.prefill.Seconds()},
		{Name: "decode_seconds", Value: e.decode.Seconds()},
		{Name: "member_share", Value: e.share},
	}
}

// fullEngineTokenTime is the time per output token on a full engine (internal/enginemodel:
// 36 ms with 32 streams). On mixed engines prefill about doubles it; using that would refuse
// requests that mostly finish in time.
const fullEngineTokenTime = 36 * time.Millisecond

func (c *Controller) estimate(now time.Duration, w *decision.Work, fleet *decision.Fleet, s *serverCapacity, queued *queue.Summary) estimate {
	share, over := c.usage.share(now, w)
	e := estimate{share: share, overShare: over}
	q := waitQuery{
		now: now, work: w, capacity: s, queued: queued, share: share,
		entries: float64(max(1, fleet.Entries)), othersRate: c.usage.othersRate(now, w),
	}
	if w.Kind == declaration.KindPlain {
		e.wait = q.plainWait()
		return e
	}
	e.wait = serverWait(w, s) + q.queueWait()
	e.prefill = seconds(float64(w.PromptTokens) / max(1, s.maxPrefillRate))
	e.decode = time.Duration(w.OutputTokens) * fullEngineTokenTime
	switch {
	case w.OutputUncertain:
		e.decode = 0
	case w.EngineSpeed.TokenTime > 0:
		e.decode = time.Duration(w.OutputTokens) * w.EngineSpeed.TokenTime
	}
	return e
}

// waitQuery holds the inputs for the estimated wait of one request.
type waitQuery struct {
	now      time.Duration
	work     *decision.Work
	capacity *serverCapacity
	queued   *queue.Summary
	entries  float64
	// share is the member's fair share of its profile, othersRate the cost per second of the
	// other members' recently admitted requests.
	share, othersRate float64
}

// plainWait estimates the wait for a server of a plain service.
//
// It handles a service that has lost most of its servers. The rate is the one at which calls
// leave the queue while some always wait; the remaining slots and the average duration of a
// call overestimate it where other entries and slow servers take their part. A call that
// can't be served is refused on arrival, so that its caller has time left to retry. With
// calls of 60 ms and twice the load that two slots can take, refused callers lose 13 ms
// instead of 728 ms of their 800 ms, and as many calls are served.
func (q *waitQuery) plainWait() time.Duration {
	ahead := float64(q.queued.Get(queue.PoolKey(q.work)).Requests)
	if ahead == 0 {
		return 0
	}
	expectedRate := float64(q.capacity.slots) / decision.PlainCallTime.Seconds() / q.entries
	cost, secs := q.queued.PoolThroughput(q.now, q.work)
	return waitBehind(ahead, cost/decision.PlainCallCost, secs, expectedRate, plainPriorSeconds)
}

// waitBehind returns the wait behind ahead requests if served requests left the queue in
// secs seconds. The expected rate weighs as much as priorSeconds seconds of measurement.
func waitBehind(ahead, served, secs, expectedRate, priorSeconds float64) time.Duration {
	rate := (served + priorSeconds*expectedRate) / (secs + priorSeconds)
	return seconds((ahead + 1) / max(epsilon, rate))
}

// plainPriorSeconds is the weight of the expected rate of a plain service, in seconds of
// measurement: about ten calls, so that the loss of most servers shows within a second.
const plainPriorSeconds = 0.2

// tokenLoad is a number of waiting tokens.
type tokenLoad struct{ prefill, decode float64 }

func (l tokenLoad) cost() float64 { return l.prefill + decision.OutputTokenCost*l.decode }

// ownAhead returns the part of the request's profile that is served before it. Under fair
// queueing that is the lesser of all that waits and of its member's own work divided by the
// member's share.
func ownAhead(member, profile queue.Totals, share float64) tokenLoad {
	return tokenLoad{
		min(float64(member.PrefillTokens)/share, float64(profile.PrefillTokens)),
		min(float64(member.DecodeTokens)/share, float64(profile.DecodeTokens)),
	}
}

// otherProfilesAhead returns the part of the other profiles that is served meanwhile: all of
// it before bulk work, at most as much as the request's own profile before other work.
func otherProfilesAhead(w *decision.Work, own tokenLoad, profile, all queue.Totals) tokenLoad {
	otherProfiles := tokenLoad{
		float64(all.PrefillTokens - profile.PrefillTokens),
		float64(all.DecodeTokens - profile.DecodeTokens),
	}
	if w.Class == declaration.ClassBulk {
		return otherProfiles
	}
	return tokenLoad{min(otherProfiles.prefill, own.prefill), min(otherProfiles.decode, own.decode)}
}

// serverWait returns the wait behind the prefill that servers already have. Engines prefill
// by priority, so an urgent request waits only behind other urgent ones; counting a part of
// the whole backlog would refuse urgent requests because of bulk work that they overtake
// (docs/design/admission.md).
func serverWait(w *decision.Work, s *serverCapacity) time.Duration {
	backlog := s.prefillTokens
	if w.Class != declaration.ClassBulk {
		backlog = s.urgentTokens
	}
	return seconds(backlog / max(1, s.prefillRate))
}

// queueWait estimates the wait in this entry's queue: the member's own work divided by the
// part of the profile's rate that is left to the member.
//
// Under fair queueing, later requests of others go before those of a heavy member. Dividing
// the work that is ahead now by the whole rate is therefore too optimistic: on a trace at
// twice the capacity it admits 231 bulk requests that are late. The member's bare share is
// too pessimistic in a burst in which the others ask for less than theirs. So the others
// count with the rate at which they were recently admitted.
func (q *waitQuery) queueWait() time.Duration {
	key := queue.KeyOf(q.work)
	member := q.queued.Get(key)
	key.Member = ""
	profile := q.queued.Get(key)
	cost, secs := q.queued.Throughput(q.now, key)
	key.Profile = ""
	all := q.queued.Get(key)

	own := ownAhead(member, profile, q.share)
	work := q.capacity.workTime(own, otherProfilesAhead(q.work, own, profile, all), q.entries)
	if member.Requests == 0 {
		return seconds(safetyFactor * work)
	}
	rate := own.cost() / max(epsilon, work)
	rate = (cost + throughputPriorSeconds*rate) / (secs + throughputPriorSeconds)
	left := max(1, q.share*rate, rate-q.othersRate)
	return seconds(safetyFactor * member.Cost() / left)
}

// throughputPriorSeconds is the weight of the servers' own rates in the queue's throughput,
// in seconds of measurement. Without it, an entry whose queue has only just formed and has
// not been served yet refuses everything.
const throughputPriorSeconds = 20

// epsilon avoids division by zero.
const epsilon = 1e-3

// workTime returns the seconds that the servers need for the load by their own rates, of
// which each entry has an equal part.
func (s *serverCapacity) workTime(own, otherProfiles tokenLoad, entries float64) float64 {
	prefill := (own.prefill + otherProfiles.prefill) * entries / max(1, s.prefillRate)
	decode := (own.decode + otherProfiles.decode) * entries / max(1, s.decodeRate)
	return max(prefill, decode)
}

// safetyFactor lengthens the estimate: bulk requests differ by half in size, and admitting
// one that is then late costs more than refusing one at once.
const safetyFactor = 1.35

func seconds(v float64) time.Duration { return time.Duration(v * float64(time.Second)) }
