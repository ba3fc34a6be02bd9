package consensus

import "time"

type progressState int

const (
	// probing: where the logs agree is unknown; one append at a time.
	probing progressState = iota
	// replicating: appends go out without waiting, up to the inflight bound.
	replicating
	// snapshotting: the replica needs entries that are compacted away.
	snapshotting
)

// progress is what a leader knows of another replica.
//
// Invariant: match < next, and everything up to match is synced there.
type progress struct {
	state progressState
	match uint64
	next  uint64
	// inflight holds the last index of each unanswered append, in order.
	inflight []uint64
	// movedAt is when an append or chunk was last sent or answered; a replica
	// that is behind and silent for longer is probed again, since the message
	// or its answer may be lost.
	movedAt time.Duration
	// probeSent holds back further appends while probing.
	probeSent bool
	// ackedRound and ackedSentAt are the latest heartbeat round answered and
	// when it was sent.
	ackedRound  uint64
	ackedSentAt time.Duration
	// activeAt is when it was last heard.
	activeAt time.Duration
	// heard is true once it answered in this term.
	heard bool
	// incarnation is the one that answers, empty until it does.
	incarnation string
	transfer    *snapshotTransfer
}

func (p *progress) probe() {
	p.state, p.next, p.probeSent = probing, p.match+1, false
	p.inflight, p.transfer = nil, nil
}

// acked notes that everything up to index is synced there; true if that is news.
func (p *progress) acked(index uint64, now time.Duration) bool {
	for len(p.inflight) > 0 && p.inflight[0] <= index {
		p.inflight = p.inflight[1:]
	}
	news := index > p.match
	p.match = max(p.match, index)
	p.next = max(p.next, index+1)
	p.movedAt = now
	if p.state == probing || p.state == snapshotting && p.transfer.covered(index) {
		p.state, p.probeSent, p.transfer = replicating, false, nil
	}
	return news
}

// paused tells whether no append may go out now.
func (p *progress) paused(maxInflight int) bool {
	switch p.state {
	case probing:
		return p.probeSent
	case replicating:
		return len(p.inflight) >= maxInflight
	default:
		return true
	}
}

// sent notes an append of entries up to last.
func (p *progress) sent(last uint64, now time.Duration) {
	p.movedAt = now
	if p.state == probing {
		p.probeSent = true
		return
	}
	p.next = last + 1
	p.inflight = append(p.inflight, last)
}

// active tells whether the replica has answered in this term and not long ago.
func (p *progress) active(now, timeout time.Duration) bool {
	return p.heard && now < p.activeAt+timeout
}
