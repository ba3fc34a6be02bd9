package entry

import (
	"testing"

	"goldcrestseam.dev/goldcrestseam/internal/decision/backpressure"
	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
	"goldcrestseam.dev/goldcrestseam/internal/outcome"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// respond lets engine-0 answer a request with that backpressure information.
func (w *harness) respond(signal backpressure.Signal) {
	w.step(ServerReported{
		Server: "engine-0", Incarnation: "life-1", FromResponse: true, SentAt: w.now, Backpressure: signal,
		State: engineapi.StateServing, HasLoad: true,
	})
}

// Guards against a report of leaving that a later response, an older heartbeat or the view takes
// back.
func TestLeavingReportedInAResponseIsFinal(t *testing.T) {
	w := newDeadlineHarness(t)
	w.view(serving(1)...)
	w.respond(backpressure.Signal{Leaving: true})
	for _, follow := range []func(){
		func() { w.respond(backpressure.Signal{}) },
		func() { w.reportState(0, engineapi.StateServing) },
		func() { w.view(); w.view(serving(1)...) },
		func() { w.advance(maxLease) },
	} {
		follow()
		w.arriveWithDeadline("r", nil)
		if r := w.singleRefusal(); r.Outcome != outcome.NotRun {
			t.Fatalf("refusal %+v", r)
		}
	}
	w.wantNextIncarnationServing()
}

// Guards against a view that takes back the leaving of an incarnation, as a leader of an earlier
// build may send after a late announcement.
func TestLeavingInTheViewIsFinal(t *testing.T) {
	for name, meanwhile := range map[string]func(w *harness){
		"at once":       func(w *harness) {},
		"after GONE":    func(w *harness) { w.viewState(pb.ServerState_SERVER_STATE_GONE) },
		"after removal": func(w *harness) { w.view() },
	} {
		t.Run(name, func(t *testing.T) {
			w := newDeadlineHarness(t)
			w.view(serving(1)...)
			w.viewState(pb.ServerState_SERVER_STATE_LEAVING)
			meanwhile(w)
			w.view(serving(1)...)
			w.arriveWithDeadline("r", nil)
			if r := w.singleRefusal(); r.Outcome != outcome.NotRun {
				t.Fatalf("refusal %+v", r)
			}
			w.wantNextIncarnationServing()
		})
	}
}

// wantNextIncarnationServing restarts the server, which must get requests as usual.
func (w *harness) wantNextIncarnationServing() {
	next := serving(1)
	next[0].Incarnation = "life-2"
	w.view(next...)
	w.arriveWithDeadline("next", nil)
	w.singleDispatch()
}

func (w *harness) viewState(state pb.ServerState) {
	list := serving(1)
	list[0].State = state
	w.view(list...)
}

// Guards against an entry that sends requests to a leaving server until it gets a response of
// its own from it.
func TestLeavingServerIsReportedToOtherEntries(t *testing.T) {
	member, aggregator := memberAndAggregator(t, entriesInFiveDataCentres(191), serving(2)...)
	aggregator.step(PeerReported{Request: &pb.PeerReport{
		ClusterId: "test", Entry: "another", Incarnation: "p1", Sequence: 1,
		Leaving: []*pb.ServerLeaving{{Server: "engine-0", IncarnationHash: aggregator.incarnationHashOf("engine-0")}},
	}})
	member.step(SumReceived{SentAt: member.now, Sum: aggregator.requestSum(member, 0)})
	for range 4 {
		member.arriveWithDeadline("r", nil)
		if d := member.singleDispatch(); d.Server == "engine-0" {
			t.Fatal("the group member sends to the leaving server")
		}
		member.step(CallerDisconnected{RequestID: "r"})
	}
	ungrouped := newDeadlineHarness(t)
	ungrouped.viewWithPeers(2, serving(2)...)
	ungrouped.respond(backpressure.Signal{Leaving: true})
	ungrouped.arriveWithDeadline("r1", nil)
	ungrouped.advance(second)
	for _, report := range effectsOf[ReportToPeers](ungrouped.renew()) {
		if list := report.Request.GetLeaving(); len(list) == 1 && list[0].GetServer() == "engine-0" {
			return
		}
	}
	t.Error("no report contains the leaving server")
}

func (w *harness) incarnationHashOf(server string) uint64 {
	return w.r.servers.byID[server].incarnationHash()
}
