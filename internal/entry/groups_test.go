package entry

import (
	"fmt"
	"testing"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// manyEntries are n entries in five data centres.
func manyEntries(n int) []*pb.EntryIdentity {
	var list []*pb.EntryIdentity
	for i := range n {
		list = append(list, &pb.EntryIdentity{
			Name: fmt.Sprint("entry-", i), Incarnation: "p1", DataCentre: fmt.Sprint("dc-", i%5),
			PeerAddress: fmt.Sprintf("127.0.%d.%d:1", 1+i/200, 1+i%200),
		})
	}
	return list
}

// groupWorld is one of many entries that all hold the same view.
func groupWorld(t *testing.T, entries []*pb.EntryIdentity, self int, servers ...*pb.BackendServer) *world {
	w := relayedWorld(t)
	w.r.cfg.Identity = entries[self]
	w.version++
	resp := &pb.WatchResponse{
		Version: w.version, Full: true, Revision: w.version, LeaseMs: 1500,
		Objects: testDeclaration(w.version).ToProto().Objects, Servers: servers,
	}
	for _, id := range entries {
		resp.Entries = append(resp.Entries, &pb.EntryInfo{Identity: id})
	}
	w.step(ViewReceived{SentAt: w.now, Response: resp})
	return w
}

// worldsOf gives the first member and its aggregator.
func worldsOf(t *testing.T, entries []*pb.EntryIdentity, servers ...*pb.BackendServer) (member, sums *world) {
	t.Helper()
	for i := range entries {
		if w := groupWorld(t, entries, i, servers...); w.r.peers.group.isGroupMember() {
			member = w
			break
		}
	}
	address := member.r.peers.group.aggregatorAddress(member.now)
	for i, id := range entries {
		if id.PeerAddress == address {
			return member, groupWorld(t, entries, i, servers...)
		}
	}
	t.Fatalf("the aggregator %s is no entry", address)
	return nil, nil
}

// askedBy gives the aggregator's answer to a member.
func (w *world) askedBy(member *world, from uint64) *pb.PeerSum {
	w.t.Helper()
	w.step(SumRequested{Key: "k", Request: &pb.PeerSumRequest{
		ClusterId: "test", Entry: member.r.cfg.Identity.Name, ReadsFrom: from, Aggregator: w.r.cfg.Identity.Incarnation,
	}})
	answers := pick[AnswerSum](w.effects)
	if len(answers) != 1 || answers[0].Key != "k" {
		w.t.Fatalf("answered %+v", answers)
	}
	return answers[0].Sum
}

// All entries must choose the same aggregators without a word between them, some in each
// data centre, none of them a group much larger than groupMembers; each member has one that
// is near.
func TestEntriesAgreeOnTheirAggregators(t *testing.T) {
	for _, n := range []int{84, 191, 330} {
		entries := manyEntries(n)
		first := groupWorld(t, entries, 0).r.peers.group.aggregators
		if want := 5 * ((n/5 + groupSize) / groupSize); len(first) > want || len(first) < n/groupSize {
			t.Errorf("%d entries have %d aggregators", n, len(first))
		}
		members := make(map[string]int)
		for i, id := range entries {
			g := groupWorld(t, entries, i).r.peers.group
			if len(g.aggregators) != len(first) {
				t.Fatalf("entry %d counts %d aggregators, the first %d", i, len(g.aggregators), len(first))
			}
			if g.isAggregator != first[id.Name] {
				t.Errorf("entry %d aggregates: %v, by the first one's view: %v", i, g.isAggregator, first[id.Name])
			}
			if a := g.aggregator(time.Second); a != nil {
				members[a.name]++
				if !first[a.name] {
					t.Errorf("entry %d reports to %s, which is none", i, a.name)
				}
			}
		}
		for name, count := range members {
			if count > 2*groupSize {
				t.Errorf("%d entries: %s has %d members", n, name, count)
			}
		}
	}
}

// One member has sent a long prompt to an engine. Another one is about to choose: it must
// learn of the prompt before it does, and its own prompts must not count twice.
func TestMemberLearnsOfOthersBeforeItChooses(t *testing.T) {
	entries := manyEntries(191)
	member, sums := worldsOf(t, entries, serving(2)...)
	sums.step(PeerReported{Request: &pb.PeerReport{
		ClusterId: "test", Entry: "another", Incarnation: "p1", Sequence: 1,
		Servers: []*pb.ServerBacklog{{Server: "engine-0", Requests: 1, UnreadTokens: []uint64{40000}, CacheTokens: 40000}},
	}})
	sums.step(PeerReported{Request: &pb.PeerReport{
		ClusterId: "test", Entry: member.r.cfg.Identity.Name, Incarnation: "p1", Sequence: 1,
		Servers: []*pb.ServerBacklog{{Server: "engine-1", Requests: 1, UnreadTokens: []uint64{70000}}},
	}})
	sum := sums.askedBy(member, 0)
	if len(sum.Servers) != 1 || sum.Servers[0].Server != "engine-0" || sum.Entries != 2 {
		t.Fatalf("the sum is %v", sum)
	}
	member.step(SumReceived{Sum: sum})
	member.relayed("r1", nil)
	if d := member.dispatched(); d.Server != "engine-1" {
		t.Errorf("went to %s behind 40,000 tokens", d.Server)
	}
	line := pick[LogDecision](member.effects)[0]
	if line.Source != SourceAggregator {
		t.Errorf("the line says that the load was known from %q", line.Source)
	}
}

// Aggregators tell each other their members' sums and no more: what one was told by another
// must not come back to it, or the same prompt counts again at each of them.
func TestAggregatorTellsItsOwnGroupOnly(t *testing.T) {
	_, sums := worldsOf(t, manyEntries(191), serving(2)...)
	report := func(from string, summed uint32, server string) {
		sums.step(PeerReported{Request: &pb.PeerReport{
			ClusterId: "test", Entry: from, Incarnation: "p1", Sequence: 1, Summed: summed,
			Servers: []*pb.ServerBacklog{{Server: server, Requests: 1, UnreadTokens: []uint64{500}}},
		}})
	}
	report("another aggregator", 18, "engine-0")
	report("a member", 0, "engine-1")
	sums.after(aggregatorReportInterval)
	reports := pick[ReportToPeers](sums.step(Tick{}))
	if len(reports) != 1 {
		t.Fatalf("reported %+v", reports)
	}
	if req := reports[0].Request; len(req.Servers) != 1 || req.Servers[0].Server != "engine-1" || req.Summed != 1 {
		t.Errorf("reported %v", req)
	}
	for _, address := range reports[0].Addresses {
		if address == sums.r.cfg.Identity.PeerAddress {
			t.Error("reported to itself")
		}
	}
}

// The aggregator gives no answers. The member must not wait for it at each of its requests:
// it pauses, reports to another one after some silences, and goes back later.
func TestSilentAggregatorIsPassedBy(t *testing.T) {
	member, sums := worldsOf(t, manyEntries(191), serving(2)...)
	member.relayed("r1", nil)
	first := sums.r.cfg.Identity.PeerAddress
	for i := range 3 {
		if at := member.r.peers.group.aggregatorAddress(member.now); at != first {
			t.Fatalf("asks %q after %d silences", at, i)
		}
		snap := pick[Publish](member.step(AggregatorTimedOut{Address: first}))
		if len(snap) != 1 || snap[0].Snapshot.Aggregator == first && snap[0].Snapshot.AskAggregatorFrom <= member.now {
			t.Errorf("%q is asked at once after %d silences", first, i+1)
		}
		member.after(firstTimeoutPause << i)
	}
	if next := member.r.peers.group.aggregatorAddress(member.now); next == first || next == "" {
		t.Fatalf("the member asks %q after %q was silent", next, first)
	}
	member.after(endReportInterval)
	reports := pick[ReportToPeers](member.step(Tick{}))
	if len(reports) != 1 || reports[0].Addresses[0] == first || len(reports[0].Request.Servers) != 1 {
		t.Fatalf("reported %+v", reports)
	}
	member.after(aggregatorAvoidance)
	if again := member.r.peers.group.aggregatorAddress(member.now); again != first {
		t.Errorf("asks %q later, not %q", again, first)
	}
}

// Entries hold different views for a moment: a member asks one that does not take itself
// for an aggregator and knows nothing of the others. It must say so and not tell of an
// idle fleet.
func TestOnlyAggregatorsGiveSums(t *testing.T) {
	member, _ := worldsOf(t, manyEntries(191), serving(2)...)
	if sum := member.askedBy(member, 0); sum != nil {
		t.Errorf("a member gave the sum %v", sum)
	}
	member.step(PeerReported{Request: &pb.PeerReport{
		ClusterId: "test", Entry: "another", Incarnation: "p1", Sequence: 1,
		Servers: []*pb.ServerBacklog{{Server: "engine-0", Requests: 1, UnreadTokens: []uint64{40000}}},
	}})
	if known := member.r.peers.knownFraction(member.r); known != 0 {
		t.Errorf("a report counts at a member: %v known", known)
	}
}

// A member has been away for a while, or asks for the first time: it is told what servers
// have read as far as that is kept, and nothing twice.
func TestReadsAreToldOnce(t *testing.T) {
	member, sums := worldsOf(t, manyEntries(191), serving(2)...)
	read := func(chain uint64) {
		sums.r.peers.recordPrefix(&pb.PartsRead{Server: "engine-0", Chain: []uint64{chain}})
	}
	read(1)
	read(2)
	first := sums.askedBy(member, 0)
	if len(first.Reads) != 2 || first.ReadsNext != 3 {
		t.Fatalf("first told %v", first)
	}
	if again := sums.askedBy(member, first.ReadsNext); len(again.Reads) != 0 || again.ReadsNext != 3 {
		t.Errorf("told again %v", again)
	}
	read(3)
	if next := sums.askedBy(member, first.ReadsNext); len(next.Reads) != 1 || next.Reads[0].Chain[0] != 3 {
		t.Errorf("told next %v", next)
	}
	for chain := range uint64(3 * prefixLogSize) {
		read(chain)
	}
	if all := sums.askedBy(member, 4); len(all.Reads) != prefixLogSize {
		t.Errorf("%d of many told", len(all.Reads))
	}
}

// An idle member reports seldom. It must not be taken for one that is unknown meanwhile,
// and one that falls silent with work must be.
func TestIdleMembersStayKnown(t *testing.T) {
	member, sums := worldsOf(t, manyEntries(191), serving(2)...)
	idle := func(from string, servers ...*pb.ServerBacklog) {
		sums.step(PeerReported{Request: &pb.PeerReport{
			ClusterId: "test", Entry: from, Incarnation: "p1", Sequence: 1, Servers: servers,
		}})
	}
	idle("idle")
	idle("busy", &pb.ServerBacklog{Server: "engine-0", Requests: 1})
	sums.after(idleReportInterval + decision.PeerReportFor)
	if sum := sums.askedBy(member, 0); sum.Entries != 2 {
		t.Errorf("%d entries known, want the idle one and the aggregator", sum.Entries)
	}
}
