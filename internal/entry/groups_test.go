package entry

import (
	"fmt"
	"testing"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// entriesInFiveDataCentres returns n entries in five data centres.
func entriesInFiveDataCentres(n int) []*pb.EntryIdentity {
	var list []*pb.EntryIdentity
	for i := range n {
		list = append(list, &pb.EntryIdentity{
			Name: fmt.Sprint("entry-", i), Incarnation: "p1", DataCentre: fmt.Sprint("dc-", i%5),
			PeerAddress: fmt.Sprintf("127.0.%d.%d:1", 1+i/200, 1+i%200),
		})
	}
	return list
}

// newGroupHarness is one of many entries that all have the same view.
func newGroupHarness(t *testing.T, entries []*pb.EntryIdentity, self int, servers ...*pb.BackendServer) *harness {
	w := newDeadlineHarness(t)
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

// memberAndAggregator returns the first group member and its aggregator.
func memberAndAggregator(t *testing.T, entries []*pb.EntryIdentity, servers ...*pb.BackendServer) (member, aggregator *harness) {
	t.Helper()
	for i := range entries {
		if w := newGroupHarness(t, entries, i, servers...); w.r.peers.group.isGroupMember() {
			member = w
			break
		}
	}
	address := member.r.peers.group.aggregatorAddress(member.now)
	for i, id := range entries {
		if id.PeerAddress == address {
			return member, newGroupHarness(t, entries, i, servers...)
		}
	}
	t.Fatalf("the aggregator %s is not an entry", address)
	return nil, nil
}

// requestSum returns the aggregator's answer to a group member.
func (w *harness) requestSum(member *harness, from uint64) *pb.PeerSum {
	w.t.Helper()
	w.step(SumRequested{Key: "k", Request: &pb.PeerSumRequest{
		ClusterId: "test", Entry: member.r.cfg.Identity.Name, ReadsFrom: from, Aggregator: w.r.cfg.Identity.Incarnation,
	}})
	answers := effectsOf[AnswerSum](w.effects)
	if len(answers) != 1 || answers[0].Key != "k" {
		w.t.Fatalf("answered %+v", answers)
	}
	return answers[0].Sum
}

// All entries must select the same aggregators without communication, some in each data centre.
// No group may be much larger than groupSize, and each group member has an aggregator.
func TestEntriesAgreeOnTheirAggregators(t *testing.T) {
	for _, n := range []int{84, 191, 330} {
		entries := entriesInFiveDataCentres(n)
		first := newGroupHarness(t, entries, 0).r.peers.group.aggregators
		if want := 5 * ((n/5 + groupSize) / groupSize); len(first) > want || len(first) < n/groupSize {
			t.Errorf("%d entries have %d aggregators", n, len(first))
		}
		members := make(map[string]int)
		for i, id := range entries {
			g := newGroupHarness(t, entries, i).r.peers.group
			if len(g.aggregators) != len(first) {
				t.Fatalf("entry %d knows %d aggregators, the first one %d", i, len(g.aggregators), len(first))
			}
			if g.isAggregator != first[id.Name] {
				t.Errorf("entry %d is an aggregator: %v, in the first one's view: %v", i, g.isAggregator, first[id.Name])
			}
			if a := g.aggregator(time.Second); a != nil {
				members[a.name]++
				if !first[a.name] {
					t.Errorf("entry %d reports to %s, which is not an aggregator", i, a.name)
				}
			}
		}
		for name, count := range members {
			if count > 2*groupSize {
				t.Errorf("%d entries: the group of %s has %d members", n, name, count)
			}
		}
	}
}

// Guards against a group member that chooses a server without knowing of a long prompt that
// another member has just sent there, or that counts its own prompts twice.
func TestGroupMemberLearnsOthersBacklogsBeforePlacement(t *testing.T) {
	entries := entriesInFiveDataCentres(191)
	member, aggregator := memberAndAggregator(t, entries, serving(2)...)
	aggregator.step(PeerReported{Request: &pb.PeerReport{
		ClusterId: "test", Entry: "another", Incarnation: "p1", Sequence: 1,
		Servers: []*pb.ServerBacklog{{Server: "engine-0", Requests: 1, UnreadTokens: []uint64{40000}, CacheTokens: 40000}},
	}})
	aggregator.step(PeerReported{Request: &pb.PeerReport{
		ClusterId: "test", Entry: member.r.cfg.Identity.Name, Incarnation: "p1", Sequence: 1,
		Servers: []*pb.ServerBacklog{{Server: "engine-1", Requests: 1, UnreadTokens: []uint64{70000}}},
	}})
	sum := aggregator.requestSum(member, 0)
	if len(sum.Servers) != 1 || sum.Servers[0].Server != "engine-0" || sum.Entries != 2 {
		t.Fatalf("the sum is %v", sum)
	}
	member.step(SumReceived{Sum: sum})
	member.arriveWithDeadline("r1", nil)
	if d := member.singleDispatch(); d.Server != "engine-1" {
		t.Errorf("dispatched to %s behind 40,000 tokens", d.Server)
	}
	line := effectsOf[LogDecision](member.effects)[0]
	if line.Source != SourceAggregator {
		t.Errorf("the log line says that the load is known from %q", line.Source)
	}
}

// Guards against prompts that count several times. An aggregator reports the sum of its own
// group to the other aggregators, and nothing that it received from them.
func TestAggregatorReportsItsOwnGroupOnly(t *testing.T) {
	_, aggregator := memberAndAggregator(t, entriesInFiveDataCentres(191), serving(2)...)
	report := func(from string, summed uint32, server string) {
		aggregator.step(PeerReported{Request: &pb.PeerReport{
			ClusterId: "test", Entry: from, Incarnation: "p1", Sequence: 1, Summed: summed,
			Servers: []*pb.ServerBacklog{{Server: server, Requests: 1, UnreadTokens: []uint64{500}}},
		}})
	}
	report("another aggregator", 18, "engine-0")
	report("a member", 0, "engine-1")
	aggregator.advance(aggregatorReportInterval)
	reports := effectsOf[ReportToPeers](aggregator.step(Tick{}))
	if len(reports) != 1 {
		t.Fatalf("reported %+v", reports)
	}
	if req := reports[0].Request; len(req.Servers) != 1 || req.Servers[0].Server != "engine-1" || req.Summed != 1 {
		t.Errorf("reported %v", req)
	}
	for _, address := range reports[0].Addresses {
		if address == aggregator.r.cfg.Identity.PeerAddress {
			t.Error("reported to itself")
		}
	}
}

// Guards against a group member that waits at each request for an aggregator that does not
// answer. It backs off, reports to another aggregator after some timeouts, and returns later.
func TestUnresponsiveAggregatorIsAvoided(t *testing.T) {
	member, aggregator := memberAndAggregator(t, entriesInFiveDataCentres(191), serving(2)...)
	member.arriveWithDeadline("r1", nil)
	first := aggregator.r.cfg.Identity.PeerAddress
	for i := range 3 {
		if at := member.r.peers.group.aggregatorAddress(member.now); at != first {
			t.Fatalf("asks %q after %d timeouts", at, i)
		}
		snap := effectsOf[Publish](member.step(AggregatorTimedOut{Address: first}))
		if len(snap) != 1 || snap[0].Snapshot.Aggregator == first && snap[0].Snapshot.AskAggregatorFrom <= member.now {
			t.Errorf("%q is asked at once after %d timeouts", first, i+1)
		}
		member.advance(firstTimeoutBackoff << i)
	}
	if next := member.r.peers.group.aggregatorAddress(member.now); next == first || next == "" {
		t.Fatalf("the group member asks %q after %q timed out", next, first)
	}
	member.advance(endReportInterval)
	reports := effectsOf[ReportToPeers](member.step(Tick{}))
	if len(reports) != 1 || reports[0].Addresses[0] == first || len(reports[0].Request.Servers) != 1 {
		t.Fatalf("reported %+v", reports)
	}
	member.advance(aggregatorAvoidance)
	if again := member.r.peers.group.aggregatorAddress(member.now); again != first {
		t.Errorf("asks %q after the avoidance time, not %q", again, first)
	}
}

// Guards against a false report of an idle fleet. Views differ for a moment, and a group member
// asks an entry that is not an aggregator in its own view and knows nothing of the others. The
// entry must say so.
func TestOnlyAggregatorsGiveSums(t *testing.T) {
	member, _ := memberAndAggregator(t, entriesInFiveDataCentres(191), serving(2)...)
	if sum := member.requestSum(member, 0); sum != nil {
		t.Errorf("an entry that is no aggregator returned the sum %v", sum)
	}
	member.step(PeerReported{Request: &pb.PeerReport{
		ClusterId: "test", Entry: "another", Incarnation: "p1", Sequence: 1,
		Servers: []*pb.ServerBacklog{{Server: "engine-0", Requests: 1, UnreadTokens: []uint64{40000}}},
	}})
	if known := member.r.peers.knownFraction(member.r); known != 0 {
		t.Errorf("a report counts at a group member: fraction %v known", known)
	}
}

// Guards against prefixes that a group member gets twice or never. A member that was away, or
// that asks for the first time, gets those that are still kept.
func TestPrefixesAreReportedOnce(t *testing.T) {
	member, aggregator := memberAndAggregator(t, entriesInFiveDataCentres(191), serving(2)...)
	recordPrefix := func(chain uint64) {
		aggregator.r.peers.recordPrefix(&pb.PartsRead{Server: "engine-0", Chain: []uint64{chain}})
	}
	recordPrefix(1)
	recordPrefix(2)
	first := aggregator.requestSum(member, 0)
	if len(first.Reads) != 2 || first.ReadsNext != 3 {
		t.Fatalf("first answer %v", first)
	}
	if again := aggregator.requestSum(member, first.ReadsNext); len(again.Reads) != 0 || again.ReadsNext != 3 {
		t.Errorf("the same prefixes again: %v", again)
	}
	recordPrefix(3)
	if next := aggregator.requestSum(member, first.ReadsNext); len(next.Reads) != 1 || next.Reads[0].Chain[0] != 3 {
		t.Errorf("next answer %v", next)
	}
	for chain := range uint64(3 * prefixLogSize) {
		recordPrefix(chain)
	}
	if all := aggregator.requestSum(member, 4); len(all.Reads) != prefixLogSize {
		t.Errorf("%d prefixes reported, want the size of the log", len(all.Reads))
	}
}

// Guards against an idle group member that counts as unknown because it reports rarely, and
// against a busy one that still counts as known after its reports stop.
func TestIdleGroupMembersStayKnown(t *testing.T) {
	member, aggregator := memberAndAggregator(t, entriesInFiveDataCentres(191), serving(2)...)
	reportBacklog := func(from string, servers ...*pb.ServerBacklog) {
		aggregator.step(PeerReported{Request: &pb.PeerReport{
			ClusterId: "test", Entry: from, Incarnation: "p1", Sequence: 1, Servers: servers,
		}})
	}
	reportBacklog("idle")
	reportBacklog("busy", &pb.ServerBacklog{Server: "engine-0", Requests: 1})
	aggregator.advance(idleReportInterval + decision.PeerReportTTL)
	if sum := aggregator.requestSum(member, 0); sum.Entries != 2 {
		t.Errorf("%d entries known, want the idle one and the aggregator", sum.Entries)
	}
}
