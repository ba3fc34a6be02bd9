package entry

import (
	"testing"

	"goldcrestseam.dev/goldcrestseam/internal/decision/backpressure"
	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
	"goldcrestseam.dev/goldcrestseam/internal/outcome"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// answered lets engine-0 answer a request with that word.
func (w *world) answered(word backpressure.Word) {
	w.step(ServerReported{
		Server: "engine-0", Incarnation: "life-1", FromResponse: true, SentAt: w.now, Backpressure: word,
		State: engineapi.StateServing, HasLoad: true,
	})
}

// Guards against a word of leaving that a later answer, an older heartbeat or the view takes back.
func TestLeavingSaidInAnAnswerIsFinal(t *testing.T) {
	w := relayedWorld(t)
	w.view(serving(1)...)
	w.answered(backpressure.Word{Leaving: true})
	for _, then := range []func(){
		func() { w.answered(backpressure.Word{}) },
		func() { w.said(0, engineapi.StateServing) },
		func() { w.view(); w.view(serving(1)...) },
		func() { w.after(maxLease) },
	} {
		then()
		w.relayed("r", nil)
		if r := w.refused(); r.Outcome != outcome.NotRun {
			t.Fatalf("refusal %+v", r)
		}
	}
	next := serving(1)
	next[0].Incarnation = "life-2"
	w.view(next...)
	w.relayed("next", nil)
	w.dispatched()
}

// Guards against an entry that sends to a leaving server until it hears an answer of its own.
func TestOthersAreToldThatAServerLeaves(t *testing.T) {
	member, sums := worldsOf(t, manyEntries(191), serving(2)...)
	sums.step(PeerReported{Request: &pb.PeerReport{
		ClusterId: "test", Entry: "another", Incarnation: "p1", Sequence: 1,
		Leaving: []*pb.ServerLeaving{{Server: "engine-0", IncarnationHash: sums.hashOf("engine-0")}},
	}})
	member.step(SumReceived{SentAt: member.now, Sum: sums.askedBy(member, 0)})
	for range 4 {
		member.relayed("r", nil)
		if d := member.dispatched(); d.Server == "engine-0" {
			t.Fatal("the member sends to the server that leaves")
		}
		member.step(CallerDisconnected{RequestID: "r"})
	}
	direct := relayedWorld(t)
	direct.viewWithPeers(2, serving(2)...)
	direct.answered(backpressure.Word{Leaving: true})
	direct.relayed("r1", nil)
	direct.after(second)
	for _, report := range pick[ReportToPeers](direct.renew()) {
		if list := report.Request.GetLeaving(); len(list) == 1 && list[0].GetServer() == "engine-0" {
			return
		}
	}
	t.Error("no report tells that the server leaves")
}

func (w *world) hashOf(server string) uint64 {
	return w.r.servers.byID[server].incarnationHash()
}
