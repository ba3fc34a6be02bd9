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

// told is another entry's word of a server.
func toldAlive(server string, ageMS uint32) *pb.ServerAlive {
	return &pb.ServerAlive{Server: server, IncarnationHash: xxhash.Sum64String("life-1"), AgeMs: ageMS}
}

func toldDied(server string, ageMS uint32) *pb.ServerDied {
	return &pb.ServerDied{Server: server, IncarnationHash: xxhash.Sum64String("life-1"), AgeMs: ageMS}
}

// Control is away and the fleet has more servers than are asked at once. The first ones by
// id were asked again and again; the others were never confirmed and got no work, more than
// half of the fleet, though all of them lived.
func TestAllServersAreAskedWithoutControl(t *testing.T) {
	w := relayedWorld(t)
	w.view(serving(3 * maxProbes)...)
	w.after(maxLease)
	asked := make(map[string]bool)
	for range 4 {
		w.after(probeInterval)
		for _, p := range pick[Probe](w.step(Tick{})) {
			asked[p.Server] = true
		}
	}
	if len(asked) != 3*maxProbes {
		t.Errorf("%d of %d servers were asked", len(asked), 3*maxProbes)
	}
}

// Control is away from nearly two hundred entries. Each would ask each server by itself;
// with aggregators only these ask, each for its share, and members learn from them which
// servers live.
func TestMembersLearnWhoLivesWithoutControl(t *testing.T) {
	entries := manyEntries(191)
	servers := serving(20)
	for i, s := range servers {
		s.DataCentre = fmt.Sprint("dc-", i%5)
	}
	member, sums := worldsOf(t, entries, servers...)
	for _, w := range []*world{member, sums} {
		w.after(maxLease)
		w.step(Tick{})
	}
	if asked := pick[Probe](member.effects); len(asked) != 0 {
		t.Errorf("the member asks %d servers by itself", len(asked))
	}
	if asked := pick[Probe](sums.effects); len(asked) == 0 || len(asked) > 4 {
		t.Errorf("the aggregator asks %d of 20 servers, want its share", len(asked))
	}
	member.relayed("r0", nil)
	member.refused()

	sums.step(PeerReported{Request: &pb.PeerReport{
		ClusterId: "test", Entry: "another", Incarnation: "p1", Sequence: 1,
		Alive: []*pb.ServerAlive{toldAlive("engine-7", 100)},
	}})
	sums.step(SumRequested{Key: "k", Request: &pb.PeerSumRequest{ClusterId: "test", Entry: "entry-0", WantAlive: true}})
	sum := pick[AnswerSum](sums.effects)[0].Sum
	if len(sum.Alive) != 1 || sum.Alive[0].AgeMs != 100 {
		t.Fatalf("told of %v", sum.Alive)
	}
	member.step(SumReceived{SentAt: member.now, Sum: sum})
	member.relayed("r1", nil)
	if d := member.dispatched(); d.Server != "engine-7" {
		t.Errorf("sent to %s", d.Server)
	}
}

// Control is away and one aggregator has seen a server fail. It must still count it when the
// servers are shared out: else those after it are asked by two aggregators or by none, and
// one that nobody asks gets no work until control is back.
func TestEachServerIsAskedByOneAggregator(t *testing.T) {
	entries := manyEntries(191)
	servers := serving(20)
	asked := make(map[string]int)
	for i := range entries {
		w := groupWorld(t, entries, i, servers...)
		if !w.r.peers.group.isAggregator {
			continue
		}
		failed := w.r.servers.byID[fmt.Sprint("engine-", i%len(servers))]
		failed.failures = 1
		w.after(maxLease)
		for _, p := range pick[Probe](w.step(Tick{})) {
			if p.Server != failed.pb.Id {
				asked[p.Server]++
			}
		}
		if own := w.r.peers.group.partition(w.now); ownsServer(&own, servers, failed.pb.Id) {
			asked[failed.pb.Id]++
		}
	}
	for _, s := range servers {
		if asked[s.Id] != 1 {
			t.Errorf("%s is asked by %d aggregators", s.Id, asked[s.Id])
		}
	}
}

