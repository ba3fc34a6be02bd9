package entry

import (
	"testing"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
)

// A member's questions share a long prefix. They came to another entry first, so
// that an engine holds the prefix though this entry never sent it there: once
// the engine has told of it, the next question must go to that engine and not to
// the other one, which would prefill everything again.
func TestCacheEventsLeadToTheEngineThatHoldsThePrefix(t *testing.T) {
	for holder := range 2 {
		w := newWorld(t)
		w.view(serving(2)...)
		w.warm()
		polls := pick[PollCache](w.later(cachePollInterval))
		if len(polls) != 2 {
			t.Fatalf("%d engines asked, want both that were used", len(polls))
		}
		chain := []uint64{11, 12, 13, 14}
		told := engineapi.CacheEvents{Next: 5}
		for i, hash := range chain {
			told.Events = append(told.Events, engineapi.CacheEvent{Seq: uint64(i + 1), Hash: hash})
		}
		w.step(CacheReported{Server: polls[holder].Server, Incarnation: polls[holder].Incarnation, Events: told})
		next := w.arrival("next", "hotels")
		next.Work.PromptTokens, next.Work.Prefix = 5*engineapi.BlockTokens, chain
		w.step(next)
		if got := w.dispatched().Server; got != polls[holder].Server {
			t.Errorf("went to %s, but %s holds the prefix", got, polls[holder].Server)
		}
	}
}

func TestCacheEventsGoOnWhereTheyWere(t *testing.T) {
	w := newWorld(t)
	w.view(serving(1)...)
	w.warm()
	poll := pick[PollCache](w.later(cachePollInterval))[0]
	answer := func(next uint64, incarnation string) {
		w.step(CacheReported{Server: poll.Server, Incarnation: incarnation, Events: engineapi.CacheEvents{Next: next}})
	}
	answer(8, poll.Incarnation)
	answer(3, poll.Incarnation)
	answer(90, "another life")
	if got := pick[PollCache](w.later(cachePollInterval)); len(got) != 1 || got[0].After != 7 {
		t.Fatalf("asks %v, want once, after 7", got)
	}
	if got := pick[PollCache](w.later(cachePollIdleLimit)); len(got) != 0 {
		t.Fatalf("asks an engine that is not used any more: %v", got)
	}
}

// warm lets each engine answer one request.
func (w *world) warm() {
	for _, s := range w.r.servers.sorted {
		w.renew()
		w.arrive("warm-" + s.pb.Id)
		s.cache.usedAt = w.now
		w.ended(w.dispatched(), func(ev *AttemptEnded) { ev.Complete = true })
	}
}

// later lets time pass with the view in force.
func (w *world) later(d time.Duration) []Effect {
	w.after(d)
	w.renew()
	return w.step(Tick{})
}
