package consensus

import "time"

type progressState int

const (
	// probing: the index up to which the logs agree is unknown; one append at a
	// time.
	probing progressState = iota
	// replicating: appends are pipelined, up to the in-flight bound.
	replicating
	// snapshotting: the replica needs entries that are compacted.
	snapshotting
)

// progress is a leader's view of another replica.
//
// Invariant: match < next, and the replica has synced everything up to match.
type progress struct {
	state progressState
	match uint64
	next  uint64
	// inflight holds the unanswered appends, in order.
	inflight []inflightAppend
	// lastActivityAt is when an append or chunk was last sent or answered. A
	// replica that is behind and inactive for too long is probed again, since
	// the message or its response may be lost.
	lastActivityAt time.Duration
	// probeSent blocks further appends while probing.
	probeSent bool
	// ackedRound is the latest heartbeat round answered; ackedSentAt is when it
	// was sent.
	ackedRound  uint64
	ackedSentAt time.Duration
	// lastContactAt is when the replica's last response arrived.
	lastContactAt time.Duration
	// caughtUpAt is when an answer last showed that the replica had synced all that was
	// committed then.
	caughtUpAt time.Duration
	// answeredInTerm is true once the replica has answered in this term.
	answeredInTerm bool
	// incarnation is that of the replica's last response, empty if there was
	// none.
	incarnation      string
	snapshotTransfer *snapshotTransfer
}

// inflightAppend is an append that was sent and not answered.
type inflightAppend struct {
	// last is the index of its last entry.
	last  uint64
	bytes int
}

func (p *progress) probe() {
	p.state, p.next, p.probeSent = probing, p.match+1, false
	p.inflight, p.snapshotTransfer = nil, nil
}

// onAcknowledged records that the replica has synced everything up to index, and
// returns true if match has advanced.
func (p *progress) onAcknowledged(index uint64, now time.Duration) bool {
	for len(p.inflight) > 0 && p.inflight[0].last <= index {
		p.inflight = p.inflight[1:]
	}
	advanced := index > p.match
	p.match = max(p.match, index)
	p.next = max(p.next, index+1)
	p.lastActivityAt = now
	if p.state == probing || p.state == snapshotting && p.snapshotTransfer.isCoveredBy(index) {
		p.state, p.probeSent, p.snapshotTransfer = replicating, false, nil
	}
	return advanced
}

// paused reports whether no append may be sent.
func (p *progress) paused(maxInflight, maxBytes int) bool {
	switch p.state {
	case probing:
		return p.probeSent
	case replicating:
		return len(p.inflight) >= maxInflight || p.inflightBytes() >= maxBytes
	default:
		return true
	}
}

func (p *progress) inflightBytes() int {
	total := 0
	for _, a := range p.inflight {
		total += a.bytes
	}
	return total
}

// onAppendSent records an append.
func (p *progress) onAppendSent(a inflightAppend, now time.Duration) {
	p.lastActivityAt = now
	if p.state == probing {
		p.probeSent = true
		return
	}
	p.next = a.last + 1
	p.inflight = append(p.inflight, a)
}

// active reports whether the replica has answered in this term and within the
// timeout.
func (p *progress) active(now, timeout time.Duration) bool {
	return p.answeredInTerm && now < p.lastContactAt+timeout
}
