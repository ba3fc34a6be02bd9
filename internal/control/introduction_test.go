package control

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/twitchtv/twirp"

	"goldcrestseam.dev/goldcrestseam/internal/consensus"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// newGroupLeader returns the leader of a group of three, a1 to a3. Replica 3 does not answer.
func newGroupLeader(t *testing.T, seeds ...string) *harness {
	t.Helper()
	h := newHarness(t)
	h.stepDown(2)
	h.cfg.Address, h.seeds = "a1", seeds
	list := &pb.Membership{}
	for id, address := range map[uint64]string{1: "a1", 2: "a2", 3: "a3"} {
		list.Members = append(list.Members, &pb.ReplicaMember{
			Identity: &pb.ReplicaIdentity{Id: id, Incarnation: address}, Address: address, Role: pb.ReplicaRole_REPLICA_ROLE_VOTER,
		})
	}
	h.emitOnTick(consensus.MembershipChanged{Membership: list, Committed: list})
	h.node.replicas = []consensus.ReplicaStatus{{ID: 1, Active: true}, {ID: 2, Active: true}, {ID: 3}}
	return h
}

// introduced returns to whom the leader introduces itself within a second, sorted.
func (h *harness) introduced() []string {
	h.introductions = nil
	h.advance(time.Second)
	slices.Sort(h.introductions)
	return slices.Compact(h.introductions)
}

// Guards against a group that leads after a loss of power while nobody who starts can find it: the
// seeds are a replica that waits as a spare and one that has lost its disk.
func TestLeaderIntroducesItselfToSeedsThatDoNotKnowIt(t *testing.T) {
	h := newGroupLeader(t, "spare", "a2", "a3")
	h.becomeLeader(3)
	if got := h.introductions; !slices.Equal(got, []string{"a2", "a3", "spare"}) {
		t.Errorf("a new leader introduces itself to %v, want all seeds", got)
	}
	if got := h.introduced(); !slices.Equal(got, []string{"a3", "spare"}) {
		t.Errorf("it goes on with %v, want those that don't answer as members", got)
	}
	join := &pb.JoinRequest{ClusterId: cluster, Member: &pb.ReplicaMember{
		Identity: &pb.ReplicaIdentity{Id: 9, Incarnation: "i"}, Address: "spare",
	}}
	answer := call[*pb.JoinResponse](h, join)
	if got := answer.GetReplicas(); len(got) != 3 || answer.GetTerm() != 3 {
		t.Errorf("the answer to a spare is %v", answer)
	}
	if got := h.introduced(); !slices.Equal(got, []string{"a3"}) {
		t.Errorf("it introduces itself to %v, want only the member that is silent", got)
	}
	h.advance(askedRecently)
	h.seeds = nil
	if got := h.introduced(); !slices.Equal(got, []string{"a3", "spare"}) {
		t.Errorf("it introduces itself to %v, want also the spare that has stopped asking", got)
	}
	h.node.leaseUntil = 0
	if got := h.introduced(); len(got) > 0 {
		t.Errorf("without a lease it introduces itself to %v", got)
	}
}

// Guards against a replica outside of the group that has been told of the leader and keeps it for
// itself, or names one that is long gone.
func TestReplicaNamesTheLeaderThatItHasHeardOf(t *testing.T) {
	h := newHarness(t)
	h.stepDown(2)
	named := func() string {
		err := h.replies[h.send(&pb.StatusRequest{ClusterId: cluster})].Err
		return err.(twirp.Error).Meta("leader")
	}
	if named() != "" {
		t.Fatalf("names %q before it was told", named())
	}
	call[*pb.IntroduceResponse](h, &pb.IntroduceRequest{ClusterId: cluster, Leader: "b1", Term: 7, Replicas: []string{"b1", "b2"}})
	call[*pb.IntroduceResponse](h, &pb.IntroduceRequest{ClusterId: cluster, Leader: "b0", Term: 6})
	if named() != "b1" {
		t.Errorf("names %q, want the leader of the later term", named())
	}
	h.advance(heardLeaderValidity)
	if named() != "" {
		t.Errorf("names %q long after it heard of it", named())
	}
	h.step(LeaderFound{Leader: "b2", Term: 6, Replicas: []string{"b2"}})
	if named() != "b2" {
		t.Errorf("names %q, want the leader that answered it", named())
	}
}

