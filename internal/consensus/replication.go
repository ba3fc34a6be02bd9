package consensus

import "goldcrestseam.dev/goldcrestseam/internal/rpc/pb"

// stallIntervals is how many heartbeat intervals a replica that is behind may
// stay silent before its last message counts as lost and is sent again.
const stallIntervals = 2

func (n *Node) onPropose(e Propose) {
	if reason := n.refuseProposal(len(e.Data)); reason != 0 {
		n.emit(ProposalRefused{ID: e.ID, Reason: reason})
		return
	}
	entry := n.appendOwn(pb.LogEntryKind_LOG_ENTRY_KIND_NORMAL, e.Data)
	n.emit(ProposalAppended{ID: e.ID, Index: entry.Index, Term: entry.Term})
	n.replicateAll()
}

func (n *Node) refuseProposal(bytes int) RefusalReason {
	switch {
	case n.role != leader || n.handingOver():
		return NotLeader
	case n.lead.uncommitted.total+bytes > n.cfg.MaxUncommittedBytes:
		return Overloaded
	}
	return 0
}

// appendOwn appends an entry of the own term to the leader's log.
func (n *Node) appendOwn(kind pb.LogEntryKind, data []byte) *pb.LogEntry {
	entry := &pb.LogEntry{Term: n.term, Index: n.log.lastIndex() + 1, Kind: kind, Data: data}
	n.log.append(entry)
	n.lead.uncommitted.add(entry.Index, len(data))
	return entry
}

// replicateAll sends each member what it lacks, as far as flow control allows.
func (n *Node) replicateAll() {
	for _, id := range n.peers() {
		n.replicate(id)
	}
}

func (n *Node) replicate(id uint64) {
	pr := n.lead.progress[id]
	for n.sendAppend(id, pr) {
	}
}

// sendAppend sends one append message if there is cause; true if another may follow.
func (n *Node) sendAppend(id uint64, pr *progress) bool {
	last := n.log.lastIndex()
	if pr.paused(n.cfg.MaxInflight) || pr.match == last || pr.state == replicating && pr.next > last {
		return false
	}
	prevTerm, ok := n.log.term(pr.next - 1)
	if !ok {
		n.startSnapshot(id, pr)
		return false
	}
	entries := n.log.slice(pr.next, last, n.cfg.MaxAppendBytes)
	m := n.message(pb.MessageKind_MESSAGE_KIND_APPEND, id)
	m.Index, m.LogTerm = pr.next-1, prevTerm
	m.Entries, m.Commit = entries, n.log.commit
	n.send(m)
	pr.sent(m.Index+uint64(len(entries)), n.now)
	return true
}