// ownsServer tells whether a server is dealt to the dealer's own group.
func ownsServer(d *partition, servers []*pb.BackendServer, id string) bool {
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

// A word that other entries pass on counts from when the server gave it: an old one must not
// let work go to a server that may have left since. One of an earlier life counts for
// nothing, and a server that said itself that it leaves is not brought back.
func TestWordsPassedOnGrowOld(t *testing.T) {
	member, _ := worldsOf(t, manyEntries(191), serving(4)...)
	member.step(ServerReported{Server: "engine-2", Incarnation: "life-1", State: engineapi.StateLeaving})
	member.after(maxLease)
	earlier := toldAlive("engine-1", 0)
	earlier.IncarnationHash++
	member.step(SumReceived{SentAt: member.now, Sum: &pb.PeerSum{
		Aggregator: "a", Alive: []*pb.ServerAlive{toldAlive("engine-0", uint32(confirmationTime.Milliseconds())), earlier, toldAlive("engine-2", 0)},
	}})
	member.relayed("r1", nil)
	if r := member.refused(); r == nil {
		t.Fatal("not refused")
	}
}

// An engine crashes before hundreds of entries. Each found it by a failed attempt of its
// own; told of the first one they leave it out at once. An engine that has answered since is
// not taken for dead, and one that was believed dead is tried again later.
func TestOneFailedAttemptSparesTheOthers(t *testing.T) {
	member, sums := worldsOf(t, manyEntries(191), serving(2)...)
	sums.step(PeerReported{Request: &pb.PeerReport{
		ClusterId: "test", Entry: "another", Incarnation: "p1", Sequence: 1, Died: []*pb.ServerDied{toldDied("engine-0", 0)},
	}})
	sum := sums.askedBy(member, 0)
	if len(sum.Died) != 1 {
		t.Fatalf("told of %v", sum.Died)
	}
	member.after(second)
	member.renew()
	member.said(1, engineapi.StateServing)
	sum.Died = append(sum.Died, toldDied("engine-1", 200))
	member.step(SumReceived{SentAt: member.now, Sum: sum})
	for n := range 3 {
		member.relayed(fmt.Sprint("r", n), nil)
		if d := member.dispatched(); d.Server != "engine-1" {
			t.Errorf("sent to %s, which died", d.Server)
		}
	}
	member.after(peerDeathCoolDown)
	member.renew()
	member.relayed("later", nil)
	if d := member.dispatched(); d.Server != "engine-0" {
		t.Errorf("engine-0 is not tried again: sent to %s", d.Server)
	}
	sums.after(aggregatorReportInterval)
	reports := pick[ReportToPeers](sums.step(Tick{}))
	if len(reports) != 1 || len(reports[0].Request.Died) != 1 {
		t.Errorf("other aggregators are told %+v", reports)
	}
	sums.after(deathReportTime)
	sums.step(Tick{})
	if late := sums.askedBy(member, 0); len(late.Died) != 0 {
		t.Errorf("still told of %v", late.Died)
	}
}

// A member of another group begins a long prompt. Word of it every tenth of a second came
// too late: in a burst two groups sent to the same engine within it, and one of the prompts
// waited a second. Aggregators tell of long prompts at once, of short ones in turn.
func TestLongPromptsAreToldAtOnce(t *testing.T) {
	for tokens, want := range map[uint64]int{20000: 1, 300: 0} {
		_, sums := worldsOf(t, manyEntries(191), serving(2)...)
		sums.after(aggregatorReportInterval)
		sums.r.peers.reportSent(sums.now, true)
		sums.step(PeerReported{Request: &pb.PeerReport{
			ClusterId: "test", Entry: "a member", Incarnation: "p1", Sequence: 1,
			Servers: []*pb.ServerBacklog{{Server: "engine-0", Requests: 1, UnreadTokens: []uint64{0, tokens}}},
		}})
		sums.after(minPeerReportInterval)
		if reports := pick[ReportToPeers](sums.step(Tick{})); len(reports) != want {
			t.Errorf("%d tokens: %d reports after %v, want %d", tokens, len(reports), minPeerReportInterval, want)
		}
	}
}
