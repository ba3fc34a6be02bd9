package entry

import (
	"fmt"
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

// newDeadlineHarness is an entry whose servers abort a request when its connection breaks.
func newDeadlineHarness(t failer) *harness {
	w := newHarness(t)
	w.r.cfg.AbortOnDisconnect = true
	w.r.cfg.AssumedSpeed = decision.EngineSpeed{PrefillRate: 25000, TokenTime: 9 * time.Millisecond}
	w.r.speeds = newSpeeds(w.r.cfg.AssumedSpeed)
	w.r.retryLimit = retryLimitWithRoom(w.now, 16)
	return w
}

// retryLimitWithRoom returns a limit that has room for n retries and gets no more within seconds.
func retryLimitWithRoom(now time.Duration, n int) *admission.RetryLimiter {
	const service = "eligibility"
	l := admission.NewRetryLimiter(&admission.RetryLimit{Ratio: 0.2, Window: time.Hour})
	for !l.HasRoom(now, service, n) {
		l.RecordArrival(now, service)
	}
	return l
}

// arriveWithDeadline sends a request with a hard deadline.
func (w *harness) arriveWithDeadline(id string, modify func(*RequestArrived)) []Effect {
	a := w.arrival(id, "")
	a.HardDeadline, a.MaxRuns = true, 2
	a.Work.FinishBy, a.Work.SoftFirstTokenDeadline = w.now+4*second, true
	if modify != nil {
		modify(&a)
	}
	return w.step(a)
}

// withPrefillEngines returns n engines that only prefill, after as many mixed engines as given.
func withPrefillEngines(mixed, n int) []*pb.BackendServer {
	list := serving(mixed)
	for i := mixed; i < mixed+n; i++ {
		s := testServer(i, pb.ServerState_SERVER_STATE_SERVING)
		s.Role = pb.EngineRole_ENGINE_ROLE_PREFILL
		list = append(list, s)
	}
	return list
}

// arriveWithSeparatePrefill sends a long request that gets a separate prefill.
func (w *harness) arriveWithSeparatePrefill(id string) Dispatch {
	w.t.Helper()
	w.arriveWithDeadline(id, func(a *RequestArrived) {
		a.Work.PromptTokens = 17000
		a.Work.EngineSpeed.KVTransferRate = 2e6
	})
	d := w.singleDispatch()
	if d.PrefillServer == "" {
		w.t.Fatalf("no separate prefill: %+v", d)
	}
	return d
}

// Guards against new work at an engine that began to leave while the request waited 2 s for its
// prefill.
func TestPrefilledWorkDoesNotGoToALeavingEngine(t *testing.T) {
	w := newDeadlineHarness(t)
	w.view(withPrefillEngines(2, 1)...)
	d := w.arriveWithSeparatePrefill("r1")
	w.advance(2 * second)
	w.step(ServerReported{Server: d.Server, Incarnation: "life-1", State: engineapi.StateLeaving})
	w.renew()
	w.step(PrefillDone{RequestID: "r1", Attempt: d.Attempt})
	at := effectsOf[DecodeAt](w.effects)
	if len(at) != 1 || at[0].Server == d.Server {
		t.Fatalf("planned at %s, decodes at %+v", d.Server, at)
	}
}

// Guards against a request that stays without an answer because no engine can decode it after
// its prefill. Its caller is told that it has not run.
func TestPrefilledWorkWithoutADecoderIsRefused(t *testing.T) {
	w := newDeadlineHarness(t)
	w.view(withPrefillEngines(1, 1)...)
	d := w.arriveWithSeparatePrefill("r1")
	w.step(ServerReported{Server: d.Server, Incarnation: "life-1", State: engineapi.StateLeaving})
	w.step(PrefillDone{RequestID: "r1", Attempt: d.Attempt})
	if len(effectsOf[DecodeAt](w.effects)) != 0 {
		t.Fatalf("effects %v", w.effects)
	}
	w.advance(4 * second)
	w.step(DeadlineExpired{RequestID: "r1"})
	if r := w.singleRefusal(); r.Outcome != outcome.NotRun || r.Status != http.StatusServiceUnavailable || r.RetryAfter == 0 {
		t.Fatalf("refusal %+v", r)
	}
}

// Guards against a missing or wrong final answer when the deadline passes at an engine that
// sends nothing: the request may have run.
func TestDeadlineExpiryIsTheFinalAnswer(t *testing.T) {
	w := newDeadlineHarness(t)
	w.view(serving(1)...)
	w.arriveWithDeadline("r1", nil)
	d := w.singleDispatch()
	w.step(AttemptProgress{RequestID: "r1", Attempt: d.Attempt})
	w.advance(4 * second)
	w.step(DeadlineExpired{RequestID: "r1"})
	if r := w.singleRefusal(); r.Outcome != outcome.Unknown || r.Status != http.StatusGatewayTimeout {
		t.Fatalf("refusal %+v", r)
	}
	w.endAttempt(d, func(ev *AttemptEnded) {})
	if len(effectsOf[Dispatch](w.effects)) != 0 {
		t.Fatal("sent again after its final answer")
	}
}

// Guards against a third run of a request that may run on two servers, after both of them failed
// it.
func TestRunsAreBounded(t *testing.T) {
	w := newDeadlineHarness(t)
	w.view(serving(3)...)
	w.arriveWithDeadline("r1", func(a *RequestArrived) { a.Retry = RetryAllowed })
	first := w.singleDispatch()
	w.endAttempt(first, func(ev *AttemptEnded) { ev.Outcome = outcome.Ran })
	secondDispatch := w.singleDispatch()
	if secondDispatch.Server == first.Server {
		t.Fatalf("sent again to the server that failed it")
	}
	w.endAttempt(secondDispatch, func(ev *AttemptEnded) { ev.Outcome = outcome.Ran })
	if r := w.singleRefusal(); r.Outcome != outcome.Unknown {
		t.Fatalf("refusal %+v", r)
	}
}

// Guards against endless attempts while one server after the other is full. The caller is told
// after a few of them to retry, and that its request has not run.
func TestAttemptsAtFullServersAreBounded(t *testing.T) {
	w := newDeadlineHarness(t)
	w.view(serving(8)...)
	w.arriveWithDeadline("r1", nil)
	sends := 1
	for d := w.singleDispatch(); ; sends++ {
		w.endAttempt(d, func(ev *AttemptEnded) { ev.Outcome = outcome.NotRun })
		if len(effectsOf[Refuse](w.effects)) > 0 {
			break
		}
		d = w.singleDispatch()
	}
	if r := w.singleRefusal(); r.Outcome != outcome.NotRun || r.Status != http.StatusServiceUnavailable || r.RetryAfter == 0 {
		t.Fatalf("refusal %+v", r)
	}
	if sends != maxNotRun {
		t.Fatalf("%d sends", sends)
	}
}

// Guards against a request that waits although its only server is gone.
func TestRequestWithoutServerIsRefusedAtOnce(t *testing.T) {
	w := newDeadlineHarness(t)
	w.view(serving(1)...)
	w.arriveWithDeadline("r1", nil)
	w.endAttempt(w.singleDispatch(), func(ev *AttemptEnded) { ev.Outcome, ev.ServerDied = outcome.NotRun, true })
	if r := w.singleRefusal(); r.Code != outcome.CodeNoServer || r.Outcome != outcome.NotRun {
		t.Fatalf("refusal %+v", r)
	}
}

// Guards against bulk work that is accepted although the queued prompts make it late. It is
// refused at once with a time to retry, and accepted after the burst. Interactive requests are
// not refused for it.
func TestBulkWorkThatWouldBeLateIsRefused(t *testing.T) {
	w := newDeadlineHarness(t)
	w.view(serving(1)...)
	dossier := func(a *RequestArrived) {
		a.Work.Class, a.Work.PromptTokens = declaration.ClassBulk, 17000
		a.Work.FirstTokenBy = w.now + 800*time.Millisecond
	}
	reportLoad := func(waiting uint32) {
		w.step(ServerReported{
			Server: "engine-0", Incarnation: "life-1", State: engineapi.StateServing, HasLoad: true,
			Load: engineapi.Load{Running: 1, Queued: waiting},
		})
	}
	w.arriveWithDeadline("first", func(a *RequestArrived) { dossier(a); a.Work.PromptTokens = 10000 })
	w.endAttempt(w.singleDispatch(), func(ev *AttemptEnded) { ev.Complete, ev.Outcome = true, outcome.Ran })
	reportLoad(5)
	w.arriveWithDeadline("late", dossier)
	r := w.singleRefusal()
	if r.Outcome != outcome.NotRun || r.RetryAfter < 500*time.Millisecond || r.RetryAfter > 2*time.Second {
		t.Fatalf("refusal %+v", r)
	}
	w.arriveWithDeadline("question", nil)
	w.singleDispatch()
	w.advance(3 * second)
	w.renew()
	reportLoad(0)
	w.arriveWithDeadline("back", func(a *RequestArrived) { dossier(a); a.Work.PromptTokens = 10000 })
	w.singleDispatch()
}

// Guards against refusals of requests that no server has received. One of two servers has
// stopped, and failures elsewhere have used up the retry limit. An attempt whose connection was
// refused reached no server, so that another one is no retry and may go to the other server.
func TestUnsentAttemptIsNoRetry(t *testing.T) {
	w := newDeadlineHarness(t)
	w.r.retryLimit = admission.NewRetryLimiter(&admission.RetryLimit{Window: 10 * second})
	w.view(serving(2)...)
	w.arriveWithDeadline("r1", nil)
	first := w.singleDispatch()
	w.endAttempt(first, func(ev *AttemptEnded) { ev.Outcome, ev.ServerDied, ev.Unsent = outcome.NotRun, true, true })
	if d := w.singleDispatch(); d.Server == first.Server {
		t.Fatalf("dispatched again to %s", d.Server)
	}
	w.arriveWithDeadline("r2", nil)
	secondDispatch := w.singleDispatch()
	w.endAttempt(secondDispatch, func(ev *AttemptEnded) { ev.Outcome = outcome.NotRun })
	if r := w.singleRefusal(); r.Outcome != outcome.NotRun {
		t.Fatalf("sent again beyond the retry limit: %+v", w.effects)
	}
}

// Guards against a stream that the stopping entry would abort. The entry ends 6.8 s after the
// stop begins. A long request that arrives after 3.7 s with an outdated address and may take 8 s
// is refused, and a short one that ends in time is served.
func TestStoppingEntryRefusesWorkItCannotFinish(t *testing.T) {
	w := newDeadlineHarness(t)
	w.view(serving(2)...)
	w.step(Stop{AcceptFor: 4 * second, ShortOnlyAfter: 2500 * time.Millisecond, EndsAfter: 6800 * time.Millisecond})
	withDuration := func(d time.Duration) func(*RequestArrived) {
		return func(a *RequestArrived) { a.Work.FinishBy = w.now + d }
	}
	w.advance(second)
	w.renew()
	w.arriveWithDeadline("early", withDuration(8*second))
	w.singleDispatch()
	w.advance(2700 * time.Millisecond)
	w.renew()
	w.arriveWithDeadline("lookup", withDuration(2500*time.Millisecond))
	w.singleDispatch()
	w.arriveWithDeadline("dossier", withDuration(8*second))
	if r := w.singleRefusal(); r.Code != outcome.CodeLeaving || r.Outcome != outcome.NotRun || r.RetryAfter == 0 {
		t.Fatalf("refusal %+v", r)
	}
}

// Guards against a retry with a separate prefill that reaches two engines but counts only once.
func TestRetryWithSeparatePrefillCountsTwice(t *testing.T) {
	w := newDeadlineHarness(t)
	w.r.retryLimit = retryLimitWithRoom(w.now, 3)
	w.view(withPrefillEngines(3, 3)...)
	w.arriveWithDeadline("r1", func(a *RequestArrived) {
		a.Work.PromptTokens, a.Work.EngineSpeed.KVTransferRate, a.MaxRuns, a.Work.FinishBy = 17000, 2e6, 10, w.now+60*second
	})
	prefills, extra := 0, 0
	for range 8 {
		list := effectsOf[Dispatch](w.effects)
		if len(list) == 0 {
			break
		}
		d := list[0]
		if d.PrefillServer != "" {
			prefills++
			if prefills > 1 {
				extra++
			}
			w.step(PrefillDone{RequestID: "r1", Attempt: d.Attempt})
		}
		w.endAttempt(d, func(ev *AttemptEnded) {})
		extra++
		w.advance(4 * second / 10)
		if len(effectsOf[Dispatch](w.effects)) == 0 {
			w.renew()
		}
	}
	// The first call for prefill and the first call for execution are no retries.
	if extra--; extra > 3 {
		t.Errorf("%d deliveries beyond the first, 3 are allowed", extra)
	}
	if extra < 2 {
		t.Errorf("%d deliveries beyond the first: nothing was sent again", extra)
	}
}

// Guards against a request that is sent to another server, or refused as not run, once its caller has a part of an answer
// that can't be resumed.
func TestNoAttemptFollowsAnAnswerThatHasBegun(t *testing.T) {
	for _, retry := range []RetryRule{RetryResuming, RetryAllowed, RetryNever} {
		w := newDeadlineHarness(t)
		w.view(serving(2)...)
		w.arriveWithDeadline("r", func(a *RequestArrived) { a.Retry = retry })
		w.endAttempt(w.singleDispatch(), func(ev *AttemptEnded) { ev.AnswerBegun = true })
		if sent := effectsOf[Dispatch](w.effects); len(sent) != 0 {
			t.Errorf("retry rule %v: sent again: %+v", retry, sent)
		}
		if r := w.singleRefusal(); r.Outcome == outcome.NotRun {
			t.Errorf("retry rule %v: refusal %+v", retry, r)
		}
	}
}

// Guards against a server that sends bytes without end to each of many requests: it counts as faulty from the first.
func TestServerThatSendsTooMuchGetsNoNewWork(t *testing.T) {
	for _, retry := range []RetryRule{RetryResuming, RetryAllowed, RetryNever} {
		w := newDeadlineHarness(t)
		w.view(serving(2)...)
		w.arriveWithDeadline("first", func(a *RequestArrived) { a.Retry = retry })
		faulty := w.singleDispatch()
		w.endAttempt(faulty, func(ev *AttemptEnded) { ev.AnswerBegun, ev.Oversized = true, true })
		for n := range 6 {
			w.arriveWithDeadline(fmt.Sprintf("next-%d", n), nil)
			for _, d := range effectsOf[Dispatch](w.effects) {
				if d.Server == faulty.Server {
					t.Errorf("retry rule %v: the faulty server got another request", retry)
				}
			}
		}
	}
}
