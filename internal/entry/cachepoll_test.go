package entry

import (
	"testing"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
)

// Guards against a repeated prefill of a shared prefix. Another entry sent the prefix to an
// engine. Once that engine has reported it, the member's next request at this entry must go
// there.
func TestCacheEventsLeadToTheEngineThatHoldsThePrefix(t *testing.T) {
	for holder := range 2 {
		w := newHarness(t)
		w.view(serving(2)...)
		w.warmUp()
		polls := effectsOf[PollCache](w.advanceAndRenew(cachePollInterval))
		if len(polls) != 2 {
			t.Fatalf("%d engines polled, want both that were used", len(polls))
		}
		chain := []uint64{11, 12, 13, 14}
		events := engineapi.CacheEvents{Next: 5}
		for i, hash := range chain {
			events.Events = append(events.Events, engineapi.CacheEvent{Seq: uint64(i + 1), Hash: hash})
		}
		w.step(CacheReported{Server: polls[holder].Server, Incarnation: polls[holder].Incarnation, Events: events})
		next := w.arrival("next", "hotels")
		next.Work.PromptTokens, next.Work.Prefix = 5*engineapi.BlockTokens, chain
		w.step(next)
		if got := w.singleDispatch().Server; got != polls[holder].Server {
			t.Errorf("dispatched to %s, but %s holds the prefix", got, polls[holder].Server)
		}
	}
}

func TestCacheEventsContinueAtLastSequence(t *testing.T) {
	w := newHarness(t)
	w.view(serving(1)...)
	w.warmUp()
	poll := effectsOf[PollCache](w.advanceAndRenew(cachePollInterval))[0]
	answer := func(next uint64, incarnation string) {
		w.step(CacheReported{Server: poll.Server, Incarnation: incarnation, Events: engineapi.CacheEvents{Next: next}})
	}
	answer(8, poll.Incarnation)
	answer(3, poll.Incarnation)
	answer(90, "another incarnation")
	if got := effectsOf[PollCache](w.advanceAndRenew(cachePollInterval)); len(got) != 1 || got[0].After != 7 {
		t.Fatalf("polls %v, want one, after 7", got)
	}
	if got := effectsOf[PollCache](w.advanceAndRenew(cachePollIdleLimit)); len(got) != 0 {
		t.Fatalf("polls an engine that is not used any more: %v", got)
	}
}

// warmUp completes one request on each engine.
func (w *harness) warmUp() {
	for _, s := range w.r.servers.sorted {
		w.renew()
		w.arrive("warm-" + s.pb.Id)
		s.cache.usedAt = w.now
		w.endAttempt(w.singleDispatch(), func(ev *AttemptEnded) { ev.Complete = true })
	}
}

// advanceAndRenew advances the clock with a valid lease.
func (w *harness) advanceAndRenew(d time.Duration) []Effect {
	w.advance(d)
	w.renew()
	return w.step(Tick{})
}
