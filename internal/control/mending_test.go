package control

import (
	"testing"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/consensus"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

func replicaAt(id uint64, address, life string) *pb.ReplicaMember {
	return &pb.ReplicaMember{
		Identity: &pb.ReplicaIdentity{Id: id, Incarnation: life}, Address: address,
		Role: pb.ReplicaRole_REPLICA_ROLE_VOTER,
	}
}

// mendingWorld leads a group of three that mends itself; 3 has been silent for
// long.
func mendingWorld(t *testing.T) *world {
	w := newWorld(t)
	w.cfg.TargetVoters = 3
	list := &pb.Membership{Members: []*pb.ReplicaMember{
		replicaAt(1, "10.0.0.1:1", "a"), replicaAt(2, "10.0.0.2:1", "b"), replicaAt(3, "10.0.0.3:1", "c"),
	}}
	w.node.replicas = []consensus.ReplicaStatus{{ID: 1}, {ID: 2}, {ID: 3, SinceLastContact: time.Minute}}
	w.tell(consensus.MembershipChanged{Membership: list, Committed: list})
	return w
}

// A VM is replaced by an empty one. No operator is there: the group adds it by
// itself when it asks, one change at a time.
func TestGroupAddsAReplicaThatAsks(t *testing.T) {
	w := mendingWorld(t)
	ask[*pb.JoinResponse](w, &pb.JoinRequest{ClusterId: cluster, Member: replicaAt(9, "10.0.0.9:1", "z")})
	w.advance(time.Second)
	if n := len(w.node.changes); n != 1 {
		t.Fatalf("%d changes proposed, want 1 at a time: %v", n, w.node.changes)
	}
	if add := w.node.changes[0].Add; add.GetIdentity().GetId() != 9 || add.GetIdentity().GetIncarnation() != "z" {
		t.Fatalf("change %v", w.node.changes[0])
	}
}

// A group that operators change leaves its list alone, whoever asks.
func TestGroupOfOperatorsDoesNotMendItself(t *testing.T) {
	w := mendingWorld(t)
	w.cfg.TargetVoters = 0
	ask[*pb.JoinResponse](w, &pb.JoinRequest{ClusterId: cluster, Member: replicaAt(9, "10.0.0.9:1", "z")})
	w.advance(time.Second)
	if len(w.node.changes) != 0 {
		t.Fatalf("changes %v", w.node.changes)
	}
}

// A replica asked, and is gone before its turn comes: it must not be added.
func TestJoinerThatFellSilentIsForgotten(t *testing.T) {
	w := mendingWorld(t)
	w.node.leaseUntil = 0
	ask[*pb.JoinResponse](w, &pb.JoinRequest{ClusterId: cluster, Member: replicaAt(9, "10.0.0.9:1", "z")})
	w.advance(joinerKept + time.Second)
	w.node.leaseUntil = w.clock + time.Hour
	w.advance(time.Second)
	if len(w.node.changes) != 0 {
		t.Fatalf("changes %v", w.node.changes)
	}
}