// Guards against a member that sends callers to a leader it was told of instead of its own.
func TestMemberNamesItsOwnLeader(t *testing.T) {
	h := newGroupLeader(t)
	call[*pb.IntroduceResponse](h, &pb.IntroduceRequest{ClusterId: cluster, Leader: "b1", Term: 9})
	if got := h.leaderAddress(); got != "a2" {
		t.Errorf("names %q, want the leader of its group", got)
	}
}

// Guards against a group that nobody finds from new seeds, since its leader still runs with the
// seeds of its start.
func TestLeaderIntroducesItselfToNewSeeds(t *testing.T) {
	h := newGroupLeader(t, "old")
	h.becomeLeader(3)
	h.advance(time.Second)
	h.step(SeedsChanged{Seeds: []string{"new"}})
	if got := h.introduced(); !slices.Equal(got, []string{"a3", "new"}) {
		t.Errorf("it introduces itself to %v", got)
	}
}

// Guards against a group that nobody finds after all have restarted: the leader's seeds name none of the
// replicas that the others ask, which have forgotten the group and ask each other.
func TestLeaderIntroducesItselfToRecordedReplicas(t *testing.T) {
	h := newGroupLeader(t)
	h.becomeLeader(3)
	spare := &pb.ReplicaMember{Identity: &pb.ReplicaIdentity{Id: 9, Incarnation: "i"}, Address: "spare"}
	call[*pb.JoinResponse](h, &pb.JoinRequest{ClusterId: cluster, Member: spare})
	h.advance(time.Second)
	restored, err := RestoreState(h.State().Snapshot())
	if err != nil {
		t.Fatal(err)
	}
	h.stepDown(4)
	h.Reducer.state = restored
	h.becomeLeader(5)
	if got := h.introduced(); !slices.Equal(got, []string{"a3", "spare"}) {
		t.Errorf("the next leader introduces itself to %v, want also the replica that had asked before", got)
	}
	h.advance(rememberAsked)
	h.introductions = nil
	h.advance(2 * lateIntroduceInterval)
	if n := len(slices.DeleteFunc(h.introductions, func(a string) bool { return a != "spare" })); n == 0 || n > 3 {
		t.Errorf("%d introductions in %v to a replica that has been silent for long, want one each %v", n, 2*lateIntroduceInterval, lateIntroduceInterval)
	}
}

// Guards against a state that grows with each machine that was ever added, and against records that are
// made again and again since more replicas are present than are kept.
func TestRecordedReplicasAreBounded(t *testing.T) {
	h := newGroupLeader(t)
	h.becomeLeader(3)
	join := func(n int) {
		member := &pb.ReplicaMember{Identity: &pb.ReplicaIdentity{Id: uint64(n), Incarnation: "i"}, Address: fmt.Sprint("replica-", n)}
		call[*pb.JoinResponse](h, &pb.JoinRequest{ClusterId: cluster, Member: member})
	}
	for n := range 2 * maxKnownReplicas {
		join(100 + n)
	}
	h.advance(time.Second)
	recorded, index := slices.Clone(h.State().replicas), h.State().Index()
	if len(recorded) != maxKnownReplicas || !slices.Contains(recorded, "a3") {
		t.Errorf("%d addresses are recorded, want %d with the members", len(recorded), maxKnownReplicas)
	}
	for n := range 2 * maxKnownReplicas {
		join(100 + n)
	}
	h.advance(time.Second)
	if h.State().Index() != index || !slices.Equal(recorded, h.State().replicas) {
		t.Errorf("the same replicas are recorded again: index %d, was %d", h.State().Index(), index)
	}
}
