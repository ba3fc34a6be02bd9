package entry

import (
	"fmt"
	"testing"

	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// viewWithPeers applies a view with n other entries and these servers.
func (w *harness) viewWithPeers(n int, servers ...*pb.BackendServer) {
	w.version++
	resp := &pb.WatchResponse{
		Version: w.version, Full: true, Revision: w.version, LeaseMs: 1500,
		Objects: testDeclaration(w.version).ToProto().Objects, Servers: servers,
		Entries: []*pb.EntryInfo{{Identity: w.r.cfg.Identity}},
	}
	for i := range n {
		name := fmt.Sprint("entry-b", i)
		resp.Entries = append(resp.Entries, &pb.EntryInfo{Identity: &pb.EntryIdentity{
			Name: name, Incarnation: "p1", DataCentre: "dc-a", PeerAddress: fmt.Sprintf("127.0.1.%d:1", i+1),
		}})
	}
	w.step(ViewReceived{SentAt: w.now, Response: resp})
}

// Guards against a prompt that is queued behind a long prompt of another entry. By request
// counts alone a long prompt looks like a short one, and without a response from that engine the
// next prompt would go there in half of the cases.
func TestPlacementAvoidsPeersBacklog(t *testing.T) {
	for i := range 2 {
		w := newDeadlineHarness(t)
		w.viewWithPeers(1, serving(2)...)
		w.step(PeerReported{Request: &pb.PeerReport{
			ClusterId: "test", Entry: "entry-b0", Incarnation: "p1", Sequence: 1,
			Servers: []*pb.ServerBacklog{{
				Server: fmt.Sprint("engine-", i), Requests: 1, UnreadTokens: []uint64{40000}, CacheTokens: 40000,
			}},
		}})
		w.arriveWithDeadline("r1", nil)
		if d := w.singleDispatch(); d.Server == fmt.Sprint("engine-", i) {
			t.Errorf("dispatched to %s behind 40,000 tokens", d.Server)
		}
	}
}

// An entry must report at once when much prefill work has begun, but not more often than every
// 20 ms. Short prompts are in the next report, and so is the information that it has no requests
// left.
func TestEntryReportsItsBacklog(t *testing.T) {
	w := newDeadlineHarness(t)
	w.viewWithPeers(2, serving(1)...)
	w.advance(minPeerReportInterval)
	longPrompt := func(a *RequestArrived) { a.Work.PromptTokens = 10000 }
	w.arriveWithDeadline("r1", longPrompt)
	d := w.singleDispatch()
	reports := effectsOf[ReportToPeers](w.effects)
	if len(reports) != 1 || len(reports[0].Addresses) != 2 || len(reports[0].Request.Servers) != 1 {
		t.Fatalf("reported %+v", reports)
	}
	b := reports[0].Request.Servers[0]
	if b.Server != "engine-0" || b.Requests != 1 || len(b.UnreadTokens) != 1 || b.UnreadTokens[0] != 10000 || b.CacheTokens != 10050 {
		t.Errorf("reported %v", b)
	}
	if early := effectsOf[ReportToPeers](w.arriveWithDeadline("r2", longPrompt)); len(early) != 0 {
		t.Errorf("reported again in the same instant: %+v", early)
	}
	secondDispatch := w.singleDispatch()
	w.advance(minPeerReportInterval)
	if next := effectsOf[ReportToPeers](w.step(Tick{})); len(next) != 1 || next[0].Request.Servers[0].Requests != 2 {
		t.Fatalf("20 ms later: reported %+v", next)
	}
	w.advance(minPeerReportInterval)
	if short := effectsOf[ReportToPeers](w.arriveWithDeadline("r3", nil)); len(short) != 0 {
		t.Errorf("reported a prompt of 100 tokens: %+v", short)
	}
	thirdDispatch := w.singleDispatch()
	for _, d := range []Dispatch{d, secondDispatch, thirdDispatch} {
		w.endAttempt(d, func(ev *AttemptEnded) { ev.Complete = true })
	}
	w.advance(peerReportRepeat)
	last := effectsOf[ReportToPeers](w.step(Tick{}))
	if len(last) != 1 || len(last[0].Request.Servers) != 0 || last[0].Request.Sequence <= reports[0].Request.Sequence {
		t.Fatalf("without requests: reported %+v", last)
	}
	w.advance(2 * peerReportRepeat)
	w.renew()
	if more := effectsOf[ReportToPeers](w.step(Tick{})); len(more) != 0 {
		t.Errorf("reported though nothing has changed: %+v", more)
	}
}

// Guards against 70 entries that spend more on reports to each other than on callers. Each
// reports to one aggregator.
func TestManyEntriesReportToOneAggregator(t *testing.T) {
	w := newDeadlineHarness(t)
	w.viewWithPeers(69, serving(1)...)
	w.arriveWithDeadline("r1", nil)
	w.advance(sentReportInterval)
	reports := effectsOf[ReportToPeers](w.step(Tick{}))
	if len(reports) != 1 || len(reports[0].Addresses) != 1 || len(reports[0].Request.Servers) != 1 {
		t.Errorf("reported %+v", reports)
	}
}
