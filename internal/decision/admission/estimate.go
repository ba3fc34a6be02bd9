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

// urgentAhead is the part of the servers' prefill backlog that an urgent
// request has to wait for: engines prefill by priority, so only other urgent
// work stands before it.
const urgentAhead = 0.1

// plainCall is how long a call of a plain service takes, for the wait in a
// queue before its servers.
const plainCall = 20 * time.Millisecond

func (c *Controller) estimate(now time.Duration, w *decision.Work, fleet *decision.Fleet, s *supply, queued *queue.Summary) estimate {
	entries := float64(max(1, fleet.Entries))
	key := queue.KeyOf(w)
	mine := queued.Get(key)
	key.Member = ""
	profile := queued.Get(key)
	key.Profile = ""
	all := queued.Get(key)
	share, over := c.members.share(now, w)
	e := estimate{share: share, overShare: over}
	if w.Kind == declaration.KindPlain {
		perServer := entries * float64(all.Requests) / float64(s.slots)
		e.wait = time.Duration(perServer * float64(plainCall))
		return e
	}
	ahead := aheadOf(w, mine, profile, all, share)
	e.wait = waitFor(w, s, ahead, entries)
	e.prefill = seconds(float64(w.PromptTokens) / max(1, s.bestPrefill))
	e.decode = time.Duration(w.OutputTokens) * tokenTime
	return e
}

// load is tokens that wait.
type load struct{ prefill, decode float64 }

// aheadOf is what this entry's queue serves before the work: under fair
// queueing the lesser of all that its profile waits for and of its member's own
// work over the member's share; beside it the other profiles get their shares.
func aheadOf(w *decision.Work, mine, profile, all queue.Totals, share float64) load {
	own := load{float64(mine.PrefillTokens), float64(mine.DecodeTokens)}
	whole := load{float64(profile.PrefillTokens), float64(profile.DecodeTokens)}
	ahead := load{min(own.prefill/share, whole.prefill), min(own.decode/share, whole.decode)}
	others := load{float64(all.PrefillTokens) - whole.prefill, float64(all.DecodeTokens) - whole.decode}
	if w.Class == declaration.ClassBulk {
		return load{ahead.prefill + others.prefill, ahead.decode + others.decode}
	}
	// Urgent work shares the fleet with the others while it waits: at worst
	// they are served as much as it is.
	return load{ahead.prefill + min(others.prefill, ahead.prefill), ahead.decode + min(others.decode, ahead.decode)}
}

// waitFor is the longer of the waits for prefill and for a decode slot.
func waitFor(w *decision.Work, s *supply, ahead load, entries float64) time.Duration {
	backlog := s.prefillTokens
	if w.Class != declaration.ClassBulk {
		backlog *= urgentAhead
	}
	prefill := (backlog + ahead.prefill*entries) / max(1, s.prefillRate)
	decode := 0.0
	if free := float64(s.slots) - s.running; free < 1 || ahead.decode > 0 {
		// With all slots in use one comes free at the rate at which the fleet
		// finishes streams.
		decode = ahead.decode * entries / max(1, s.decodeRate)
	}
	return seconds(max(prefill, decode))
}

func seconds(v float64) time.Duration { return time.Duration(v * float64(time.Second)) }
