package consensus

import "time"

// keptRounds is how many heartbeat rounds can be told apart. An answer to an
// older one is at least as many steps late and renews nothing.
const keptRounds = 64

// heartbeatRounds remembers when each recent round was sent.
type heartbeatRounds struct {
	last   uint64
	sentAt [keptRounds]time.Duration
}

func (r *heartbeatRounds) begin(now time.Duration) uint64 {
	r.last++
	r.sentAt[r.last%keptRounds] = now
	return r.last
}

// sent tells when a round was sent; false if it is unknown or too old.
func (r *heartbeatRounds) sent(round uint64) (time.Duration, bool) {
	if round == 0 || round > r.last || round+keptRounds <= r.last {
		return 0, false
	}
	return r.sentAt[round%keptRounds], true
}

// leaseEnd is when the lease ends: LeaseDuration after the send time of the
// latest round that a quorum has answered. It counts from the send, since the
// answer may have been long on its way while the follower's own wait ran.
func (n *Node) leaseEnd() time.Duration {
	if n.role != leader || n.lead.transferTo != 0 || !n.ready() {
		return 0
	}
	voters := voterIDs(n.members.current())
	sent := make([]time.Duration, 0, len(voters))
	for _, id := range voters {
		at := n.now
		if id != n.cfg.ID {
			at = n.lead.progress[id].ackedSentAt
		}
		sent = append(sent, at)
	}
	base := quorumValue(sent)
	if base == 0 {
		return 0
	}
	return base + n.cfg.LeaseDuration
}

// LeaseUntil tells until when no other replica can lead, by the boot clock; zero
// if this replica does not lead, has not committed an entry of its term, or is
// handing over. It holds even if this replica steps down meanwhile.
func (n *Node) LeaseUntil() time.Duration {
	end := n.leaseEnd()
	n.lead.leaseGiven = max(n.lead.leaseGiven, end)
	return end
}
