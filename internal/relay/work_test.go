package relay

import (
	"context"
	"testing"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/clock"
	"goldcrestseam.dev/goldcrestseam/internal/declaration"
	"goldcrestseam.dev/goldcrestseam/internal/entry"
	"goldcrestseam.dev/goldcrestseam/internal/host"
	"goldcrestseam.dev/goldcrestseam/internal/settings"
)

// A caller waits 600 ms from the moment it sends; the entry counted them from the moment
// it had read the request. Its last word, at the end of the 600 ms, met a closed connection:
// 541 of the requests of one day ended so ("how":"caller gone"), 12 with a refusal. What the
// way there and back takes, up to 3 ms each, has to be left of the caller's time.
func TestDeadlineLeavesTimeForTheAnswersWay(t *testing.T) {
	const oneWay = 3 * time.Millisecond
	d := &declaration.Declaration{
		Profiles: []declaration.Profile{{Name: "lookups", Class: declaration.ClassLookup, FirstToken: 150 * time.Millisecond}},
		Services: []declaration.Service{{Name: "portal", Kind: declaration.KindPlain}},
	}
	s := &Server{host: &host.Host{Settings: &settings.Entry{}}}
	route := &declaration.HostRoute{Name: "lookups", Profile: "lookups", Timeout: 2 * time.Second, Targets: []declaration.RouteTarget{{Service: "portal"}}}
	at := time.Hour
	for _, patience := range []time.Duration{300 * time.Millisecond, 600 * time.Millisecond, time.Second} {
		sent := at - oneWay
		got := s.arrived(&Request{ID: "r1", Patience: patience}, at, route, &entry.Snapshot{Declaration: d})
		if left := sent + patience - oneWay - got.Work.FinishBy; left < 0 {
			t.Errorf("the last answer to a caller that waits %v comes %v too late", patience, -left)
		}
	}
}

// A stream that had begun was cut 20 ms before its caller left: the caller lost the events
// that were under way and could have had until then, and no refusal can follow a stream.
// Time is over for it only when its caller leaves, for a request without an answer before.
func TestBegunStreamRunsUntilItsCallerLeaves(t *testing.T) {
	const left = 30 * time.Millisecond
	for _, begun := range []bool{false, true} {
		j := &job{}
		j.begun.Store(begun)
		j.arrived.Work.FinishBy = clock.SinceBoot() + left
		ctx, cancel := j.withLimit(t.Context())
		<-ctx.Done()
		over := clock.SinceBoot() - j.arrived.Work.FinishBy
		if over < 0 || begun && over < answerWay {
			t.Errorf("begun %v: its time was over %v from its deadline", begun, over)
		}
		if callerLeft(ctx) {
			t.Errorf("begun %v: the end of its time is taken for its caller's leaving", begun)
		}
		cancel()
	}
}

// A caller that leaves ends its request at once, and is not answered.
func TestLeavingCallerIsNotTakenForTheEndOfTime(t *testing.T) {
	j := &job{}
	j.arrived.Work.FinishBy = clock.SinceBoot() + time.Hour
	served, leave := context.WithCancel(t.Context())
	ctx, cancel := j.withLimit(served)
	defer cancel()
	leave()
	<-ctx.Done()
	if !callerLeft(ctx) {
		t.Fatal("a caller that left is taken for one whose time is over")
	}
}
