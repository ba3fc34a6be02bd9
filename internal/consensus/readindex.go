package consensus

// readQueue holds reads that wait for a quorum to answer a heartbeat round sent
// after they came: then no later leader had committed anything when they came,
// so the commit index noted with them covers everything committed before.
type readQueue struct{ reads []pendingRead }

type pendingRead struct {
	id    uint64
	index uint64
	// round is zero until a round begins after the read came.
	round uint64
}

// begin gives the reads without a round to this one.
func (q *readQueue) begin(round uint64) {
	for i := range q.reads {
		if q.reads[i].round == 0 {
			q.reads[i].round = round
		}
	}
}

// roundUnderWay tells whether reads wait for a round's answers already.
func (q *readQueue) roundUnderWay() bool {
	return len(q.reads) > 0 && q.reads[0].round != 0
}

// take removes the reads that the answered round confirms. Rounds grow along the
// queue, so they are its head.
func (q *readQueue) take(answered uint64) []pendingRead {
	done := 0
	for done < len(q.reads) && q.reads[done].round != 0 && q.reads[done].round <= answered {
		done++
	}
	taken := q.reads[:done]
	q.reads = q.reads[done:]
	return taken
}

// onReadIndex begins a heartbeat round unless reads wait for one already; then
// the next round takes this read and all others that have come meanwhile.
func (n *Node) onReadIndex(e ReadIndex) {
	if !n.ready() {
		n.emit(ReadRefused(e))
		return
	}
	underWay := n.lead.reads.roundUnderWay()
	n.lead.reads.reads = append(n.lead.reads.reads, pendingRead{id: e.ID, index: n.log.commit})
	if !underWay {
		n.heartbeat()
	}
}

func (n *Node) confirmReads() {
	if len(n.lead.reads.reads) == 0 {
		return
	}
	for _, r := range n.lead.reads.take(n.answeredRound()) {
		n.emit(ReadReady{ID: r.id, Index: r.index})
	}
	if q := &n.lead.reads; len(q.reads) > 0 && !q.roundUnderWay() {
		n.heartbeat()
	}
}

// answeredRound is the latest round that a quorum has answered.
func (n *Node) answeredRound() uint64 {
	voters := voterIDs(n.members.current())
	rounds := make([]uint64, 0, len(voters))
	for _, id := range voters {
		round := n.lead.rounds.last
		if id != n.cfg.ID {
			round = n.lead.progress[id].ackedRound
		}
		rounds = append(rounds, round)
	}
	return quorumValue(rounds)
}

func (n *Node) refuseReads() {
	for _, r := range n.lead.reads.reads {
		n.emit(ReadRefused{ID: r.id})
	}
	n.lead.reads = readQueue{}
}
