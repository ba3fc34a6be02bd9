package consensus

import "goldcrestseam.dev/goldcrestseam/internal/rpc/pb"

// stallIntervals is the number of heartbeat intervals without activity after which
// the last message to a replica that is behind counts as lost and is sent again.
const stallIntervals = 2

func (n *Node) onPropose(e Propose) {
	if reason := n.proposalRefusal(len(e.Data)); reason != 0 {
		n.emit(ProposalRefused{ID: e.ID, Reason: reason})
		return
	}
	entry := n.appendEntry(pb.LogEntryKind_LOG_ENTRY_KIND_NORMAL, e.Data)
	n.emit(ProposalAppended{ID: e.ID, Index: entry.Index, Term: entry.Term})
	n.replicateAll()
}

func (n *Node) proposalRefusal(bytes int) RefusalReason {
	switch {
	case n.role != leader || n.transferLeaseExpired():
		return NotLeader
	case n.leaderState.uncommitted.total+bytes > n.cfg.MaxUncommittedBytes:
		return Overloaded
	}
	return 0
}

// appendEntry appends an entry of the current term to the leader's log.
func (n *Node) appendEntry(kind pb.LogEntryKind, data []byte) *pb.LogEntry {
	entry := &pb.LogEntry{Term: n.term, Index: n.log.lastIndex() + 1, Kind: kind, Data: data}
	n.log.append(entry)
	n.leaderState.uncommitted.add(entry.Index, len(data))
	return entry
}

// replicateAll sends each member the entries it lacks, as far as flow control
// allows.
func (n *Node) replicateAll() {
	for _, id := range n.peers() {
		n.replicate(id)
	}
}

func (n *Node) replicate(id uint64) {
	pr := n.leaderState.progress[id]
	for n.sendAppend(id, pr) {
	}
}

// sendAppend sends one append message if one is needed, and returns true if another
// may follow.
func (n *Node) sendAppend(id uint64, pr *progress) bool {
	last := n.log.lastIndex()
	if pr.paused(n.cfg.MaxInflight, n.cfg.MaxInflightBytes) || pr.match == last || pr.state == replicating && pr.next > last {
		return false
	}
	prevTerm, ok := n.log.term(pr.next - 1)
	if !ok {
		n.startSnapshotTransfer(id, pr)
		return false
	}
	entries := n.log.slice(pr.next, last, n.cfg.MaxAppendBytes)
	m := n.message(pb.MessageKind_MESSAGE_KIND_APPEND, id)
	m.Index, m.LogTerm = pr.next-1, prevTerm
	m.Entries, m.Commit = entries, n.log.commit
	n.send(m)
	pr.onAppendSent(inflightAppend{last: m.Index + uint64(len(entries)), bytes: sizeOf(entries)}, n.now)
	return true
}

// onLeaderMessage handles a message of the current term's leader. A term has only
// one leader, so a leader ignores it.
func (n *Node) onLeaderMessage(m *pb.Message) {
	if n.role == leader {
		return
	}
	if n.role != follower || n.leader != m.From {
		n.becomeFollower(m.Term, m.From)
	}
	n.lastLeaderContact = n.now
	n.resetElectionDeadline()
	switch m.Kind {
	case pb.MessageKind_MESSAGE_KIND_HEARTBEAT:
		n.onHeartbeat(m)
	case pb.MessageKind_MESSAGE_KIND_APPEND:
		n.onAppend(m)
	case pb.MessageKind_MESSAGE_KIND_SNAPSHOT:
		n.onSnapshotChunk(m)
	}
}

// onHeartbeat advances the commit index if the log matches. The leader sends no
// higher index than this replica has acknowledged in this term. The log may still
// differ: a replica whose folder was restored from an older copy may hold another
// entry there, and would apply one that was never committed.
func (n *Node) onHeartbeat(m *pb.Message) {
	if n.log.matches(m.Index, m.LogTerm) {
		n.raiseCommit(m.Index)
	}
	resp := n.message(pb.MessageKind_MESSAGE_KIND_HEARTBEAT_RESPONSE, m.From)
	resp.Context = m.Context
	n.sendAfterTermSync(resp)
}

func (n *Node) raiseCommit(index uint64) {
	if n.incomingSnapshot.restoring() {
		return
	}
	n.log.commit = max(n.log.commit, min(index, n.log.lastIndex()))
}

func (n *Node) onAppend(m *pb.Message) {
	if n.incomingSnapshot.restoring() || !wellFormed(m) {
		return
	}
	if m.Index < n.log.commit {
		// Both logs are equal up to commit, so acknowledge that at once.
		n.sendAppendResponse(m.From, n.log.commit)
		return
	}
	if !n.log.matches(m.Index, m.LogTerm) {
		n.sendAppendRejection(m)
		return
	}
	n.mergeEntries(m.Entries)
	last := m.Index + uint64(len(m.Entries))
	n.raiseCommit(min(m.Commit, last))
	n.sendAppendResponse(m.From, last)
}

