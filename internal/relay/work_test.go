package relay

import (
	"context"
	"io"
	"testing"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/clock"
	"goldcrestseam.dev/goldcrestseam/internal/declaration"
	"goldcrestseam.dev/goldcrestseam/internal/entry"
	"goldcrestseam.dev/goldcrestseam/internal/host"
	"goldcrestseam.dev/goldcrestseam/internal/httpconn"
	"goldcrestseam.dev/goldcrestseam/internal/outcome"
	"goldcrestseam.dev/goldcrestseam/internal/settings"
)

// Guards against an answer that reaches a caller after it has disconnected. The caller counts its
// timeout from when it sends. An entry that counts from when it has read the request sends its
// last refusal on a closed connection: of 553 requests at their deadline 541 ended so ("caller
// gone") and 12 with a refusal. Up to 3 ms each way must be left of the caller's timeout.
func TestDeadlineLeavesTimeForResponseTransit(t *testing.T) {
	const oneWay = 3 * time.Millisecond
	d := &declaration.Declaration{
		Profiles: []declaration.Profile{{Name: "lookups", Class: declaration.ClassLookup, FirstToken: 150 * time.Millisecond}},
		Services: []declaration.Service{{Name: "portal", Kind: declaration.KindPlain}},
	}
	s := &Server{host: &host.Host{Settings: &settings.Entry{}}}
	route := &declaration.HostRoute{Name: "lookups", Profile: "lookups", Timeout: 2 * time.Second, Targets: []declaration.RouteTarget{{Service: "portal"}}}
	arrivedAt := time.Hour
	for _, callerTimeout := range []time.Duration{300 * time.Millisecond, 600 * time.Millisecond, time.Second} {
		sent := arrivedAt - oneWay
		got := s.requestArrived(&Request{ID: "r1", CallerTimeout: callerTimeout}, arrivedAt, route, &entry.Snapshot{Declaration: d}, nil)
		if margin := sent + callerTimeout - oneWay - got.Work.FinishBy; margin < 0 {
			t.Errorf("an answer at the deadline reaches a caller that waits %v %v too late", callerTimeout, -margin)
		}
	}
}

// Guards against a stream that is cut at its deadline, 20 ms before its caller disconnects: the
// caller loses events that would have reached it, and no refusal can follow a stream. A request
// without an answer ends at the deadline, a stream that has begun only when its caller
// disconnects.
func TestStartedStreamOutlivesDeadlineByTransitAllowance(t *testing.T) {
	const remaining = 30 * time.Millisecond
	for _, streamBegun := range []bool{false, true} {
		j := &job{s: &Server{ended: context.Background()}}
		j.streamBegun.Store(streamBegun)
		j.arrived.Work.FinishBy = clock.SinceBoot() + remaining
		ctx, cancel := j.withDeadline(t.Context())
		<-ctx.Done()
		overrun := clock.SinceBoot() - j.arrived.Work.FinishBy
		if overrun < 0 || streamBegun && overrun < transitAllowance {
			t.Errorf("stream begun %v: context ended %v after the deadline", streamBegun, overrun)
		}
		if callerDisconnected(ctx) {
			t.Errorf("stream begun %v: the deadline is taken for a disconnect", streamBegun)
		}
		cancel()
	}
}

// Guards against a disconnect of the caller that is taken for the deadline: the request must end
// at once, without an answer.
func TestCallerDisconnectIsNotTakenForDeadline(t *testing.T) {
	j := &job{s: &Server{ended: context.Background()}}
	j.arrived.Work.FinishBy = clock.SinceBoot() + time.Hour
	requestCtx, disconnect := context.WithCancel(t.Context())
	ctx, cancel := j.withDeadline(requestCtx)
	defer cancel()
	disconnect()
	<-ctx.Done()
	if !callerDisconnected(ctx) {
		t.Fatal("the disconnect is taken for the deadline")
	}
}

// Guards against a crash during a separate prefill that nobody is charged with, and against an answer
// "not run" to a request whose run broke off.
func TestBrokenPrefillIsNoRunButIsRecorded(t *testing.T) {
	broken, notSent := httpconn.Classify(io.EOF), httpconn.Classify(&httpconn.DialError{Cause: io.EOF})
	for _, c := range []struct {
		err           error
		atPrefill     bool
		outcome       outcome.Outcome
		prefillBroken bool
	}{
		{broken, false, outcome.Unknown, false},
		{broken, true, outcome.NotRun, true},
		{notSent, false, outcome.NotRun, false},
		{notSent, true, outcome.NotRun, false},
	} {
		ended := entry.AttemptEnded{Outcome: outcome.NotRun, AtPrefillServer: c.atPrefill}
		classifyFailure(c.err, &ended, false)
		if ended.Outcome != c.outcome || ended.PrefillBroken != c.prefillBroken {
			t.Errorf("%v, at prefill %v: %+v", c.err, c.atPrefill, ended)
		}
	}
}

// Guards against sends that nobody counts as retries: a request that a server has received is passed on
// to another entry, which takes its own send for the first.
func TestDeliveredRequestIsNotPassedOn(t *testing.T) {
	refused := func(code outcome.Code, o outcome.Outcome, silent bool) *entry.Refuse {
		return &entry.Refuse{Refusal: &outcome.Refusal{Code: code, Outcome: o}, ServersSilent: silent}
	}
	for _, c := range []struct {
		job    *job
		refuse *entry.Refuse
		want   bool
	}{
		{&job{}, refused(outcome.CodeNoServer, outcome.NotRun, true), true},
		{&job{unreached: true}, refused(outcome.CodeDeadline, outcome.NotRun, false), true},
		{&job{unreached: true, delivered: true}, refused(outcome.CodeNoServer, outcome.NotRun, true), false},
		{&job{unreached: true}, refused(outcome.CodeServerFailed, outcome.Unknown, true), false},
	} {
		if got := c.job.othersMayServe(c.refuse); got != c.want {
			t.Errorf("unreached %v, delivered %v, %s: passed on %v", c.job.unreached, c.job.delivered, c.refuse.Refusal.Code, got)
		}
	}
}
