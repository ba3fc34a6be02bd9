package entry

import (
	"net/http"
	"testing"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
	"goldcrestseam.dev/goldcrestseam/internal/decision/admission"
	"goldcrestseam.dev/goldcrestseam/internal/declaration"
	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
	"goldcrestseam.dev/goldcrestseam/internal/outcome"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// relayedWorld is an entry whose servers end a request with its connection.
func relayedWorld(t fataler) *world {
	w := newWorld(t)
	w.r.cfg.AbortOnDisconnect = true
	w.r.cfg.AssumedPace = decision.Pace{PrefillRate: 25000, TokenTime: 9 * time.Millisecond}
	w.r.speeds = newSpeeds(w.r.cfg.AssumedPace)
	w.r.retryLimit = admission.NewExtra(&admission.ExtraLimit{Ratio: 0.2, Constant: 20, Window: 10 * second})
	return w
}

// relayed is a request with a final time.
func (w *world) relayed(id string, change func(*RequestArrived)) []Effect {
	a := w.arrival(id, "")
	a.HardDeadline, a.MaxRuns = true, 2
	a.Work.FinishBy, a.Work.LateIsOfUse = w.now+4*second, true
	if change != nil {
		change(&a)
	}
	return w.step(a)
}

// prefillers are n engines that only prefill, after as many that do whole requests.
func prefillers(whole, n int) []*pb.BackendServer {
	list := serving(whole)
	for i := whole; i < whole+n; i++ {
		s := testServer(i, pb.ServerState_SERVER_STATE_SERVING)
		s.Role = pb.EngineRole_ENGINE_ROLE_PREFILL
		list = append(list, s)
	}
	return list
}

// pairOf sends a long request that is prefilled apart.
func (w *world) pairOf(id string) Dispatch {
	w.t.Helper()
	w.relayed(id, func(a *RequestArrived) {
		a.Work.PromptTokens = 17000
		a.Work.Pace.MoveRate = 2e6
	})
	d := w.dispatched()
	if d.PrefillServer == "" {
		w.t.Fatalf("not prefilled apart: %+v", d)
	}
	return d
}

// A request waits 2 s for its prefill. The engine that was to decode has said
// meanwhile that it leaves: the request must not reach it.
func TestPrefilledWorkDoesNotGoToALeavingEngine(t *testing.T) {
	w := relayedWorld(t)
	w.view(prefillers(2, 1)...)
	d := w.pairOf("r1")
	w.after(2 * second)
	w.step(ServerReported{Server: d.Server, Incarnation: "life-1", State: engineapi.StateLeaving})
	w.renew()
	w.step(PrefillDone{RequestID: "r1", Attempt: d.Attempt})
	at := pick[DecodeAt](w.effects)
	if len(at) != 1 || at[0].Server == d.Server {
		t.Fatalf("planned at %s, decodes at %+v", d.Server, at)
	}
}

// No engine decodes any more when the prompt is read: the caller is told at once
// that its request has not run.
func TestPrefilledWorkWithoutADecoderIsRefused(t *testing.T) {
	w := relayedWorld(t)
	w.view(prefillers(1, 1)...)
	d := w.pairOf("r1")
	w.step(ServerReported{Server: d.Server, Incarnation: "life-1", State: engineapi.StateLeaving})
	w.step(PrefillDone{RequestID: "r1", Attempt: d.Attempt})
	if len(pick[DecodeAt](w.effects)) != 0 {
		t.Fatalf("effects %v", w.effects)
	}
	w.after(4 * second)
	w.step(DeadlineExpired{RequestID: "r1"})
	if r := w.refused(); r.Outcome != outcome.NotRun || r.Status != http.StatusServiceUnavailable || r.RetryAfter == 0 {
		t.Fatalf("refusal %+v", r)
	}
}

// The time of a request runs out at an engine that is silent. Its final answer comes
// then and does not say that it has not run.
func TestTimeUpIsTheFinalAnswer(t *testing.T) {
	w := relayedWorld(t)
	w.view(serving(1)...)
	w.relayed("r1", nil)
	d := w.dispatched()
	w.step(AttemptProgress{RequestID: "r1", Attempt: d.Attempt})
	w.after(4 * second)
	w.step(DeadlineExpired{RequestID: "r1"})
	if r := w.refused(); r.Outcome != outcome.Unknown || r.Status != http.StatusGatewayTimeout {
		t.Fatalf("refusal %+v", r)
	}
	w.ended(d, func(ev *AttemptEnded) {})
	if len(pick[Dispatch](w.effects)) != 0 {
		t.Fatal("sent again after its final answer")
	}
}

// Two servers may run the request, and both fail it: it is not sent a third time.
func TestRunsAreBounded(t *testing.T) {
	w := relayedWorld(t)
	w.view(serving(3)...)
	w.relayed("r1", func(a *RequestArrived) { a.Retry = RetryAllowed })
	first := w.dispatched()
	w.ended(first, func(ev *AttemptEnded) { ev.Outcome = outcome.Ran })
	second := w.dispatched()
	if second.Server == first.Server {
		t.Fatalf("sent again to the server that failed it")
	}
	w.ended(second, func(ev *AttemptEnded) { ev.Outcome = outcome.Ran })
	if r := w.refused(); r.Outcome != outcome.Unknown {
		t.Fatalf("refusal %+v", r)
	}
}

// Servers are full one after the other. The caller is told to come back after a
// few, and may believe that its request has not run.
func TestFullServersAreNotAskedForEver(t *testing.T) {
	w := relayedWorld(t)
	w.view(serving(8)...)
	w.relayed("r1", nil)
	sends := 1
	for d := w.dispatched(); ; sends++ {
		w.ended(d, func(ev *AttemptEnded) { ev.Outcome = outcome.NotRun })
		if len(pick[Refuse](w.effects)) > 0 {
			break
		}
		d = w.dispatched()
	}
	if r := w.refused(); r.Outcome != outcome.NotRun || r.Status != http.StatusServiceUnavailable || r.RetryAfter == 0 {
		t.Fatalf("refusal %+v", r)
	}
	if sends != maxNotRun {
		t.Fatalf("%d sends", sends)
	}
}

// The only server of a request is gone. Waiting can't help: it is refused at once.
func TestNothingWaitsForAServerThatIsGone(t *testing.T) {
	w := relayedWorld(t)
	w.view(serving(1)...)
	w.relayed("r1", nil)
	w.ended(w.dispatched(), func(ev *AttemptEnded) { ev.Outcome, ev.ServerDied = outcome.NotRun, true })
	if r := w.refused(); r.Code != outcome.CodeNoServer || r.Outcome != outcome.NotRun {
		t.Fatalf("refusal %+v", r)
	}
}

// A burst of dossiers fills the engines for seconds. What would be late is turned
// away at once, with when to come back; when the burst is over it is taken. Questions
// of people who wait are not turned away for it.
func TestLongWorkThatWouldBeLateIsTurnedAway(t *testing.T) {
	w := relayedWorld(t)
	w.view(serving(1)...)
	dossier := func(a *RequestArrived) {
		a.Work.Class, a.Work.PromptTokens = declaration.ClassBulk, 17000
		a.Work.FirstTokenBy = w.now + 800*time.Millisecond
	}
	busy := func(waiting uint32) {
		w.step(ServerReported{
			Server: "engine-0", Incarnation: "life-1", State: engineapi.StateServing, HasLoad: true,
			Load: engineapi.Load{Running: 1, Queued: waiting},
		})
	}
	w.relayed("first", func(a *RequestArrived) { dossier(a); a.Work.PromptTokens = 10000 })
	w.ended(w.dispatched(), func(ev *AttemptEnded) { ev.Complete, ev.Outcome = true, outcome.Ran })
	busy(5)
	w.relayed("late", dossier)
	r := w.refused()
	if r.Outcome != outcome.NotRun || r.RetryAfter < 500*time.Millisecond || r.RetryAfter > 2*time.Second {
		t.Fatalf("refusal %+v", r)
	}
	w.relayed("question", nil)
	w.dispatched()
	w.after(3 * second)
	w.renew()
	busy(0)
	w.relayed("back", func(a *RequestArrived) { dossier(a); a.Work.PromptTokens = 10000 })
	w.dispatched()
}

// One of two servers is gone, and failures elsewhere have used up what the deployment may
// send again. A request whose connection was refused has reached nobody: it goes to the
// other server, and its clerk is not sent away.
func TestUnsentRequestIsNoRepeat(t *testing.T) {
	w := relayedWorld(t)
	w.r.retryLimit = admission.NewExtra(&admission.ExtraLimit{Window: 10 * second})
	w.view(serving(2)...)
	w.relayed("r1", nil)
	first := w.dispatched()
	w.ended(first, func(ev *AttemptEnded) { ev.Outcome, ev.ServerDied, ev.Unsent = outcome.NotRun, true, true })
	if d := w.dispatched(); d.Server == first.Server {
		t.Fatalf("again to %s", d.Server)
	}
	w.relayed("r2", nil)
	second := w.dispatched()
	w.ended(second, func(ev *AttemptEnded) { ev.Outcome = outcome.NotRun })
	if r := w.refused(); r.Outcome != outcome.NotRun {
		t.Fatalf("sent again without an allowance: %+v", w.effects)
	}
}

// An entry is stopped, and must end 6.8 s later. A dossier of a caller that uses an old
// answer comes after 3.7 s and may take 8 s: taken, it was cut in the middle of its
// stream. A lookup of the same moment is over in time and is served.
func TestStoppingEntryTakesNothingThatItWouldCut(t *testing.T) {
	w := relayedWorld(t)
	w.view(serving(2)...)
	w.step(Stop{AcceptFor: 4 * second, ShortOnlyAfter: 2500 * time.Millisecond, EndsAfter: 6800 * time.Millisecond})
	lasting := func(d time.Duration) func(*RequestArrived) {
		return func(a *RequestArrived) { a.Work.FinishBy = w.now + d }
	}
	w.after(second)
	w.renew()
	w.relayed("early", lasting(8*second))
	w.dispatched()
	w.after(2700 * time.Millisecond)
	w.renew()
	w.relayed("lookup", lasting(2500*time.Millisecond))
	w.dispatched()
	w.relayed("dossier", lasting(8*second))
	if r := w.refused(); r.Code != outcome.CodeLeaving || r.Outcome != outcome.NotRun || r.RetryAfter == 0 {
		t.Fatalf("refusal %+v", r)
	}
}

// Guards against a request whose prompt is read apart again after it has run, and which so
// reaches two engines for one repeat that was counted.
func TestRepeatThatIsPrefilledApartCountsTwice(t *testing.T) {
	w := relayedWorld(t)
	// 0.8 of 4 is the allowance of the only entry, and 0.8 of 0.2 for the request.
	w.r.retryLimit = admission.NewExtra(&admission.ExtraLimit{Ratio: 0.2, Constant: 4, Window: 10 * second})
	w.view(prefillers(3, 3)...)
	w.relayed("r1", func(a *RequestArrived) {
		a.Work.PromptTokens, a.Work.Pace.MoveRate, a.MaxRuns, a.Work.FinishBy = 17000, 2e6, 10, w.now+60*second
	})
	arrivals, beyond := 0, 0
	for range 8 {
		list := pick[Dispatch](w.effects)
		if len(list) == 0 {
			break
		}
		d := list[0]
		if d.PrefillServer != "" {
			arrivals++
			if arrivals > 1 {
				beyond++
			}
			w.step(PrefillDone{RequestID: "r1", Attempt: d.Attempt})
		}
		w.ended(d, func(ev *AttemptEnded) {})
		beyond++
		w.after(4 * second / 10)
		if len(pick[Dispatch](w.effects)) == 0 {
			w.renew()
		}
	}
	// The first call that reads and the first that runs are no repeats.
	if beyond--; beyond > 3 {
		t.Errorf("%d arrivals beyond the first, 3 are allowed", beyond)
	}
	if beyond < 2 {
		t.Errorf("%d arrivals beyond the first: nothing was sent again", beyond)
	}
}
