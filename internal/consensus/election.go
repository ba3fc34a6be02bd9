package consensus

import (
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// maxAnswerTimeout bounds answerTimeout, in ElectionTimeouts.
const maxAnswerTimeout = 8

// answerTimeout is how long this replica waits for the answers of others: an ElectionTimeout, or
// two round trips of late if that is longer.
//
// Where a round trip takes longer than an ElectionTimeout, as on replicas that get little
// processor time, candidates would all campaign again before an answer can arrive, and a new
// leader would step down before its first heartbeat is answered: nobody would lead.
func (n *Node) answerTimeout() time.Duration {
	return max(n.cfg.ElectionTimeout, min(2*n.roundTrip, maxAnswerTimeout*n.cfg.ElectionTimeout))
}

// resetElectionDeadline draws when this replica campaigns next.
func (n *Node) resetElectionDeadline() {
	wait := n.answerTimeout()
	n.electionDeadline = n.now + wait + time.Duration(n.random.Int64N(int64(wait)))
}

// askAgainAfter is after how many ElectionTimeouts a candidate repeats its requests.
const askAgainAfter = 2

// askAgain repeats the requests of an election that waits for longer than usual. Its answers show when messages are
// quick again; without them a replica that has met slow ones would wait in silence for several seconds.
func (n *Node) askAgain() {
	if n.now < n.votesRequestedAt+askAgainAfter*n.cfg.ElectionTimeout || n.now >= n.electionDeadline {
		return
	}
	switch n.role {
	case preCandidate:
		n.requestVotes(pb.MessageKind_MESSAGE_KIND_PRE_VOTE, n.term+1, false)
	case candidate:
		n.requestVotes(pb.MessageKind_MESSAGE_KIND_VOTE, n.term, n.forcedElection)
	}
}

// canCampaign reports whether this replica may start an election: it is a voter, or
// its removal is not committed yet. In the latter case it may be the only one whose
// log is complete enough to lead; it then needs the votes of the remaining voters,
// and its own does not count. It steps down once it has committed its removal.
func (n *Node) canCampaign() bool {
	voter := isVoter(n.members.current(), n.cfg.ID) || isVoter(n.CommittedMembership(), n.cfg.ID)
	return voter && n.canVote()
}

// leaderMayBeActive reports whether this replica must refuse votes because a leader
// may hold a lease.
//
// This protects the leader lease and keeps replicas that were partitioned from
// deposing a leader that has a quorum. A leader counts its lease from when it sent
// the heartbeats that a quorum answered. Each replica of that quorum refuses votes
// for an ElectionTimeout from when it received them, which is later, and
// LeaseDuration is shorter. The leader itself, one of the quorum, refuses votes
// while it leads, and after stepping down until the last lease that it reported has
// expired.
func (n *Node) leaderMayBeActive() bool {
	if n.role == leader {
		return true
	}
	return n.now < n.lastLeaderContact+n.cfg.ElectionTimeout || n.now < n.leaderState.reportedLeaseEnd
}

// mustRefuse reports whether the leader that this replica follows may be active beside the candidate. A leader that
// stands for election itself leads no more, whatever messages of its are still on their way.
func (n *Node) mustRefuse(candidate *pb.Message) bool {
	return n.leaderMayBeActive() && candidate.From != n.leader
}

// startPreVote asks the voters whether they would vote for this replica, without
// raising the term. A replica that returns from a partition thus disturbs no
// leader, since its term has not grown.
func (n *Node) startPreVote() {
	n.resetElectionDeadline()
	if !n.canCampaign() {
		return
	}
	n.role, n.leader = preCandidate, 0
	n.preVotes, n.refusedBy = map[uint64]bool{n.cfg.ID: true}, map[uint64]bool{}
	if n.hasQuorum(n.preVotes) {
		n.startElection(false)
		return
	}
	n.requestVotes(pb.MessageKind_MESSAGE_KIND_PRE_VOTE, n.term+1, false)
}

// startElection raises the term and requests votes. The requests are sent, and the
// replica's own vote counts, only after the new term and vote are synced.
func (n *Node) startElection(force bool) {
	n.term++
	n.votedFor = n.cfg.ID
	n.persist.hardStateDirty = true
	n.role, n.leader = candidate, 0
	n.votes, n.refusedBy, n.forcedElection = map[uint64]bool{}, map[uint64]bool{}, force
	n.resetElectionDeadline()
	n.requestVotes(pb.MessageKind_MESSAGE_KIND_VOTE, n.term, force)
}

func (n *Node) requestVotes(kind pb.MessageKind, term uint64, force bool) {
	n.votesRequestedAt = n.now
	for _, id := range voterIDs(n.members.current()) {
		if id == n.cfg.ID {
			continue
		}
		m := n.message(kind, id)
		m.Term, m.Force, m.Context = term, force, uint64(n.now)
		m.Index, m.LogTerm = n.log.lastIndex(), n.log.lastTerm()
		if kind == pb.MessageKind_MESSAGE_KIND_VOTE {
			n.sendAfterSync(m)
		} else {
			n.send(m)
		}
	}
}

// onHigherTerm handles a message of a later term. It returns false if the message
// needs no further handling.
func (n *Node) onHigherTerm(m *pb.Message) bool {
	switch m.Kind {
	case pb.MessageKind_MESSAGE_KIND_PRE_VOTE:
		return true
	case pb.MessageKind_MESSAGE_KIND_PRE_VOTE_RESPONSE:
		if !m.Reject {
			// A granted pre-vote carries the term that this replica would
			// campaign in.
			return true
		}
		n.becomeFollower(m.Term, 0)
		return false
	case pb.MessageKind_MESSAGE_KIND_VOTE:
		if n.mustRefuse(m) && !m.Force {
			n.sendVoteResponse(m, false)
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

// onLowerTerm answers a message of an earlier term whose sender must learn the
// current term: a leader that was partitioned, or a candidate.
func (n *Node) onLowerTerm(m *pb.Message) {
	switch m.Kind {
	case pb.MessageKind_MESSAGE_KIND_APPEND,
		pb.MessageKind_MESSAGE_KIND_HEARTBEAT,
		pb.MessageKind_MESSAGE_KIND_SNAPSHOT:
		resp := n.message(pb.MessageKind_MESSAGE_KIND_APPEND_RESPONSE, m.From)
		resp.Reject, resp.Index = true, m.Index
		n.sendAfterSync(resp)
	case pb.MessageKind_MESSAGE_KIND_PRE_VOTE:
		n.sendPreVoteResponse(m, false)
	case pb.MessageKind_MESSAGE_KIND_VOTE:
		n.sendVoteResponse(m, false)
	}
}

// canVote reports whether this replica's vote may count. A replica with an empty
// data folder never votes: it has no member list, or its bootstrap handshake is not
// complete.
func (n *Node) canVote() bool {
	self := findMember(n.members.current(), n.cfg.ID)
	if self == nil {
		self = findMember(n.CommittedMembership(), n.cfg.ID)
	}
	expected := self.GetIdentity().GetIncarnation()
	listed := self != nil && (expected == "" || expected == n.identity.GetIncarnation())
	return listed && n.handshake.formed && !n.incomingSnapshot.restoring()
}

func (n *Node) onPreVote(m *pb.Message) {
	granted := n.canVote() && m.Term > n.term && (!n.mustRefuse(m) || m.Force) &&
		n.log.upToDate(m.Index, m.LogTerm) && !n.campaignsBefore(m)
	n.standInsteadOf(m)
	n.sendPreVoteResponse(m, granted)
}

// standInsteadOf makes a replica without a leader stand for election soon if it must refuse a candidate for its shorter
// log: that one can't win by this replica's vote.
func (n *Node) standInsteadOf(candidate *pb.Message) {
	if n.role != follower || n.leaderMayBeActive() || n.log.upToDate(candidate.Index, candidate.LogTerm) {
		return
	}
	soon := n.now + time.Duration(n.random.Int64N(int64(n.cfg.ElectionTimeout)))
	n.electionDeadline = min(n.electionDeadline, soon)
}

// campaignsBefore reports whether this replica stands for election itself, with the same log as the
// sender of a pre-vote and a higher id. If two such replicas granted each other's pre-vote, both
// would vote for themselves; where two voters are left, that can repeat for seconds.
func (n *Node) campaignsBefore(m *pb.Message) bool {
	standing := n.role == preCandidate || n.role == candidate
	return standing && n.cfg.ID > m.From && m.Index == n.log.lastIndex() && m.LogTerm == n.log.lastTerm()
}

// sendPreVoteResponse needs no sync, since a pre-vote is no commitment.
func (n *Node) sendPreVoteResponse(m *pb.Message, granted bool) {
	resp := n.message(pb.MessageKind_MESSAGE_KIND_PRE_VOTE_RESPONSE, m.From)
	resp.Reject, resp.Context = !granted, m.Context
	if granted {
		resp.Term = m.Term
	}
	n.send(resp)
}

// observeVoteRoundTrip learns from an answer how long a round of votes takes at present: from the answers to the
// latest request that has any. The answer returns this replica's own time; one of before a loss of power may bear a
// later time than the present.
//
// If that shows that messages are quicker than was thought, the next campaign need not wait any longer.
func (n *Node) observeVoteRoundTrip(m *pb.Message) {
	sentAt := time.Duration(m.Context)
	if n.role != preCandidate && n.role != candidate || sentAt <= 0 || sentAt > n.now || sentAt < n.roundTripSentAt {
		return
	}
	before := n.answerTimeout()
	if sentAt > n.roundTripSentAt {
		n.roundTrip, n.roundTripSentAt = 0, sentAt
	}
	n.roundTrip = max(n.now-sentAt, n.roundTrip)
	if n.answerTimeout() < before {
		deadline := n.electionDeadline
		n.resetElectionDeadline()
		n.electionDeadline = min(deadline, n.electionDeadline)
	}
}

// observeHeartbeatRoundTrip learns the same from an answer to a leader's heartbeat. Each answer counts
// half, so that a slow election is soon forgotten: a leader that waited long for answers
// would notice late that it has been cut off.
func (n *Node) observeHeartbeatRoundTrip(sentAt time.Duration) {
	n.roundTrip = (n.roundTrip + n.now - sentAt) / 2
}

func (n *Node) onPreVoteResponse(m *pb.Message) {
	n.observeVoteRoundTrip(m)
	n.noteRefusal(m)
	if n.role != preCandidate || m.Reject || m.Term != n.term+1 {
		return
	}
	n.preVotes[m.From] = true
	if n.hasQuorum(n.preVotes) {
		n.startElection(false)
	}
}

// onVote grants at most one vote a term, and only to a candidate whose log is at
// least as complete as the local one.
func (n *Node) onVote(m *pb.Message) {
	voteAvailable := n.votedFor == m.From || n.votedFor == 0 && n.leader == 0
	if !n.canVote() || !voteAvailable || !n.log.upToDate(m.Index, m.LogTerm) {
		n.standInsteadOf(m)
		n.sendVoteResponse(m, false)
		return
	}
	if n.votedFor != m.From {
		n.votedFor = m.From
		n.persist.hardStateDirty = true
	}
	n.resetElectionDeadline()
	n.sendVoteResponse(m, true)
}

func (n *Node) sendVoteResponse(m *pb.Message, granted bool) {
	resp := n.message(pb.MessageKind_MESSAGE_KIND_VOTE_RESPONSE, m.From)
	resp.Reject, resp.Context = !granted, m.Context
	n.sendAfterSync(resp)
}

// onVoteResponse counts a vote of this term, also after the election timeout: a vote binds its
// voter for the whole term. If late ones were dropped, replicas that need longer than an election
// timeout for a round of votes would hold elections forever.
func (n *Node) onVoteResponse(m *pb.Message) {
	n.observeVoteRoundTrip(m)
	n.noteRefusal(m)
	if n.votes != nil && !m.Reject {
		n.recordVote(m.From, true)
	}
}

// noteRefusal records who refuses this campaign, for its log line.
func (n *Node) noteRefusal(m *pb.Message) {
	if m.Reject && (n.role == preCandidate || n.role == candidate) {
		n.refusedBy[m.From] = true
	}
}

func (n *Node) recordVote(voter uint64, granted bool) {
	n.votes[voter] = granted
	if n.hasQuorum(n.votes) {
		n.becomeLeader()
	}
}

func (n *Node) hasQuorum(votes map[uint64]bool) bool {
	return isQuorum(n.members.current(), func(id uint64) bool { return votes[id] })
}

// countVotes counts the voters that have granted their vote.
func countVotes(votes map[uint64]bool, voters []uint64) int {
	granted := 0
	for _, id := range voters {
		if votes[id] {
			granted++
		}
	}
	return granted
}
