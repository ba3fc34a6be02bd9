package consensus

import "time"

// maxTrackedRounds is the number of recent heartbeat rounds whose send time is
// kept. A response to an older one is ignored.
const maxTrackedRounds = 64

// heartbeatRounds records when each recent round was sent.
type heartbeatRounds struct {
	last   uint64
	sentAt [maxTrackedRounds]time.Duration
}

func (r *heartbeatRounds) begin(now time.Duration) uint64 {
	r.last++
	r.sentAt[r.last%maxTrackedRounds] = now
	return r.last
}

// sendTime returns when a round was sent; false if it is unknown or too old.
func (r *heartbeatRounds) sendTime(round uint64) (time.Duration, bool) {
	if round == 0 || round > r.last || round+maxTrackedRounds <= r.last {
		return 0, false
	}
	return r.sentAt[round%maxTrackedRounds], true
}

// leaseEnd is LeaseDuration after the send time of the latest round that a quorum
// has answered. It counts from the send time because the response may have been
// delayed while the follower's election timeout was already running.
func (n *Node) leaseEnd() time.Duration {
	if n.role != leader || n.leaderState.transferTo != 0 || !n.ready() {
		return 0
	}
	base := reachedByQuorum(n.members.current(), func(id uint64) time.Duration {
		if id == n.cfg.ID {
			return n.now
		}
		return n.leaderState.progress[id].ackedSentAt
	})
	if base == 0 {
		return 0
	}
	return base + n.cfg.LeaseDuration
}

// LeaseUntil returns the time, by the boot clock, until which no other replica can
// lead. It is zero if this replica is not the leader, has not committed an entry of
// its term, or is transferring leadership. The lease stays valid even if this
// replica steps down meanwhile.
func (n *Node) LeaseUntil() time.Duration {
	end := n.leaseEnd()
	n.leaderState.reportedLeaseEnd = max(n.leaderState.reportedLeaseEnd, end)
	return end
}
