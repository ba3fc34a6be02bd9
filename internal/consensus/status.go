package consensus

import (
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// Status is what operators and tests see of a Node.
type Status struct {
	Term   uint64
	Leader uint64
	Role   Role
	// Ready is true for a leader that has committed an entry of its term.
	Ready     bool
	Commit    uint64
	Applied   uint64
	LastIndex uint64
	// FirstIndex is the first entry kept in memory.
	FirstIndex    uint64
	SnapshotIndex uint64
	Membership    *pb.Membership
	// Replicas lists the members; match and active count at a leader only.
	Replicas []ReplicaStatus
}

// ReplicaStatus is what a leader knows of one member.
type ReplicaStatus struct {
	ID    uint64
	Voter bool
	// Match is the highest index that it has synced.
	Match uint64
	// Active is true if it was heard within an ElectionTimeout.
	Active bool
	// SinceLastContact is how long it has not been heard; zero for itself.
	SinceLastContact time.Duration
}

// IsLeader tells whether the replica leads its term.
func (s Status) IsLeader() bool { return s.Role == leader }

// Status gives a copy; the Membership must not be changed.
func (n *Node) Status() Status {
	s := Status{
		Term: n.term, Leader: n.leader, Role: n.role, Ready: n.ready(),
		Commit: n.log.commit, Applied: n.log.applied,
		LastIndex: n.log.lastIndex(), FirstIndex: n.log.baseIndex + 1,
		SnapshotIndex: n.snapshot.GetIndex(),
		Membership:    n.members.current(),
	}
	for _, m := range s.Membership.Members {
		s.Replicas = append(s.Replicas, n.replicaStatus(m))
	}
	return s
}

func (n *Node) replicaStatus(m *pb.ReplicaMember) ReplicaStatus {
	s := ReplicaStatus{ID: m.Identity.Id, Voter: m.Role == pb.ReplicaRole_REPLICA_ROLE_VOTER}
	if m.Identity.Id == n.cfg.ID {
		s.Match, s.Active = n.log.stable, true
		return s
	}
	if pr := n.lead.progress[m.Identity.Id]; pr != nil {
		s.Match = pr.match
		s.SinceLastContact = n.now - pr.activeAt
		s.Active = pr.active(n.now, n.cfg.ElectionTimeout)
	}
	return s
}
