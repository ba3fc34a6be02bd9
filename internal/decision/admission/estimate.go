package admission

import (
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
	"goldcrestseam.dev/goldcrestseam/internal/decision/queue"
	"goldcrestseam.dev/goldcrestseam/internal/declaration"
)

// estimate is what a request has to expect.
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

// tokenTime is one token of a stream on a full engine (internal/enginemodel:
// 36 ms for 32 streams). On mixed engines prefill slows it down to about twice
// that; refusing on that would refuse work that mostly is in time.
const tokenTime = 36 * time.Millisecond

func (c *Controller) estimate(now time.Duration, w *decision.Work, fleet *decision.Fleet, s *supply, queued *queue.Summary) estimate {
	share, over := c.members.share(now, w)
	e := estimate{share: share, overShare: over}
	x := query{
		now: now, work: w, supply: s, queued: queued, share: share,
		entries: float64(max(1, fleet.Entries)), othersRate: c.members.othersRate(now, w),
	}
	if w.Kind == declaration.KindPlain {
		e.wait = x.plainWait()
		return e
	}
	e.wait = serverWait(w, s) + x.queueWait()
	e.prefill = seconds(float64(w.PromptTokens) / max(1, s.bestPrefill))
	e.decode = time.Duration(w.OutputTokens) * tokenTime
	switch {
	case w.OutputUncertain:
		e.decode = 0
	case w.EngineSpeed.TokenTime > 0:
		e.decode = time.Duration(w.OutputTokens) * w.EngineSpeed.TokenTime
	}
	return e
}

// query is all that the wait of one work is estimated from.
type query struct {
	now     time.Duration
	work    *decision.Work
	supply  *supply
	queued  *queue.Summary
	entries float64
	// share is the member's fair part of its profile, othersRate the cost per
	// second that the other members were let in with lately.
	share, othersRate float64
}

// plainWait is the wait for a server of a plain service.
//
// It answers the load of a service that has lost most of its servers. Calls leave the queue
// at the rate at which they were seen to while some always waited; the places that are left
// and the usual time of a call promise too much where other entries and slow servers take
// their part. A call that can't be served is refused as it comes and its caller keeps its
// time to come back: where calls take 60 ms, refused ones were kept for 728 ms of 800, now
// for 13 ms, and as many are served (virtual time, twice the load that two places can take).
func (x *query) plainWait() time.Duration {
	ahead := float64(x.queued.Get(queue.PoolKey(x.work)).Requests)
	if ahead == 0 {
		return 0
	}
	usual := float64(x.supply.slots) / decision.PlainCallTime.Seconds() / x.entries
	cost, secs := x.queued.PoolThroughput(x.now, x.work)
	return waitBehind(ahead, cost/decision.PlainCallCost, secs, usual, plainPrior)
}

// waitBehind is the wait behind so many requests where done of them have left the queue in secs
// seconds; the usual rate counts as prior seconds of that.
func waitBehind(ahead, done, secs, usual, prior float64) time.Duration {
	rate := (done + prior*usual) / (secs + prior)
	return seconds((ahead + 1) / max(tiny, rate))
}

// plainPrior is how many seconds of measurement the usual rate of a plain service counts
// as: ten calls, so that a service that has lost most of its servers shows within a second.
const plainPrior = 0.2

// load is tokens that wait.
type load struct{ prefill, decode float64 }

func (l load) cost() float64 { return l.prefill + decision.OutputTokenCost*l.decode }

// ownAhead is what of its profile is served before the work: under fair
// queueing the lesser of all that waits and of its member's own work over the
// member's share.
func ownAhead(mine, profile queue.Totals, share float64) load {
	return load{
		min(float64(mine.PrefillTokens)/share, float64(profile.PrefillTokens)),
		min(float64(mine.DecodeTokens)/share, float64(profile.DecodeTokens)),
	}
}

// others is what of the other profiles is served meanwhile: all of it before
// bulk work, at worst as much as its own before urgent work.
func others(w *decision.Work, own load, profile, all queue.Totals) load {
	rest := load{
		float64(all.PrefillTokens - profile.PrefillTokens),
		float64(all.DecodeTokens - profile.DecodeTokens),
	}
	if w.Class == declaration.ClassBulk {
		return rest
	}
	return load{min(rest.prefill, own.prefill), min(rest.decode, own.decode)}
}

// serverWait is the wait behind the prefill that servers have already, for urgent
// work behind that of other urgent work only: engines prefill by priority. A
// part of the whole backlog in its place refused questions for dossiers that
// they pass (docs/design/admission.md).
func serverWait(w *decision.Work, s *supply) time.Duration {
	backlog := s.prefillTokens
	if w.Class != declaration.ClassBulk {
		backlog = s.urgentTokens
	}
	return seconds(backlog / max(1, s.prefillRate))
}

// queueWait is the wait in this entry's queue: the member's own work over the part
// of the profile's rate that is left to it.
//
// Under fair queueing others' work that comes later goes before a heavy member's,
// so what is ahead of it now over the whole rate is too little: it let in 231
// dossiers of a trace at twice the capacity that were late. Its bare share is too
// much in a burst, when the others ask for less than theirs. So the others count
// with what they were let in lately.
func (x *query) queueWait() time.Duration {
	key := queue.KeyOf(x.work)
	mine := x.queued.Get(key)
	key.Member = ""
	profile := x.queued.Get(key)
	cost, secs := x.queued.Throughput(x.now, key)
	key.Profile = ""
	all := x.queued.Get(key)

	own := ownAhead(mine, profile, x.share)
	work := x.supply.workTime(own, others(x.work, own, profile, all), x.entries)
	if mine.Requests == 0 {
		return seconds(caution * work)
	}
	rate := own.cost() / max(tiny, work)
	rate = (cost + priorTime*rate) / (secs + priorTime)
	left := max(1, x.share*rate, rate-x.othersRate)
	return seconds(caution * mine.Cost() / left)
}

// priorTime is how many seconds of measurement the servers' own rates count as in
// the rate at which the queue is drained. Without them, an entry whose queue has
// only just begun to wait and has had no turn yet refuses everything.
const priorTime = 20

// tiny keeps quotients finite.
const tiny = 1e-3

// workTime is the seconds that the servers take for it by their own rates; every
// entry has its part of them.
func (s *supply) workTime(own, rest load, entries float64) float64 {
	prefill := (own.prefill + rest.prefill) * entries / max(1, s.prefillRate)
	decode := (own.decode + rest.decode) * entries / max(1, s.decodeRate)
	return max(prefill, decode)
}

// caution lengthens the estimate: dossiers differ by half in size, and one that
// is let in and then late costs more than one refused at once.
const caution = 1.35

func seconds(v float64) time.Duration { return time.Duration(v * float64(time.Second)) }
