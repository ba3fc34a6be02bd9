package entry

import (
	"cmp"
	"fmt"
	"slices"
	"testing"

	"github.com/cespare/xxhash/v2"

	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// aliveReport is another entry's report that a server is serving.
func aliveReport(server string, ageMS uint32) *pb.ServerAlive {
	return &pb.ServerAlive{Server: server, IncarnationHash: xxhash.Sum64String("life-1"), AgeMs: ageMS}
}

func deathReport(server string, ageMS uint32) *pb.ServerDied {
	return &pb.ServerDied{Server: server, IncarnationHash: xxhash.Sum64String("life-1"), AgeMs: ageMS}
}

// Guards against servers that are never probed. Without control, in a fleet with more servers
// than one round probes, the first ones by id would be probed again and again. The others,
// more than half of the fleet, would never be confirmed and get no requests although they serve.
func TestAllServersAreProbedWithoutControl(t *testing.T) {
	w := newDeadlineHarness(t)
	w.view(serving(3 * maxProbes)...)
	w.advance(maxLease)
	probed := make(map[string]bool)
	for range 4 {
		w.advance(probeInterval)
		for _, p := range effectsOf[Probe](w.step(Tick{})) {
			probed[p.Server] = true
		}
	}
	if len(probed) != 3*maxProbes {
		t.Errorf("%d of %d servers were probed", len(probed), 3*maxProbes)
	}
}

// Guards against hundreds of entries that each probe all servers while control is down. Only
// aggregators probe, each its share of the servers, and group members learn from them which
// servers are alive.
func TestGroupMembersLearnLiveServersWithoutControl(t *testing.T) {
	entries := entriesInFiveDataCentres(191)
	servers := serving(20)
	for i, s := range servers {
		s.DataCentre = fmt.Sprint("dc-", i%5)
	}
	member, aggregator := memberAndAggregator(t, entries, servers...)
	for _, w := range []*harness{member, aggregator} {
		w.advance(maxLease)
		w.step(Tick{})
	}
	if probes := effectsOf[Probe](member.effects); len(probes) != 0 {
		t.Errorf("the group member probes %d servers by itself", len(probes))
	}
	if probes := effectsOf[Probe](aggregator.effects); len(probes) == 0 || len(probes) > 4 {
		t.Errorf("the aggregator probes %d of 20 servers, want its share", len(probes))
	}
	member.arriveWithDeadline("r0", nil)
	member.singleRefusal()

	aggregator.step(PeerReported{Request: &pb.PeerReport{
		ClusterId: "test", Entry: "another", Incarnation: "p1", Sequence: 1,
		Alive: []*pb.ServerAlive{aliveReport("engine-7", 100)},
	}})
	aggregator.step(SumRequested{Key: "k", Request: &pb.PeerSumRequest{ClusterId: "test", Entry: "entry-0", WantAlive: true}})
	sum := effectsOf[AnswerSum](aggregator.effects)[0].Sum
	if len(sum.Alive) != 1 || sum.Alive[0].AgeMs != 100 {
		t.Fatalf("the sum contains %v", sum.Alive)
	}
	member.step(SumReceived{SentAt: member.now, Sum: sum})
	member.arriveWithDeadline("r1", nil)
	if d := member.singleDispatch(); d.Server != "engine-7" {
		t.Errorf("dispatched to %s", d.Server)
	}
}

// Guards against servers that two aggregators probe or none. One aggregator has seen a server
// fail and must still count it when the servers are divided up. Otherwise all servers after it
// are assigned differently, and one that nobody probes gets no requests until control is back.
func TestEachServerIsProbedByOneAggregator(t *testing.T) {
	entries := entriesInFiveDataCentres(191)
	servers := serving(20)
	probed := make(map[string]int)
	for i := range entries {
		w := newGroupHarness(t, entries, i, servers...)
		if !w.r.peers.group.isAggregator {
			continue
		}
		failed := w.r.servers.byID[fmt.Sprint("engine-", i%len(servers))]
		failed.failures = 1
		w.advance(maxLease)
		for _, p := range effectsOf[Probe](w.step(Tick{})) {
			if p.Server != failed.pb.Id {
				probed[p.Server]++
			}
		}
		if own := w.r.peers.group.partition(w.now); assignsToOwnGroup(&own, servers, failed.pb.Id) {
			probed[failed.pb.Id]++
		}
	}
	for _, s := range servers {
		if probed[s.Id] != 1 {
			t.Errorf("%s is probed by %d aggregators", s.Id, probed[s.Id])
		}
	}
}

// assignsToOwnGroup reports whether a server is assigned to the partition's own group.
func assignsToOwnGroup(d *partition, servers []*pb.BackendServer, id string) bool {
	owns := false
	list := slices.Clone(servers)
	slices.SortFunc(list, func(a, b *pb.BackendServer) int { return cmp.Compare(a.Id, b.Id) })
	for _, s := range list {
		if d.groupOf(s) == d.ownGroup && s.Id == id {
			owns = true
		}
	}
	return owns
}

// Guards against forwarded states that count for too long: an old one, one of an earlier
// incarnation, and one of a server that reported itself leaving.
func TestForwardedServerStatesExpire(t *testing.T) {
	member, _ := memberAndAggregator(t, entriesInFiveDataCentres(191), serving(4)...)
	member.step(ServerReported{Server: "engine-2", Incarnation: "life-1", State: engineapi.StateLeaving})
	member.advance(maxLease)
	earlierIncarnation := aliveReport("engine-1", 0)
	earlierIncarnation.IncarnationHash++
	member.step(SumReceived{SentAt: member.now, Sum: &pb.PeerSum{
		Aggregator: "a", Alive: []*pb.ServerAlive{aliveReport("engine-0", uint32(confirmationTime.Milliseconds())), earlierIncarnation, aliveReport("engine-2", 0)},
	}})
	member.arriveWithDeadline("r1", nil)
	if r := member.singleRefusal(); r == nil {
		t.Fatal("not refused")
	}
}

// Guards against hundreds of entries that each discover a crashed engine by a failed attempt.
// After the first report they avoid it. An engine that has answered since does not count as
// crashed, and one that does is tried again later.
func TestReportedCrashKeepsOtherEntriesAway(t *testing.T) {
	member, aggregator := memberAndAggregator(t, entriesInFiveDataCentres(191), serving(2)...)
	aggregator.step(PeerReported{Request: &pb.PeerReport{
		ClusterId: "test", Entry: "another", Incarnation: "p1", Sequence: 1, Died: []*pb.ServerDied{deathReport("engine-0", 0)},
	}})
	sum := aggregator.requestSum(member, 0)
	if len(sum.Died) != 1 {
		t.Fatalf("the sum contains %v", sum.Died)
	}
	member.advance(second)
	member.renew()
	member.reportState(1, engineapi.StateServing)
	sum.Died = append(sum.Died, deathReport("engine-1", 200))
	member.step(SumReceived{SentAt: member.now, Sum: sum})
	for n := range 3 {
		member.arriveWithDeadline(fmt.Sprint("r", n), nil)
		if d := member.singleDispatch(); d.Server != "engine-1" {
			t.Errorf("dispatched to %s, which crashed", d.Server)
		}
	}
	member.advance(peerDeathCoolDown)
	member.renew()
	member.arriveWithDeadline("later", nil)
	if d := member.singleDispatch(); d.Server != "engine-0" {
		t.Errorf("engine-0 is not tried again: dispatched to %s", d.Server)
	}
	aggregator.advance(aggregatorReportInterval)
	reports := effectsOf[ReportToPeers](aggregator.step(Tick{}))
	if len(reports) != 1 || len(reports[0].Request.Died) != 1 {
		t.Errorf("reports to other aggregators: %+v", reports)
	}
	aggregator.advance(deathReportTime)
	aggregator.step(Tick{})
	if late := aggregator.requestSum(member, 0); len(late.Died) != 0 {
		t.Errorf("the sum still contains %v", late.Died)
	}
}

// Guards against groups that send long prompts to the same engine because they learn of each
// other's prompts 100 ms late, so that one of the prompts waits a second. Aggregators report
// long prompts at once and short ones with the next report.
func TestLongPromptsAreReportedAtOnce(t *testing.T) {
	for tokens, want := range map[uint64]int{20000: 1, 300: 0} {
		_, aggregator := memberAndAggregator(t, entriesInFiveDataCentres(191), serving(2)...)
		aggregator.advance(aggregatorReportInterval)
		aggregator.r.peers.reportSent(aggregator.now, true)
		aggregator.step(PeerReported{Request: &pb.PeerReport{
			ClusterId: "test", Entry: "a member", Incarnation: "p1", Sequence: 1,
			Servers: []*pb.ServerBacklog{{Server: "engine-0", Requests: 1, UnreadTokens: []uint64{0, tokens}}},
		}})
		aggregator.advance(minPeerReportInterval)
		if reports := effectsOf[ReportToPeers](aggregator.step(Tick{})); len(reports) != want {
			t.Errorf("%d tokens: %d reports after %v, want %d", tokens, len(reports), minPeerReportInterval, want)
		}
	}
}
