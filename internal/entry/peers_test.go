package entry

import (
	"fmt"
	"testing"

	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// viewWithPeers shows n other entries beside the servers.
func (w *world) viewWithPeers(n int, servers ...*pb.BackendServer) {
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

// Another entry has sent a long prompt to an engine. Its count is one, as that of a short
// prompt elsewhere, and this entry has no answer of it yet: by counts alone the next
// prompt went behind it in half of the cases.
func TestPeersBacklogIsPassedBy(t *testing.T) {
	for i := range 2 {
		w := relayedWorld(t)
		w.viewWithPeers(1, serving(2)...)
		w.step(PeerReported{Request: &pb.PeerReport{
			ClusterId: "test", Entry: "entry-b0", Incarnation: "p1", Sequence: 1,
			Servers: []*pb.ServerBacklog{{
				Server: fmt.Sprint("engine-", i), Requests: 1, UnreadTokens: []uint64{40000}, CacheTokens: 40000,
			}},
		}})
		w.relayed("r1", nil)
		if d := w.dispatched(); d.Server == fmt.Sprint("engine-", i) {
			t.Errorf("went to %s behind 40,000 tokens", d.Server)
		}
	}
}

// Entries report at once when much reading has begun, not more often than every 20 ms,
// short prompts with the next report, and that they have nothing any more.
func TestEntryReportsItsBacklog(t *testing.T) {
	w := relayedWorld(t)
	w.viewWithPeers(2, serving(1)...)
	w.after(minPeerReportInterval)
	long := func(a *RequestArrived) { a.Work.PromptTokens = 10000 }
	w.relayed("r1", long)
	d := w.dispatched()
	reports := pick[ReportToPeers](w.effects)
	if len(reports) != 1 || len(reports[0].Addresses) != 2 || len(reports[0].Request.Servers) != 1 {
		t.Fatalf("reported %+v", reports)
	}
	b := reports[0].Request.Servers[0]
	if b.Server != "engine-0" || b.Requests != 1 || len(b.UnreadTokens) != 1 || b.UnreadTokens[0] != 10000 || b.CacheTokens != 10050 {
		t.Errorf("reported %v", b)
	}
	if early := pick[ReportToPeers](w.relayed("r2", long)); len(early) != 0 {
		t.Errorf("reported again in the same instant: %+v", early)
	}
	second := w.dispatched()
	w.after(minPeerReportInterval)
	if next := pick[ReportToPeers](w.step(Tick{})); len(next) != 1 || next[0].Request.Servers[0].Requests != 2 {
		t.Fatalf("20 ms later: reported %+v", next)
	}
	w.after(minPeerReportInterval)
	if short := pick[ReportToPeers](w.relayed("r3", nil)); len(short) != 0 {
		t.Errorf("reported a prompt of 100 tokens: %+v", short)
	}
	third := w.dispatched()
	for _, d := range []Dispatch{d, second, third} {
		w.ended(d, func(ev *AttemptEnded) { ev.Complete = true })
	}
	w.after(peerReportRepeat)
	last := pick[ReportToPeers](w.step(Tick{}))
	if len(last) != 1 || len(last[0].Request.Servers) != 0 || last[0].Request.Sequence <= reports[0].Request.Sequence {
		t.Fatalf("with nothing any more: reported %+v", last)
	}
	w.after(2 * peerReportRepeat)
	w.renew()
	if more := pick[ReportToPeers](w.step(Tick{})); len(more) != 0 {
		t.Errorf("reported though nothing has changed: %+v", more)
	}
}

// Seventy entries would spend more on reports to each other than on callers: each reports to
// one aggregator alone.
func TestManyEntriesReportToOneAggregator(t *testing.T) {
	w := relayedWorld(t)
	w.viewWithPeers(69, serving(1)...)
	w.relayed("r1", nil)
	w.after(sentReportInterval)
	reports := pick[ReportToPeers](w.step(Tick{}))
	if len(reports) != 1 || len(reports[0].Addresses) != 1 || len(reports[0].Request.Servers) != 1 {
		t.Errorf("reported %+v", reports)
	}
}