// wellFormed reports whether the entries are consecutive with non-decreasing terms
// up to the message's term, and membership entries can be decoded.
func wellFormed(m *pb.Message) bool {
	index, term := m.Index, m.LogTerm
	for _, e := range m.Entries {
		if e.GetIndex() != index+1 || e.Term < term || e.Term > m.Term {
			return false
		}
		if _, err := decodeMembership(e); err != nil {
			return false
		}
		index, term = e.Index, e.Term
	}
	return true
}

// mergeEntries appends entries that the log lacks and replaces conflicting ones.
// Matching entries stay: a delayed append must not truncate what a later one has
// added.
func (n *Node) mergeEntries(entries []*pb.LogEntry) {
	for i, e := range entries {
		if n.log.matches(e.Index, e.Term) {
			continue
		}
		if e.Index <= n.log.lastIndex() {
			n.log.truncate(e.Index)
			n.persist.recordTruncation(e.Index)
			n.truncateMemberships(e.Index)
		}
		n.log.append(entries[i:]...)
		n.adoptMemberships(entries[i:])
		return
	}
}

func (n *Node) sendAppendResponse(to, index uint64) {
	resp := n.message(pb.MessageKind_MESSAGE_KIND_APPEND_RESPONSE, to)
	resp.Index = index
	n.sendAfterSync(resp)
}

// sendAppendRejection reports where the logs may agree, so that the leader skips
// whole terms instead of trying each index.
func (n *Node) sendAppendRejection(m *pb.Message) {
	resp := n.message(pb.MessageKind_MESSAGE_KIND_APPEND_RESPONSE, m.From)
	resp.Reject, resp.Index = true, m.Index
	resp.RejectHint, resp.RejectHintTerm = n.log.conflictHint(m.Index, m.LogTerm)
	n.sendAfterTermSync(resp)
}

func (n *Node) onReplicaResponse(m *pb.Message, incarnation string) {
	if n.role != leader {
		return
	}
	pr := n.leaderState.progress[m.From]
	if pr == nil {
		return
	}
	expected := findMember(n.members.current(), m.From).GetIdentity().GetIncarnation()
	if expected != "" && expected != incarnation {
		// The host checks the committed list, which may not contain this
		// incarnation yet.
		return
	}
	if pr.incarnation != incarnation && pr.answeredInTerm {
		// A learner has a new incarnation, so what the earlier one had synced
		// is lost.
		*pr = n.newProgress()
	}
	pr.lastContactAt, pr.answeredInTerm, pr.incarnation = n.now, true, incarnation
	switch m.Kind {
	case pb.MessageKind_MESSAGE_KIND_HEARTBEAT_RESPONSE:
		n.onHeartbeatResponse(m, pr)
	case pb.MessageKind_MESSAGE_KIND_APPEND_RESPONSE:
		n.onAppendResponse(m, pr)
	case pb.MessageKind_MESSAGE_KIND_SNAPSHOT_RESPONSE:
		n.onSnapshotResponse(m, pr)
	}
}

func (n *Node) onHeartbeatResponse(m *pb.Message, pr *progress) {
	if at, ok := n.leaderState.rounds.sendTime(m.Context); ok && m.Context > pr.ackedRound {
		pr.ackedRound, pr.ackedSentAt = m.Context, at
		n.observeHeartbeatRoundTrip(at)
	}
	n.confirmReads()
	stalled := n.now >= pr.lastActivityAt+stallIntervals*n.cfg.HeartbeatInterval
	if pr.match == n.log.lastIndex() || !stalled {
		return
	}
	if pr.state == snapshotting {
		n.sendSnapshotChunk(m.From, pr)
		return
	}
	pr.probe()
	n.replicate(m.From)
}

func (n *Node) onAppendResponse(m *pb.Message, pr *progress) {
	if m.Reject {
		n.onAppendRejected(m, pr)
		return
	}
	if m.Index > n.log.lastIndex() {
		// No replica can hold more of this term's log than its leader, so the
		// response is invalid.
		return
	}
	if pr.onAcknowledged(m.Index, n.now) {
		n.advanceCommit()
	}
	if n.role != leader {
		return
	}
	if pr.match >= n.log.commit {
		pr.caughtUpAt = n.now
	}
	n.advanceMembership()
	if n.leaderState.progress[m.From] != nil {
		// The sender is still a member: the end of a replacement may have dropped it.
		n.replicate(m.From)
	}
	n.continueTransfer()
}

// onAppendRejected moves back to where the logs may agree. Outdated rejections are
// ignored.
func (n *Node) onAppendRejected(m *pb.Message, pr *progress) {
	stale := m.Index <= pr.match || pr.state == probing && m.Index != pr.next-1
	if stale || pr.state == snapshotting {
		return
	}
	hint := min(m.RejectHint, m.Index-1)
	agreed, _ := n.log.conflictHint(hint, m.RejectHintTerm)
	pr.probe()
	pr.next = max(pr.match, agreed) + 1
	pr.lastActivityAt = n.now
	n.replicate(m.From)
}
