package consensus

import "goldcrestseam.dev/goldcrestseam/internal/rpc/pb"

// persistence is the state of syncing: at most one Persist under way, and the
// messages that must wait for one. Proposals that come during a sync share the
// next one (group commit).
type persistence struct {
	// sequence is that of the latest Persist given out.
	sequence uint64
	// underWay is true until Persisted comes.
	underWay bool
	// stableAfter is how far the log is synced once it does.
	stableAfter uint64
	// hard is the hard state that the Persist under way writes, nil if none.
	hard *pb.HardState
	// syncedTerm is the term that is known to be synced.
	syncedTerm uint64
	// hardDirty, truncateFrom and compactTo are what the next must write.
	hardDirty    bool
	truncateFrom uint64
	compactTo    uint64
	gated        []gatedMessage
}

// gatedMessage may only go out once the Persist of that sequence is synced.
type gatedMessage struct {
	sequence uint64
	message  *pb.Message
}

// noteTruncated records that entries from index on are replaced, also those that
// the Persist under way writes.
func (p *persistence) noteTruncated(from uint64) {
	p.stableAfter = min(p.stableAfter, from-1)
	if p.truncateFrom == 0 || from < p.truncateFrom {
		p.truncateFrom = from
	}
}

// dirty tells whether there is something that the next Persist must write.
func (n *Node) dirty() bool {
	p := &n.persist
	return p.hardDirty || p.truncateFrom != 0 || p.compactTo != 0 || n.log.stable < n.log.lastIndex()
}

// unsynced tells whether a write that votes and acknowledgements rely on is
// still to come beyond the one under way.
func (n *Node) unsynced() bool {
	p := &n.persist
	written := n.log.stable
	if p.underWay {
		written = max(written, p.stableAfter)
	}
	return p.hardDirty || p.truncateFrom != 0 || written < n.log.lastIndex()
}

// sendSynced sends a message once everything that this replica has decided up to
// now is synced. A vote or acknowledgement that went out earlier would be
// forgotten in a crash: the replica could vote twice in a term, or the leader
// count an entry as held here that is not.
func (n *Node) sendSynced(m *pb.Message) {
	p := &n.persist
	switch {
	case n.unsynced():
		p.gated = append(p.gated, gatedMessage{sequence: p.sequence + 1, message: m})
	case p.underWay:
		p.gated = append(p.gated, gatedMessage{sequence: p.sequence, message: m})
	default:
		n.send(m)
	}
}

// sendInTerm sends a message that only binds this replica to its term, such as a
// heartbeat's answer: it need not wait for a log write under way.
func (n *Node) sendInTerm(m *pb.Message) {
	if n.persist.syncedTerm == n.term {
		n.send(m)
		return
	}
	n.sendSynced(m)
}

// flush gives out a Persist if there is something to write and none is under way.
func (n *Node) flush() {
	p := &n.persist
	if p.underWay || n.incoming.restoring() || !n.dirty() {
		return
	}
	p.sequence++
	p.underWay = true
	p.stableAfter = n.log.lastIndex()
	p.hard = &pb.HardState{
		Term: n.term, Vote: n.vote, Commit: n.log.commit, Formed: n.formation.formed,
	}
	n.emit(Persist{
		Sequence: p.sequence, HardState: p.hard,
		TruncateFrom: p.truncateFrom, CompactTo: p.compactTo,
		Entries: n.log.slice(n.log.stable+1, n.log.lastIndex(), maxInt),
	})
	p.hardDirty, p.truncateFrom, p.compactTo = false, 0, 0
}

func (n *Node) onPersisted(e Persisted) {
	p := &n.persist
	if !p.underWay || e.Sequence != p.sequence {
		return
	}
	p.underWay = false
	p.syncedTerm = p.hard.Term
	n.log.stable = max(n.log.stable, p.stableAfter)
	n.releaseGated()
	if n.role == candidate && p.hard.Term == n.term && p.hard.Vote == n.cfg.ID {
		n.recordVote(n.cfg.ID, true)
	}
	if n.role == leader {
		n.advanceCommit()
	}
	n.startRestore()
}

func (n *Node) releaseGated() {
	p := &n.persist
	kept := p.gated[:0]
	for _, g := range p.gated {
		if g.sequence <= p.sequence {
			n.send(g.message)
			continue
		}
		kept = append(kept, g)
	}
	clear(p.gated[len(kept):])
	p.gated = kept
}
