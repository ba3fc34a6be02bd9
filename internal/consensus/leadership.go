package consensus

import (
	"slices"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// leadership is what only a leader keeps, but for leaseGiven.
type leadership struct {
	// leaseGiven is the end of the longest lease that LeaseUntil has told. It
	// outlives the leadership: the host may still act on it.
	leaseGiven time.Duration
	// progress has an entry for each other member, found by id and always
	// walked in the order of the member list.
	progress map[uint64]*progress
	// quorumAt is when a quorum was last checked to be heard.
	quorumAt    time.Duration
	heartbeatAt time.Duration
	reads       readQueue
	rounds      heartbeatRounds
	// transferTo is the replica that leadership is being handed to, zero if
	// none; transferSent is true once it was told to campaign.
	transferTo    uint64
	transferSent  bool
	transferBegan time.Duration
	// uncommitted counts the bytes of own proposals that wait for a quorum.
	uncommitted uncommittedBytes
}

// becomeLeader begins with an empty entry of the own term: only its commit shows
// that the entries of earlier terms before it are committed.
func (n *Node) becomeLeader() {
	n.role, n.leader, n.votes = leader, n.cfg.ID, nil
	n.lead = leadership{
		leaseGiven: n.lead.leaseGiven,
		progress:   map[uint64]*progress{},
		quorumAt:   n.now,
	}
	n.syncProgress()
	n.appendOwn(pb.LogEntryKind_LOG_ENTRY_KIND_NORMAL, nil)
	n.heartbeat()
	n.replicateAll()
}

// endLeadership forgets what only a leader keeps and refuses what waits on it.
func (n *Node) endLeadership() {
	n.refuseReads()
	n.lead = leadership{leaseGiven: n.lead.leaseGiven}
}

// stepDown ends leadership in the same term.
func (n *Node) stepDown() { n.becomeFollower(n.term, 0) }

// syncProgress makes the progress entries those of the member list.
func (n *Node) syncProgress() {
	old := n.lead.progress
	n.lead.progress = make(map[uint64]*progress, len(old))
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
		n.lead.progress[id] = pr
	}
}

func (n *Node) newProgress() progress {
	return progress{next: n.log.lastIndex() + 1, movedAt: n.now, activeAt: n.now}
}

// peers lists the other members in the order of the member list.
func (n *Node) peers() []uint64 {
	ids := make([]uint64, 0, len(n.lead.progress))
	for _, m := range n.members.current().Members {
		if m.Identity.Id != n.cfg.ID {
			ids = append(ids, m.Identity.Id)
		}
	}
	return ids
}

func (n *Node) leaderTick() {
	if n.now >= n.lead.quorumAt+n.cfg.ElectionTimeout {
		n.lead.quorumAt = n.now
		if !n.quorumActive() {
			n.stepDown()
			return
		}
	}
	if n.now >= n.lead.heartbeatAt+n.cfg.HeartbeatInterval {
		n.heartbeat()
	}
	n.driveTransfer()
}

// quorumActive tells whether a quorum was heard within an ElectionTimeout. A
// leader that is cut off steps down, so that its callers go elsewhere.
func (n *Node) quorumActive() bool {
	voters := voterIDs(n.members.current())
	return n.activeAmong(voters) >= quorumSize(len(voters))
}

// activeAmong counts the replicas that were heard within an ElectionTimeout.
func (n *Node) activeAmong(ids []uint64) int {
	active := 0
	for _, id := range ids {
		if pr := n.lead.progress[id]; id == n.cfg.ID || pr.active(n.now, n.cfg.ElectionTimeout) {
			active++
		}
	}
	return active
}

// heartbeat begins a round: its answers renew the lease and confirm reads.
func (n *Node) heartbeat() {
	round := n.lead.rounds.begin(n.now)
	n.lead.heartbeatAt = n.now
	n.lead.reads.begin(round)
	for _, id := range n.peers() {
		pr := n.lead.progress[id]
		m := n.message(pb.MessageKind_MESSAGE_KIND_HEARTBEAT, id)
		m.Context = round
		n.setHeartbeatCommit(m, pr)
		n.send(m)
	}
	n.confirmReads()
}

// setHeartbeatCommit tells how far the replica may apply: what is committed and
// what it has acknowledged, with the term of the last such entry.
func (n *Node) setHeartbeatCommit(m *pb.Message, pr *progress) {
	index := min(pr.match, n.log.commit)
	if term, ok := n.log.term(index); ok {
		m.Index, m.LogTerm = index, term
	}
}

// quorumMatch is the highest index that a quorum has synced.
func (n *Node) quorumMatch() uint64 {
	voters := voterIDs(n.members.current())
	matches := make([]uint64, 0, len(voters))
	for _, id := range voters {
		match := n.log.stable
		if id != n.cfg.ID {
			match = n.lead.progress[id].match
		}
		matches = append(matches, match)
	}
	return quorumValue(matches)
}

// advanceCommit commits what a quorum has synced, if it is of the own term. An
// entry of an earlier term may be on a quorum and still be overwritten by a
// leader that never saw it; once an own entry after it is committed, it can't.
func (n *Node) advanceCommit() {
	index := n.quorumMatch()
	if index <= n.log.commit || !n.log.matches(index, n.term) {
		return
	}
	n.log.commit = index
	n.lead.uncommitted.committed(index)
	n.afterCommit()
}

// afterCommit does what waited for a commit: tells followers with the next
// append, promotes learners, and steps down once the own removal is committed.
func (n *Node) afterCommit() {
	n.replicateAll()
	if findMember(n.members.current(), n.cfg.ID) == nil && !n.members.pending(n.log.commit) {
		n.stepDown()
		return
	}
	n.settleMembers()
}

// uncommittedBytes counts the bytes of entries that wait to be committed.
type uncommittedBytes struct {
	total   int
	entries []pendingBytes
}

type pendingBytes struct {
	index uint64
	bytes int
}

func (u *uncommittedBytes) add(index uint64, bytes int) {
	u.total += bytes
	u.entries = append(u.entries, pendingBytes{index: index, bytes: bytes})
}

func (u *uncommittedBytes) committed(index uint64) {
	done := slices.IndexFunc(u.entries, func(p pendingBytes) bool { return p.index > index })
	if done < 0 {
		done = len(u.entries)
	}
	for _, p := range u.entries[:done] {
		u.total -= p.bytes
	}
	u.entries = u.entries[done:]
}
