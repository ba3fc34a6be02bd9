package consensus

// readQueue holds reads that wait for a quorum to answer a heartbeat round that was
// sent after the read arrived. Such a round proves that no later leader had
// committed anything when the read arrived, so the commit index recorded at its
// arrival covers everything committed before.
type readQueue struct{ entries []pendingRead }

type pendingRead struct {
	id    uint64
	index uint64
	// round is zero until a round starts after the read arrived.
	round uint64
}

// assignRound assigns the round to the reads that have none.
func (q *readQueue) assignRound(round uint64) {
	for i := range q.entries {
		if q.entries[i].round == 0 {
			q.entries[i].round = round
		}
	}
}

// roundInProgress reports whether reads already wait for the responses to a round.
func (q *readQueue) roundInProgress() bool {
	return len(q.entries) > 0 && q.entries[0].round != 0
}

// removeConfirmed removes the reads that the answered round confirms. Rounds
// increase along the queue, so they are at its head.
func (q *readQueue) removeConfirmed(answered uint64) []pendingRead {
	done := 0
	for done < len(q.entries) && q.entries[done].round != 0 && q.entries[done].round <= answered {
		done++
	}
	confirmed := q.entries[:done]
	q.entries = q.entries[done:]
	return confirmed
}

// onReadIndex starts a heartbeat round unless one is already in progress for
// earlier reads; in that case the next round confirms this read and all others that
// arrived meanwhile.
func (n *Node) onReadIndex(e ReadIndex) {
	if !n.ready() {
		n.emit(ReadRefused(e))
		return
	}
	inProgress := n.leaderState.reads.roundInProgress()
	n.leaderState.reads.entries = append(n.leaderState.reads.entries, pendingRead{id: e.ID, index: n.log.commit})
	if !inProgress {
		n.heartbeat()
	}
}

func (n *Node) confirmReads() {
	if len(n.leaderState.reads.entries) == 0 {
		return
	}
	for _, r := range n.leaderState.reads.removeConfirmed(n.quorumRound()) {
		n.emit(ReadReady{ID: r.id, Index: r.index})
	}
	if q := &n.leaderState.reads; len(q.entries) > 0 && !q.roundInProgress() {
		n.heartbeat()
	}
}

// quorumRound is the latest round that a quorum has answered.
func (n *Node) quorumRound() uint64 {
	return reachedByQuorum(n.members.current(), func(id uint64) uint64 {
		if id == n.cfg.ID {
			return n.leaderState.rounds.last
		}
		return n.leaderState.progress[id].ackedRound
	})
}

func (n *Node) refuseReads() {
	for _, r := range n.leaderState.reads.entries {
		n.emit(ReadRefused{ID: r.id})
	}
	n.leaderState.reads = readQueue{}
}
