package consensus

import "goldcrestseam.dev/goldcrestseam/internal/rpc/pb"

// persistence tracks what is synced: at most one Persist is in progress, and
// messages that depend on one are deferred. Proposals that arrive during a sync
// share the next one (group commit).
type persistence struct {
	// sequence is that of the latest Persist.
	sequence uint64
	// inProgress is true until Persisted arrives.
	inProgress bool
	// stableAfter is how far the log is synced once the Persist in progress
	// completes.
	stableAfter uint64
	// hardState is what the latest Persist writes, nil before the first.
	hardState *pb.HardState
	// syncedTerm is the term that is known to be synced.
	syncedTerm uint64
	// hardStateDirty, truncateFrom and compactTo are what the next Persist must
	// write.
	hardStateDirty bool
	truncateFrom   uint64
	compactTo      uint64
	deferred       []deferredMessage
}

// deferredMessage may be sent only once the Persist of that sequence is synced.
type deferredMessage struct {
	sequence uint64
	message  *pb.Message
}

// recordTruncation records that entries from an index on are replaced, including
// those that the Persist in progress writes.
func (p *persistence) recordTruncation(from uint64) {
	p.stableAfter = min(p.stableAfter, from-1)
	if p.truncateFrom == 0 || from < p.truncateFrom {
		p.truncateFrom = from
	}
}

// dirty reports whether the next Persist has something to write.
func (n *Node) dirty() bool {
	p := &n.persist
	return p.hardStateDirty || p.truncateFrom != 0 || p.compactTo != 0 || n.log.stable < n.log.lastIndex()
}

// hasUnsyncedState reports whether votes or acknowledgements depend on a write that the
// Persist in progress does not contain.
func (n *Node) hasUnsyncedState() bool {
	p := &n.persist
	written := n.log.stable
	if p.inProgress {
		written = max(written, p.stableAfter)
	}
	return p.hardStateDirty || p.truncateFrom != 0 || written < n.log.lastIndex()
}

// sendAfterSync sends a message once all current state of this replica is synced.
// If a vote or acknowledgement were sent earlier, a crash could make the replica
// forget it: the replica could vote twice in a term, or the leader could count an
// entry that this replica no longer holds.
func (n *Node) sendAfterSync(m *pb.Message) {
	p := &n.persist
	switch {
	case n.hasUnsyncedState():
		p.deferred = append(p.deferred, deferredMessage{sequence: p.sequence + 1, message: m})
	case p.inProgress:
		p.deferred = append(p.deferred, deferredMessage{sequence: p.sequence, message: m})
	default:
		n.send(m)
	}
}

// sendAfterTermSync sends a message that depends only on this replica's term, such
// as a heartbeat response. It need not wait for a log write in progress.
func (n *Node) sendAfterTermSync(m *pb.Message) {
	if n.persist.syncedTerm == n.term {
		n.send(m)
		return
	}
	n.sendAfterSync(m)
}

// flush emits a Persist if there is something to write and none is in progress.
func (n *Node) flush() {
	p := &n.persist
	if p.inProgress || n.incomingSnapshot.restoring() || !n.dirty() {
		return
	}
	p.sequence++
	p.inProgress = true
	p.stableAfter = n.log.lastIndex()
	p.hardState = &pb.HardState{
		Term: n.term, Vote: n.votedFor, Commit: n.log.commit, Formed: n.handshake.formed,
	}
	n.emit(Persist{
		Sequence: p.sequence, HardState: p.hardState,
		TruncateFrom: p.truncateFrom, CompactTo: p.compactTo,
		Entries: n.log.slice(n.log.stable+1, n.log.lastIndex(), maxInt),
	})
	p.hardStateDirty, p.truncateFrom, p.compactTo = false, 0, 0
}

func (n *Node) onPersisted(e Persisted) {
	p := &n.persist
	if !p.inProgress || e.Sequence != p.sequence {
		return
	}
	p.inProgress = false
	p.syncedTerm = p.hardState.Term
	n.log.stable = max(n.log.stable, p.stableAfter)
	n.sendDeferred()
	if n.votes != nil && p.hardState.Term == n.term && p.hardState.Vote == n.cfg.ID {
		n.recordVote(n.cfg.ID, true)
	}
	if n.role == leader {
		n.advanceCommit()
	}
	n.startRestore()
}

func (n *Node) sendDeferred() {
	p := &n.persist
	kept := p.deferred[:0]
	for _, d := range p.deferred {
		if d.sequence <= p.sequence {
			n.send(d.message)
			continue
		}
		kept = append(kept, d)
	}
	clear(p.deferred[len(kept):])
	p.deferred = kept
}
