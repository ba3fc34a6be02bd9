package consensus

import (
	"cmp"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// Status is a Node's state for operators and tests.
type Status struct {
	Term   uint64
	Leader uint64
	Role   Role
	// Standing is the replica's part in elections, Election its progress in one.
	Standing Standing
	Election ElectionStatus
	// AwaitedPeers are the replicas that have not confirmed this boot's HELLO.
	AwaitedPeers []AwaitedPeer
	// Ready is true for a leader that has committed an entry of its term.
	Ready     bool
	Commit    uint64
	Applied   uint64
	LastIndex uint64
	// FirstIndex is the index of the first entry kept in memory.
	FirstIndex    uint64
	SnapshotIndex uint64
	// LogEntries and LogBytes are the entries kept in memory, SnapshotBytes is the size of the
	// latest snapshot.
	LogEntries    int
	LogBytes      int
	SnapshotBytes int
	Membership    *pb.Membership
	// Replacing is true while a learner takes a voter's place.
	Replacing bool
	// Replicas lists the members. Only a leader fills in the state of other
	// members.
	Replicas []ReplicaStatus
}

// AwaitReason is why a replica still waits for another one's answer to its HELLO.
type AwaitReason string

const (
	// AwaitAnswer: no answer has arrived; the peer's own line tells if it refuses this replica.
	AwaitAnswer AwaitReason = "no answer"
	// AwaitNotExpected: the peer's committed list has no such voter under this incarnation.
	AwaitNotExpected AwaitReason = "the peer does not expect this replica as a voter"
	// AwaitEarlierBoot: the latest answer belongs to an earlier boot.
	AwaitEarlierBoot AwaitReason = "the answer belongs to an earlier boot"
)

// AwaitedPeer is a replica that has not confirmed this boot's HELLO.
type AwaitedPeer struct {
	ID     uint64
	Reason AwaitReason
}

func (n *Node) awaitedPeers() []AwaitedPeer {
	var awaited []AwaitedPeer
	for _, id := range n.unansweredPeers() {
		awaited = append(awaited, AwaitedPeer{ID: id, Reason: cmp.Or(n.handshake.unconfirmed[id], AwaitAnswer)})
	}
	return awaited
}

// ReplicaStatus is a leader's view of one member.
type ReplicaStatus struct {
	ID    uint64
	Voter bool
	// Match is the highest index that the replica has synced.
	Match uint64
	// Active is true if the replica has answered within an ElectionTimeout.
	Active bool
	// SinceLastContact is the time since the replica's last response; zero for
	// this replica.
	SinceLastContact time.Duration
	// CaughtUp is true if the replica is active and had synced all that was committed within the
	// last ElectionTimeout. Entries that are under way don't make it false.
	CaughtUp bool
}

// IsLeader reports whether the replica is the leader of its term.
func (s Status) IsLeader() bool { return s.Role == leader }

// Status returns a copy of the state; the Membership must not be changed.
func (n *Node) Status() Status {
	s := Status{
		Term: n.term, Leader: n.leader, Role: n.role, Ready: n.ready(),
		Standing: n.standing(), Election: n.electionStatus(), AwaitedPeers: n.awaitedPeers(),
		Commit: n.log.commit, Applied: n.log.applied,
		LastIndex: n.log.lastIndex(), FirstIndex: n.log.baseIndex + 1,
		SnapshotIndex: n.snapshot.GetIndex(),
		LogEntries:    len(n.log.entries), LogBytes: n.log.bytes, SnapshotBytes: len(n.snapshotData),
		Membership: n.members.current(), Replacing: isReplacing(n.members.current()),
	}
	for _, m := range s.Membership.Members {
		s.Replicas = append(s.Replicas, n.replicaStatus(m))
	}
	return s
}

func (n *Node) replicaStatus(m *pb.ReplicaMember) ReplicaStatus {
	s := ReplicaStatus{ID: m.Identity.Id, Voter: votes(m.Role)}
	if m.Identity.Id == n.cfg.ID {
		s.Match, s.Active, s.CaughtUp = n.log.stable, true, true
		return s
	}
	if pr := n.leaderState.progress[m.Identity.Id]; pr != nil {
		s.Match = pr.match
		s.SinceLastContact = n.now - pr.lastContactAt
		s.Active, s.CaughtUp = pr.active(n.now, n.cfg.ElectionTimeout), n.keepsUp(m)
	}
	return s
}
