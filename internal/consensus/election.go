package consensus

import (
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

func (n *Node) resetElectionDeadline() {
	wait := n.cfg.ElectionTimeout
	n.electionDeadline = n.now + wait + time.Duration(n.random.Int64N(int64(wait)))
}

// mayCampaign tells whether this replica can stand for election: it is a voter, or
// its removal is not committed yet. Such a replica may be the only one with a log
// complete enough to lead; it needs the votes of those that stay, and its own does
// not count. Once it has committed its removal it steps down.
func (n *Node) mayCampaign() bool {
	voter := isVoter(n.members.current(), n.cfg.ID) || isVoter(n.CommittedMembership(), n.cfg.ID)
	return voter && n.mayVote()
}

// sticky tells whether this replica must help no other to lead yet.
//
// It guards the leader lease and keeps replicas that were cut off from unseating
// a leader that a quorum hears. A leader counts its lease from when it sent the
// heartbeats that a quorum answered; each of that quorum refuses votes for an
// ElectionTimeout from when it heard them, which is later, and LeaseDuration is
// shorter. The leader itself, one of the quorum, refuses while it leads, and
// after stepping down until the last lease that it gave out has passed.
func (n *Node) sticky() bool {
	if n.role == leader {
		return true
	}
	return n.now < n.heardAt+n.cfg.ElectionTimeout || n.now < n.lead.leaseGiven
}

// startPreVote asks the voters whether they would vote for this replica, without
// raising the term. A replica that comes back from a partition thus disturbs
// nobody: its term has not grown.
func (n *Node) startPreVote() {
	n.resetElectionDeadline()
	if !n.mayCampaign() {
		return
	}
	n.role, n.leader = preCandidate, 0
	n.votes = map[uint64]bool{n.cfg.ID: true}
	if n.wonVotes() {
		n.startElection(false)
		return
	}
	n.requestVotes(pb.MessageKind_MESSAGE_KIND_PRE_VOTE, n.term+1, false)
}

// startElection raises the term and asks for votes. The own vote counts, and the
// requests go out, only once the new term and vote are synced.
func (n *Node) startElection(force bool) {
	n.term++
	n.vote = n.cfg.ID
	n.persist.hardDirty = true
	n.role, n.leader = candidate, 0
	n.votes = map[uint64]bool{}
	n.resetElectionDeadline()
	n.requestVotes(pb.MessageKind_MESSAGE_KIND_VOTE, n.term, force)
}

func (n *Node) requestVotes(kind pb.MessageKind, term uint64, force bool) {
	for _, id := range voterIDs(n.members.current()) {
		if id == n.cfg.ID {
			continue
		}
		m := n.message(kind, id)
		m.Term, m.Force = term, force
		m.Index, m.LogTerm = n.log.lastIndex(), n.log.lastTerm()
		if kind == pb.MessageKind_MESSAGE_KIND_VOTE {
			n.sendSynced(m)
		} else {
			n.send(m)
		}
	}
}

// onHigherTerm handles the term of a message from a later one; false if the
// message is done with.
func (n *Node) onHigherTerm(m *pb.Message) bool {
	switch m.Kind {
	case pb.MessageKind_MESSAGE_KIND_PRE_VOTE:
		return true
	case pb.MessageKind_MESSAGE_KIND_PRE_VOTE_RESPONSE:
		if !m.Reject {
			// A grant carries the term that this replica would campaign in.
			return true
		}
		n.becomeFollower(m.Term, 0)
		return false
	case pb.MessageKind_MESSAGE_KIND_VOTE:
		if n.sticky() && !m.Force {
			n.answerVote(m, false)
			return false
		}
		n.becomeFollower(m.Term, 0)
		return true
	case pb.MessageKind_MESSAGE_KIND_APPEND,
		pb.MessageKind_MESSAGE_KIND_HEARTBEAT,
		pb.MessageKind_MESSAGE_KIND_SNAPSHOT:
		n.becomeFollower(m.Term, m.From)
		return true
	}
	n.becomeFollower(m.Term, 0)
	return true
}

// onLowerTerm answers a message of an earlier term where its sender must learn
// of this one: a leader that was cut off, or a replica that asks for votes.
func (n *Node) onLowerTerm(m *pb.Message) {
	switch m.Kind {
	case pb.MessageKind_MESSAGE_KIND_APPEND,
		pb.MessageKind_MESSAGE_KIND_HEARTBEAT,
		pb.MessageKind_MESSAGE_KIND_SNAPSHOT:
		answer := n.message(pb.MessageKind_MESSAGE_KIND_APPEND_RESPONSE, m.From)
		answer.Reject, answer.Index = true, m.Index
		n.sendSynced(answer)
	case pb.MessageKind_MESSAGE_KIND_PRE_VOTE:
		n.answerPreVote(m, false)
	case pb.MessageKind_MESSAGE_KIND_VOTE:
		n.answerVote(m, false)
	}
}

// mayVote tells whether this replica's word counts at all. One with an empty data
// folder never votes: it knows no member list, or its group has not formed.
func (n *Node) mayVote() bool {
	own := findMember(n.members.current(), n.cfg.ID)
	if own == nil {
		own = findMember(n.CommittedMembership(), n.cfg.ID)
	}
	bound := own.GetIdentity().GetIncarnation()
	listed := own != nil && (bound == "" || bound == n.identity.GetIncarnation())
	return listed && n.formation.formed && !n.incoming.restoring()
}

func (n *Node) onPreVote(m *pb.Message) {
	granted := n.mayVote() && m.Term > n.term && (!n.sticky() || m.Force) &&
		n.log.upToDate(m.Index, m.LogTerm)
	n.answerPreVote(m, granted)
}

// answerPreVote needs no sync: a pre-vote binds to nothing.
func (n *Node) answerPreVote(m *pb.Message, granted bool) {
	answer := n.message(pb.MessageKind_MESSAGE_KIND_PRE_VOTE_RESPONSE, m.From)
	answer.Reject = !granted
	if granted {
		answer.Term = m.Term
	}
	n.send(answer)
}

func (n *Node) onPreVoteResponse(m *pb.Message) {
	if n.role != preCandidate || m.Reject || m.Term != n.term+1 {
		return
	}
	n.votes[m.From] = true
	if n.wonVotes() {
		n.startElection(false)
	}
}

// onVote votes once a term, for a log at least as complete as the own one.
func (n *Node) onVote(m *pb.Message) {
	free := n.vote == m.From || n.vote == 0 && n.leader == 0
	if !n.mayVote() || !free || !n.log.upToDate(m.Index, m.LogTerm) {
		n.answerVote(m, false)
		return
	}
	if n.vote != m.From {
		n.vote = m.From
		n.persist.hardDirty = true
	}
	n.resetElectionDeadline()
	n.answerVote(m, true)
}

func (n *Node) answerVote(m *pb.Message, granted bool) {
	answer := n.message(pb.MessageKind_MESSAGE_KIND_VOTE_RESPONSE, m.From)
	answer.Reject = !granted
	n.sendSynced(answer)
}

func (n *Node) onVoteResponse(m *pb.Message) {
	if n.role == candidate && !m.Reject {
		n.recordVote(m.From, true)
	}
}

func (n *Node) recordVote(from uint64, granted bool) {
	n.votes[from] = granted
	if n.wonVotes() {
		n.becomeLeader()
	}
}

func (n *Node) wonVotes() bool {
	voters := voterIDs(n.members.current())
	granted := 0
	for _, id := range voters {
		if n.votes[id] {
			granted++
		}
	}
	return len(voters) > 0 && granted >= quorumSize(len(voters))
}
