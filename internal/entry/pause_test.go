package entry

import (
	"testing"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision/backpressure"
	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
	"goldcrestseam.dev/goldcrestseam/internal/outcome"
)

// rests lets a server turn a request away and ask for rest.
func (w *world) rests(server string, rest time.Duration) {
	w.step(ServerReported{
		Server: server, Incarnation: "life-1", FromResponse: true, SentAt: w.now, Backpressure: backpressure.Word{Rest: rest},
		State: engineapi.StateServing, HasLoad: true,
	})
}

// turnedAway ends an attempt that a server did not run.
func (w *world) turnedAway(d Dispatch) []Effect {
	return w.ended(d, func(ev *AttemptEnded) { ev.Outcome = outcome.NotRun })
}

// Guards against a rest that a load, a heartbeat, another view or a shorter rest ends.
func TestRestHoldsUntilItsTime(t *testing.T) {
	w := relayedWorld(t)
	w.view(serving(1)...)
	w.rests("engine-0", time.Hour)
	w.rests("engine-0", second)
	for range 10 {
		w.after(5 * time.Minute)
		w.said(0, engineapi.StateServing)
		w.view()
		w.view(serving(1)...)
		w.relayed("r", nil)
		if r := w.refused(); r.Outcome != outcome.NotRun || r.RetryAfter < second {
			t.Fatalf("refusal %+v", r)
		}
	}
	w.after(10 * time.Minute)
	w.renew()
	w.relayed("later", nil)
	w.dispatched()
}

// Guards against a rest that passes to another life of the server.
func TestRestEndsWithTheLife(t *testing.T) {
	w := relayedWorld(t)
	w.view(serving(1)...)
	w.rests("engine-0", time.Hour)
	next := serving(1)
	next[0].Incarnation = "life-2"
	w.view(next...)
	w.relayed("r", nil)
	w.dispatched()
}

// Guards against a prompt that is read elsewhere and brought to an engine that has asked for rest.
func TestPrefilledWorkDoesNotGoToAnEngineAtRest(t *testing.T) {
	w := relayedWorld(t)
	w.view(prefillers(2, 1)...)
	d := w.pairOf("r1")
	w.rests(d.Server, 3*second)
	w.step(PrefillDone{RequestID: d.RequestID, Attempt: d.Attempt})
	at := pick[DecodeAt](w.effects)
	if len(at) != 1 || at[0].Server == d.Server {
		t.Fatalf("decodes at %+v, %s rests", at, d.Server)
	}
}

// Guards against what waits, is sent once more or goes on elsewhere and reaches a server at rest.
func TestNothingWaitsItsWayToAServerAtRest(t *testing.T) {
	w := relayedWorld(t)
	w.view(serving(2)...)
	w.relayed("r1", func(a *RequestArrived) { a.Work.FirstTokenBy = w.now + 400*time.Millisecond })
	d := w.dispatched()
	w.rests(d.Server, 3*second)
	w.turnedAway(d)
	next := w.dispatched()
	if next.Server == d.Server {
		t.Fatal("sent again to the server that rests")
	}
	w.rests(next.Server, 2*second)
	w.turnedAway(next)
	if r := w.refused(); r.Outcome != outcome.NotRun || r.RetryAfter < 2*second || r.RetryAfter > 3*second {
		t.Fatalf("refusal %+v, the shorter rest is 2 s", r)
	}
}

// Guards against a call that may be late and waits, unheard, for servers that rest for longer.
func TestWorkThatCanWaitIsServedAfterTheRest(t *testing.T) {
	w := relayedWorld(t)
	w.view(serving(1)...)
	w.rests("engine-0", second)
	w.relayed("clerk", func(a *RequestArrived) { a.Work.FirstTokenBy = w.now + 400*time.Millisecond })
	if r := w.refused(); r.RetryAfter < second {
		t.Fatalf("refusal %+v", r)
	}
	w.relayed("patient", func(a *RequestArrived) { a.Work.FirstTokenBy = w.now + 3*second })
	if len(pick[Refuse](w.effects)) > 0 {
		t.Fatal("refused though it can wait")
	}
	w.after(second)
	w.renew()
	w.dispatched()
}

// Guards against health probes of a server that wants nothing.
func TestServerAtRestIsNotProbed(t *testing.T) {
	w := relayedWorld(t)
	w.view(serving(2)...)
	w.rests("engine-0", 30*second)
	w.step(ProbeFailed{Server: "engine-0", Incarnation: "life-1"})
	probed := make(map[string]int)
	for range 50 {
		w.after(probeInterval)
		for _, p := range pick[Probe](w.step(Tick{})) {
			probed[p.Server]++
		}
	}
	if probed["engine-0"] > 0 || probed["engine-1"] == 0 {
		t.Fatalf("probed %v", probed)
	}
}

// Guards against a request that was dispatched before a rest and finds its connection after it.
func TestSnapshotTellsWhichServersRest(t *testing.T) {
	w := relayedWorld(t)
	w.view(serving(1)...)
	w.rests("engine-0", 3*second)
	published := pick[Publish](w.effects)
	if len(published) != 1 {
		t.Fatalf("%d snapshots", len(published))
	}
	snap := published[0].Snapshot
	if snap.AcceptsRequests("life-1", w.now) || !snap.AcceptsRequests("life-1", w.now+3*second) || !snap.AcceptsRequests("life-2", w.now) {
		t.Errorf("closed: %v at %v", snap.UnavailableUntil, w.now)
	}
}
