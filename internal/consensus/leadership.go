package consensus

import (
	"slices"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// leaderState is the state that only a leader keeps, except for reportedLeaseEnd.
type leaderState struct {
	// reportedLeaseEnd is the latest end of a lease that LeaseUntil has
	// returned. It stays after the leader steps down, since the host may still
	// act on it.
	reportedLeaseEnd time.Duration
	// progress has an entry for each other member. It is always iterated in the
	// order of the member list.
	progress map[uint64]*progress
	// quorumCheckedAt is when contact with a quorum was last checked.
	quorumCheckedAt time.Duration
	heartbeatSentAt time.Duration
	reads           readQueue
	rounds          heartbeatRounds
	// transferTo is the replica that leadership is being transferred to, zero
	// if none. transferSent is true once it was sent TIMEOUT_NOW.
	transferTo        uint64
	transferSent      bool
	transferStartedAt time.Duration
	// uncommitted counts the bytes of proposals of this term that are not
	// committed.
	uncommitted uncommittedBytes
}

// becomeLeader appends an empty entry of the new term: only when it is committed
// are the entries of earlier terms before it known to be committed.
func (n *Node) becomeLeader() {
	n.role, n.leader, n.votes = leader, n.cfg.ID, nil
	n.leaderState = leaderState{
		reportedLeaseEnd: n.leaderState.reportedLeaseEnd,
		progress:         map[uint64]*progress{},
		quorumCheckedAt:  n.now,
	}
	n.rebuildProgress()
	n.appendEntry(pb.LogEntryKind_LOG_ENTRY_KIND_NORMAL, nil)
	n.heartbeat()
	n.replicateAll()
}

// resetLeaderState clears the leader's state and refuses the pending reads.
func (n *Node) resetLeaderState() {
	n.refuseReads()
	n.leaderState = leaderState{reportedLeaseEnd: n.leaderState.reportedLeaseEnd}
}

// stepDown ends leadership in the same term.
func (n *Node) stepDown() { n.becomeFollower(n.term, 0) }

// rebuildProgress makes the progress entries match the member list.
func (n *Node) rebuildProgress() {
	old := n.leaderState.progress
	n.leaderState.progress = make(map[uint64]*progress, len(old))
	for _, m := range n.members.current().Members {
		id := m.Identity.Id
		if id == n.cfg.ID {
			continue
		}
		pr := old[id]
		if pr == nil {
			fresh := n.newProgress()
			pr = &fresh
		}
		n.leaderState.progress[id] = pr
	}
}

func (n *Node) newProgress() progress {
	return progress{next: n.log.lastIndex() + 1, lastActivityAt: n.now, lastContactAt: n.now}
}

// peers lists the other members in the order of the member list.
func (n *Node) peers() []uint64 {
	ids := make([]uint64, 0, len(n.leaderState.progress))
	for _, m := range n.members.current().Members {
		if m.Identity.Id != n.cfg.ID {
			ids = append(ids, m.Identity.Id)
		}
	}
	return ids
}

func (n *Node) leaderTick() {
	if n.now >= n.leaderState.quorumCheckedAt+n.answerTimeout() {
		n.leaderState.quorumCheckedAt = n.now
		if !n.quorumActive() {
			n.stepDown()
			return
		}
	}
	if n.now >= n.leaderState.heartbeatSentAt+n.cfg.HeartbeatInterval {
		n.heartbeat()
	}
	n.continueTransfer()
}

// quorumActive reports whether a quorum has answered within an answerTimeout. A
// leader that is partitioned steps down, so that its callers turn to another
// replica.
func (n *Node) quorumActive() bool {
	return n.isActiveQuorum(n.members.current(), n.answerTimeout())
}

// isActiveQuorum reports whether the replicas that have answered within that time are a quorum.
func (n *Node) isActiveQuorum(m *pb.Membership, within time.Duration) bool {
	return isQuorum(m, func(id uint64) bool {
		return id == n.cfg.ID || n.leaderState.progress[id].active(n.now, within)
	})
}

// heartbeat starts a heartbeat round. Its responses renew the lease and confirm
// reads.
func (n *Node) heartbeat() {
	round := n.leaderState.rounds.begin(n.now)
	n.leaderState.heartbeatSentAt = n.now
	n.leaderState.reads.assignRound(round)
	for _, id := range n.peers() {
		pr := n.leaderState.progress[id]
		m := n.message(pb.MessageKind_MESSAGE_KIND_HEARTBEAT, id)
		m.Context = round
		n.setHeartbeatCommit(m, pr)
		n.send(m)
	}
	n.confirmReads()
}

// setHeartbeatCommit sets how far the replica may apply: the lower of what is
// committed and what it has acknowledged, with the term of that entry.
func (n *Node) setHeartbeatCommit(m *pb.Message, pr *progress) {
	index := min(pr.match, n.log.commit)
	if term, ok := n.log.term(index); ok {
		m.Index, m.LogTerm = index, term
	}
}

// quorumMatch is the highest index that a quorum has synced.
func (n *Node) quorumMatch() uint64 {
	return reachedByQuorum(n.members.current(), func(id uint64) uint64 {
		if id == n.cfg.ID {
			return n.log.stable
		}
		return n.leaderState.progress[id].match
	})
}

// advanceCommit commits what a quorum has synced, if it is of the current term. An
// entry of an earlier term may be on a quorum and still be overwritten by a leader
// that never received it; once a later entry of the current term is committed, it
// can't.
func (n *Node) advanceCommit() {
	index := n.quorumMatch()
	if index <= n.log.commit || !n.log.matches(index, n.term) {
		return
	}
	n.log.commit = index
	n.leaderState.uncommitted.release(index)
	n.afterCommit()
}

// afterCommit reacts to a higher commit index: it tells followers with the next
// append, promotes learners, and steps down once this replica's own removal is
// committed.
func (n *Node) afterCommit() {
	n.replicateAll()
	if findMember(n.members.current(), n.cfg.ID) == nil && !n.members.pending(n.log.commit) {
		n.stepDown()
		return
	}
	n.advanceMembership()
}

// uncommittedBytes counts the bytes of entries that are not committed yet.
type uncommittedBytes struct {
	total   int
	entries []pendingEntry
}

type pendingEntry struct {
	index uint64
	bytes int
}

func (u *uncommittedBytes) add(index uint64, bytes int) {
	u.total += bytes
	u.entries = append(u.entries, pendingEntry{index: index, bytes: bytes})
}

func (u *uncommittedBytes) release(index uint64) {
	done := slices.IndexFunc(u.entries, func(p pendingEntry) bool { return p.index > index })
	if done < 0 {
		done = len(u.entries)
	}
	for _, p := range u.entries[:done] {
		u.total -= p.bytes
	}
	u.entries = u.entries[done:]
}
