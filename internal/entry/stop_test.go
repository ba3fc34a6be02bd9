package entry

import (
	"testing"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/outcome"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// Times of the planned stop in these tests, since it began.
const (
	testShortOnlyAfter = 2500 * time.Millisecond
	testAcceptFor      = 4 * time.Second
	testEndsAfter      = 6800 * time.Millisecond
)

// newStoppingEntry returns an entry that has just begun to stop, with one engine of so many slots.
func newStoppingEntry(t *testing.T, slots uint32) *harness {
	w := newHarness(t)
	s := testServer(0, pb.ServerState_SERVER_STATE_SERVING)
	s.Slots = slots
	w.view(s)
	w.step(Stop{AcceptFor: testAcceptFor, ShortOnlyAfter: testShortOnlyAfter, EndsAfter: testEndsAfter})
	return w
}

// relayed returns an arrival whose final answer is due after a time.
func (w *harness) relayed(id string, timeLeft time.Duration) RequestArrived {
	a := w.arrival(id, "m")
	a.HardDeadline, a.Work.FinishBy, a.Work.FirstTokenBy = true, w.now+timeLeft, w.now+timeLeft
	return a
}

// refusalOf returns the refusal of a request among the last effects, or nil.
func (w *harness) refusalOf(id string) *outcome.Refusal {
	for _, e := range w.effects {
		if r, ok := e.(Refuse); ok && r.RequestID == id {
			return r.Refusal
		}
	}
	return nil
}

// tickUntil lets time pass in ticks, with a valid lease, and returns the first refusal of the request and when it came.
func (w *harness) tickUntil(end time.Duration, id string) (*outcome.Refusal, time.Duration) {
	for w.now < end {
		w.advance(20 * time.Millisecond)
		w.renew()
		w.step(Tick{})
		if r := w.refusalOf(id); r != nil {
			return r, w.now
		}
	}
	return nil, 0
}

// Guards against requests that are passed on to an entry that ends before their answers, though a third one could be asked.
func TestStoppingEntryRefusesForwardedWorkThatOutlastsIt(t *testing.T) {
	for _, c := range []struct {
		name      string
		forwarded bool
		timeLeft  time.Duration
		refused   bool
	}{
		{"from its caller, long", false, 8 * time.Second, false},
		{"passed on, long", true, 8 * time.Second, true},
		{"passed on, short", true, 3 * time.Second, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newStoppingEntry(t, 8)
			a := w.relayed("r", c.timeLeft)
			a.Forwarded = c.forwarded
			w.step(a)
			r := w.refusalOf("r")
			if (r != nil) != c.refused || r != nil && (r.Code != outcome.CodeLeaving || r.Outcome != outcome.NotRun) {
				t.Errorf("refusal %v", r)
			}
		})
	}
}

// Guards against requests that wait for a server until the entry ends, and are cut off then.
func TestStoppingEntryRefusesWaitingWorkWhileItsCallerHasTime(t *testing.T) {
	w := newStoppingEntry(t, 1)
	begun := w.now
	w.step(w.relayed("runs", 60*second))
	w.step(w.relayed("waits", 60*second))
	r, at := w.tickUntil(begun+testEndsAfter, "waits")
	if r == nil || r.Code != outcome.CodeLeaving || r.Outcome != outcome.NotRun {
		t.Fatalf("refusal %v", r)
	}
	if at < begun+testAcceptFor || at > begun+testAcceptFor+100*time.Millisecond {
		t.Errorf("refused %v after the stop began", at-begun)
	}
}

// Guards against a retry that begins when the entry can't wait for its answer any more.
func TestStoppingEntrySendsNothingAgainThatOutlastsIt(t *testing.T) {
	w := newStoppingEntry(t, 8)
	begun := w.now
	d := dispatched(t, w.step(w.relayed("r", 60*second)), "r")
	w.tickUntil(begun+testAcceptFor+time.Second, "r")
	w.step(AttemptEnded{RequestID: "r", Attempt: d.Attempt, Outcome: outcome.NotRun, Unsent: true})
	w.tickUntil(begun+testEndsAfter, "r")
	for _, e := range w.effects {
		if again, ok := e.(Dispatch); ok {
			t.Errorf("sent again to %s", again.Server)
		}
	}
	if r := w.refusalOf("r"); r == nil || r.Outcome != outcome.NotRun {
		t.Errorf("refusal %v", r)
	}
}

// Guards against an answer that says "not run" of work that a server had when the entry ended.
func TestWorkThatAStopEndsMayHaveRun(t *testing.T) {
	w := newStoppingEntry(t, 8)
	begun := w.now
	d := dispatched(t, w.step(w.relayed("r", 60*second)), "r")
	w.tickUntil(begun+testEndsAfter+500*time.Millisecond, "r")
	w.step(AttemptEnded{RequestID: "r", Attempt: d.Attempt, Outcome: outcome.Unknown})
	if r := w.refusalOf("r"); r == nil || r.Outcome != outcome.Unknown || r.Code != outcome.CodeLeaving {
		t.Errorf("refusal %v", r)
	}
}

// dispatched returns the dispatch of a request.
func dispatched(t *testing.T, effects []Effect, id string) Dispatch {
	t.Helper()
	for _, e := range effects {
		if d, ok := e.(Dispatch); ok && d.RequestID == id {
			return d
		}
	}
	t.Fatalf("%s was not sent", id)
	return Dispatch{}
}
