package consensus

import (
	"maps"
	"slices"
)

// Standing is the part that a replica has in elections.
type Standing string

const (
	// StandingVoter: the replica votes and may lead.
	StandingVoter Standing = "voter"
	// StandingLearner: the replica follows, and is promoted once it has caught up.
	StandingLearner Standing = "learner"
	// StandingSpare: no member list that the replica holds names it; it waits to be added.
	StandingSpare Standing = "spare"
	// StandingForming: the replica belongs to a new group and has not met enough of its replicas.
	StandingForming Standing = "voter that has not met enough first replicas"
	// StandingReplaced: the member list names another incarnation under the replica's id.
	StandingReplaced Standing = "listed under another incarnation"
	// StandingRestoring: the replica is installing a snapshot.
	StandingRestoring Standing = "voter that restores a snapshot"
	// StandingRemoved: the group has removed the replica.
	StandingRemoved Standing = "removed"
)

// standing returns this replica's part in elections.
func (n *Node) standing() Standing {
	self := findMember(n.members.current(), n.cfg.ID)
	if self == nil {
		self = findMember(n.CommittedMembership(), n.cfg.ID)
	}
	expected := self.GetIdentity().GetIncarnation()
	switch {
	case n.removed:
		return StandingRemoved
	case self == nil:
		return StandingSpare
	case expected != "" && expected != n.identity.GetIncarnation():
		return StandingReplaced
	case !votes(self.GetRole()):
		return StandingLearner
	case !n.handshake.formed:
		return StandingForming
	case n.incomingSnapshot.restoring():
		return StandingRestoring
	}
	return StandingVoter
}

// ElectionStatus is a replica's progress in the election that it has started; zero for none.
type ElectionStatus struct {
	// VotesGranted and VotesNeeded count pre-votes while the replica is a pre-candidate.
	VotesGranted, VotesNeeded int
	// RefusedBy lists the voters that refused this campaign; the others that have not granted it are silent.
	RefusedBy []uint64
}

func (n *Node) electionStatus() ElectionStatus {
	votes := n.votes
	switch n.role {
	case preCandidate:
		votes = n.preVotes
	case candidate:
	default:
		return ElectionStatus{}
	}
	voters := voterIDs(n.members.current())
	return ElectionStatus{VotesGranted: countVotes(votes, voters), VotesNeeded: quorumSize(len(voters)), RefusedBy: slices.Sorted(maps.Keys(n.refusedBy))}
}