// onLeaderMessage takes what the leader of the current term sends. There is one
// leader a term, so a leader never gets here.
func (n *Node) onLeaderMessage(m *pb.Message) {
	if n.role == leader {
		return
	}
	if n.role != follower || n.leader != m.From {
		n.becomeFollower(m.Term, m.From)
	}
	n.heardAt = n.now
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

// onHeartbeat follows the commit index where the log agrees. The leader bounds it
// by what this replica has acknowledged in this term; but a replica whose folder
// was put back from an older copy may hold another entry there, and would apply
// one that was never committed.
func (n *Node) onHeartbeat(m *pb.Message) {
	if n.log.matches(m.Index, m.LogTerm) {
		n.followCommit(m.Index)
	}
	answer := n.message(pb.MessageKind_MESSAGE_KIND_HEARTBEAT_RESPONSE, m.From)
	answer.Context = m.Context
	n.sendInTerm(answer)
}

func (n *Node) followCommit(index uint64) {
	if n.incoming.restoring() {
		return
	}
	n.log.commit = max(n.log.commit, min(index, n.log.lastIndex()))
}

func (n *Node) onAppend(m *pb.Message) {
	if n.incoming.restoring() || !wellFormed(m) {
		return
	}
	if m.Index < n.log.commit {
		// Both logs hold the same up to commit; say so at once.
		n.answerAppend(m.From, n.log.commit)
		return
	}
	if !n.log.matches(m.Index, m.LogTerm) {
		n.rejectAppend(m)
		return
	}
	n.takeEntries(m.Entries)
	last := m.Index + uint64(len(m.Entries))
	n.followCommit(min(m.Commit, last))
	n.answerAppend(m.From, last)
}

// wellFormed tells whether the entries follow each other as a leader's do, and
// membership entries can be read.
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

// takeEntries appends what the log lacks and replaces what conflicts. Entries
// that are there already stay: an old, delayed append must not cut what a newer
// one has added.
func (n *Node) takeEntries(entries []*pb.LogEntry) {
	for i, e := range entries {
		if n.log.matches(e.Index, e.Term) {
			continue
		}
		if e.Index <= n.log.lastIndex() {
			n.log.truncate(e.Index)
			n.persist.noteTruncated(e.Index)
			n.truncateMembers(e.Index)
		}
		n.log.append(entries[i:]...)
		n.takeMembers(entries[i:])
		return
	}
}

func (n *Node) answerAppend(to, index uint64) {
	answer := n.message(pb.MessageKind_MESSAGE_KIND_APPEND_RESPONSE, to)
	answer.Index = index
	n.sendSynced(answer)
}

// rejectAppend says where the logs may agree, so that the leader skips whole
// terms instead of trying each index.
func (n *Node) rejectAppend(m *pb.Message) {
	answer := n.message(pb.MessageKind_MESSAGE_KIND_APPEND_RESPONSE, m.From)
	answer.Reject, answer.Index = true, m.Index
	answer.RejectHint, answer.RejectHintTerm = n.log.hintBelow(m.Index, m.LogTerm)
	n.sendInTerm(answer)
}

func (n *Node) onFollowerMessage(m *pb.Message, incarnation string) {
	if n.role != leader {
		return
	}
	pr := n.lead.progress[m.From]
	if pr == nil {
		return
	}
	bound := findMember(n.members.current(), m.From).GetIdentity().GetIncarnation()
	if bound != "" && bound != incarnation {
		// The host goes by the committed list, which may not name the life yet.
		return
	}
	if pr.incarnation != incarnation && pr.heard {
		// Another life of a learner: what the earlier one had synced is gone.
		*pr = n.newProgress()
	}
	pr.activeAt, pr.heard, pr.incarnation = n.now, true, incarnation
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
	if at, ok := n.lead.rounds.sent(m.Context); ok && m.Context > pr.ackedRound {
		pr.ackedRound, pr.ackedSentAt = m.Context, at
	}
	n.confirmReads()
	stalled := n.now >= pr.movedAt+stallIntervals*n.cfg.HeartbeatInterval
	if pr.match == n.log.lastIndex() || !stalled {
		return
	}
	if pr.state == snapshotting {
		n.sendChunk(m.From, pr)
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
		// Nobody can hold more of this term's log than its leader; the sender is
		// not what it says it is.
		return
	}
	if pr.acked(m.Index, n.now) {
		n.advanceCommit()
	}
	if n.role != leader {
		return
	}
	n.settleMembers()
	n.replicate(m.From)
	n.driveTransfer()
}

// onAppendRejected moves back to where the logs may agree. Rejections that are
// older than what is known by now are left alone.
func (n *Node) onAppendRejected(m *pb.Message, pr *progress) {
	stale := m.Index <= pr.match || pr.state == probing && m.Index != pr.next-1
	if stale || pr.state == snapshotting {
		return
	}
	hint := min(m.RejectHint, m.Index-1)
	agreed, _ := n.log.hintBelow(hint, m.RejectHintTerm)
	pr.probe()
	pr.next = max(pr.match, agreed) + 1
	pr.movedAt = n.now
	n.replicate(m.From)
}
