package entry

import (
	"testing"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision/backpressure"
	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
	"goldcrestseam.dev/goldcrestseam/internal/outcome"
)

// requestBackoff lets a server reject a request and ask for a back-off.
func (w *harness) requestBackoff(server string, backoff time.Duration) {
	w.step(ServerReported{
		Server: server, Incarnation: "life-1", FromResponse: true, SentAt: w.now, Backpressure: backpressure.Signal{Backoff: backoff},
		State: engineapi.StateServing, HasLoad: true,
	})
}

// endNotRun ends an attempt that a server did not run.
func (w *harness) endNotRun(d Dispatch) []Effect {
	return w.endAttempt(d, func(ev *AttemptEnded) { ev.Outcome = outcome.NotRun })
}

// Guards against a back-off that ends early by a load report, a heartbeat, another view or a
// shorter back-off.
func TestBackoffLastsUntilItsEnd(t *testing.T) {
	w := newDeadlineHarness(t)
	w.view(serving(1)...)
	w.requestBackoff("engine-0", time.Hour)
	w.requestBackoff("engine-0", second)
	for range 10 {
		w.advance(5 * time.Minute)
		w.reportState(0, engineapi.StateServing)
		w.view()
		w.view(serving(1)...)
		w.arriveWithDeadline("r", nil)
		if r := w.singleRefusal(); r.Outcome != outcome.NotRun || r.RetryAfter < second {
			t.Fatalf("refusal %+v", r)
		}
	}
	w.advance(10 * time.Minute)
	w.renew()
	w.arriveWithDeadline("later", nil)
	w.singleDispatch()
}

// Guards against a back-off that passes to another incarnation of the server.
func TestBackoffEndsWithTheIncarnation(t *testing.T) {
	w := newDeadlineHarness(t)
	w.view(serving(1)...)
	w.requestBackoff("engine-0", time.Hour)
	next := serving(1)
	next[0].Incarnation = "life-2"
	w.view(next...)
	w.arriveWithDeadline("r", nil)
	w.singleDispatch()
}

// Guards against a separately prefilled request that is decoded on an engine that has asked for
// a back-off.
func TestPrefilledWorkDoesNotGoToAnEngineInBackoff(t *testing.T) {
	w := newDeadlineHarness(t)
	w.view(withPrefillEngines(2, 1)...)
	d := w.arriveWithSeparatePrefill("r1")
	w.requestBackoff(d.Server, 3*second)
	w.step(PrefillDone{RequestID: d.RequestID, Attempt: d.Attempt})
	at := effectsOf[DecodeAt](w.effects)
	if len(at) != 1 || at[0].Server == d.Server {
		t.Fatalf("decodes at %+v, %s has asked for a back-off", at, d.Server)
	}
}

// Guards against a requeued request that reaches a server that has asked for a back-off.
func TestRequeuedWorkDoesNotReachAServerInBackoff(t *testing.T) {
	w := newDeadlineHarness(t)
	w.view(serving(2)...)
	w.arriveWithDeadline("r1", func(a *RequestArrived) { a.Work.FirstTokenBy = w.now + 400*time.Millisecond })
	d := w.singleDispatch()
	w.requestBackoff(d.Server, 3*second)
	w.endNotRun(d)
	next := w.singleDispatch()
	if next.Server == d.Server {
		t.Fatal("sent again to the server that has asked for a back-off")
	}
	w.requestBackoff(next.Server, 2*second)
	w.endNotRun(next)
	if r := w.singleRefusal(); r.Outcome != outcome.NotRun || r.RetryAfter < 2*second || r.RetryAfter > 3*second {
		t.Fatalf("refusal %+v, the shorter back-off is 2 s", r)
	}
}

// Guards against a request that waits without an answer for a server whose back-off outlasts its
// first-token deadline. A request with a later deadline is served after the back-off.
func TestWorkThatCanWaitIsServedAfterTheBackoff(t *testing.T) {
	w := newDeadlineHarness(t)
	w.view(serving(1)...)
	w.requestBackoff("engine-0", second)
	w.arriveWithDeadline("clerk", func(a *RequestArrived) { a.Work.FirstTokenBy = w.now + 400*time.Millisecond })
	if r := w.singleRefusal(); r.RetryAfter < second {
		t.Fatalf("refusal %+v", r)
	}
	w.arriveWithDeadline("patient", func(a *RequestArrived) { a.Work.FirstTokenBy = w.now + 3*second })
	if len(effectsOf[Refuse](w.effects)) > 0 {
		t.Fatal("refused though it can wait")
	}
	w.advance(second)
	w.renew()
	w.singleDispatch()
}

// Guards against health probes of a server that has asked for a back-off.
func TestServerInBackoffIsNotProbed(t *testing.T) {
	w := newDeadlineHarness(t)
	w.view(serving(2)...)
	w.requestBackoff("engine-0", 30*second)
	w.step(ProbeFailed{Server: "engine-0", Incarnation: "life-1"})
	probed := make(map[string]int)
	for range 50 {
		w.advance(probeInterval)
		for _, p := range effectsOf[Probe](w.step(Tick{})) {
			probed[p.Server]++
		}
	}
	if probed["engine-0"] > 0 || probed["engine-1"] == 0 {
		t.Fatalf("probed %v", probed)
	}
}

// Guards against a request that was dispatched before a back-off and connects during it.
func TestSnapshotContainsServersInBackoff(t *testing.T) {
	w := newDeadlineHarness(t)
	w.view(serving(1)...)
	w.requestBackoff("engine-0", 3*second)
	published := effectsOf[Publish](w.effects)
	if len(published) != 1 {
		t.Fatalf("%d snapshots", len(published))
	}
	snap := published[0].Snapshot
	if snap.AcceptsRequests("life-1", w.now) || !snap.AcceptsRequests("life-1", w.now+3*second) || !snap.AcceptsRequests("life-2", w.now) {
		t.Errorf("unavailable: %v at %v", snap.UnavailableUntil, w.now)
	}
}
