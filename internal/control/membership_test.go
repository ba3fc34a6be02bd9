package control

import (
	"testing"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/consensus"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

func replicaAt(id uint64, address, incarnation string) *pb.ReplicaMember {
	return &pb.ReplicaMember{
		Identity: &pb.ReplicaIdentity{Id: id, Incarnation: incarnation}, Address: address,
		Role: pb.ReplicaRole_REPLICA_ROLE_VOTER,
	}
}

// newMembershipHarness returns the leader of a self-maintained group of three whose replica
// 3 has been silent for a minute.
func newMembershipHarness(t *testing.T) *harness {
	h := newHarness(t)
	h.cfg.TargetVoters = 3
	list := &pb.Membership{Members: []*pb.ReplicaMember{
		replicaAt(1, "10.0.0.1:1", "a"), replicaAt(2, "10.0.0.2:1", "b"), replicaAt(3, "10.0.0.3:1", "c"),
	}}
	h.node.replicas = []consensus.ReplicaStatus{{ID: 1}, {ID: 2}, {ID: 3, SinceLastContact: time.Minute}}
	h.emitOnTick(consensus.MembershipChanged{Membership: list, Committed: list})
	return h
}

// A VM is replaced by an empty one and no operator is present: the group must add the
// replica when it asks to join, one change at a time.
func TestGroupAddsAReplicaThatAsks(t *testing.T) {
	h := newMembershipHarness(t)
	call[*pb.JoinResponse](h, &pb.JoinRequest{ClusterId: cluster, Member: replicaAt(9, "10.0.0.9:1", "z")})
	h.advance(time.Second)
	if n := len(h.node.changes); n != 1 {
		t.Fatalf("%d changes proposed, want 1 at a time: %v", n, h.node.changes)
	}
	if add := h.node.changes[0].Add; add.GetIdentity().GetId() != 9 || add.GetIdentity().GetIncarnation() != "z" {
		t.Fatalf("change %v", h.node.changes[0])
	}
}

// A group that operators manage must not change its member list, whoever asks to join.
func TestOperatorManagedGroupIsNotChanged(t *testing.T) {
	h := newMembershipHarness(t)
	h.cfg.TargetVoters = 0
	call[*pb.JoinResponse](h, &pb.JoinRequest{ClusterId: cluster, Member: replicaAt(9, "10.0.0.9:1", "z")})
	h.advance(time.Second)
	if len(h.node.changes) != 0 {
		t.Fatalf("changes %v", h.node.changes)
	}
}

// A replica asks to join and disappears before the group can add it: it must not be added.
func TestSilentJoinerExpires(t *testing.T) {
	h := newMembershipHarness(t)
	h.node.leaseUntil = 0
	call[*pb.JoinResponse](h, &pb.JoinRequest{ClusterId: cluster, Member: replicaAt(9, "10.0.0.9:1", "z")})
	h.advance(joinerTimeout + time.Second)
	h.node.leaseUntil = h.clock + time.Hour
	h.advance(time.Second)
	if len(h.node.changes) != 0 {
		t.Fatalf("changes %v", h.node.changes)
	}
}

// Guards against a group that replaces nobody any more: a replica was added while it was away, removed for its silence,
// and asks to be added again under the identity that was removed.
func TestRemovedReplicaThatAsksIsToldAndKeepsNobodyOut(t *testing.T) {
	h := newMembershipHarness(t)
	h.node.removed = map[uint64]bool{8: true}
	removed := &pb.JoinRequest{ClusterId: cluster, Member: replicaAt(8, "10.0.0.8:1", "y")}
	if answer := call[*pb.JoinResponse](h, removed); !answer.GetRemoved() {
		t.Errorf("a removed replica is answered %v", answer)
	}
	if answer := call[*pb.JoinResponse](h, &pb.JoinRequest{ClusterId: cluster, Member: replicaAt(9, "10.0.0.9:1", "z")}); answer.GetRemoved() {
		t.Errorf("another one is answered %v", answer)
	}
	h.advance(time.Second)
	if len(h.node.changes) != 1 || h.node.changes[0].Add.GetIdentity().GetId() != 9 {
		t.Fatalf("changes %v, want replica 9 added", h.node.changes)
	}
}
