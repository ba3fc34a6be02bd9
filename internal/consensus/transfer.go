package consensus

import "goldcrestseam.dev/goldcrestseam/internal/rpc/pb"

// transferTimeouts is the longest duration of a transfer in ElectionTimeouts: one
// for the last lease to expire, one for the target to catch up.
const transferTimeouts = 2

// onTransferLeadership chooses the responsive voter with the most complete log. The
// leader's lease must expire first: voters grant the target's vote request without
// regard to a current leader, so nothing else prevents two leaders at the same
// time.
func (n *Node) onTransferLeadership() {
	if n.role != leader || n.leaderState.transferTo != 0 {
		return
	}
	n.leaderState.transferTo = n.transferTarget()
	n.leaderState.transferStartedAt = n.now
	n.continueTransfer()
}

func (n *Node) transferTarget() uint64 {
	var target, match uint64
	for _, id := range voterIDs(n.members.current()) {
		pr := n.leaderState.progress[id]
		if id == n.cfg.ID || !pr.active(n.now, n.cfg.ElectionTimeout) {
			continue
		}
		if target == 0 || pr.match > match {
			target, match = id, pr.match
		}
	}
	return target
}

// transferLeaseExpired reports whether a transfer is in progress and the last lease
// has expired. The leader accepts proposals until then and refuses them afterwards.
func (n *Node) transferLeaseExpired() bool {
	return n.leaderState.transferTo != 0 && n.now >= n.leaderState.reportedLeaseEnd
}

// continueTransfer tells the target to campaign once the lease has expired and the
// target holds the whole log.
//
// If the transfer does not complete in time, the leader steps down instead of
// continuing: TIMEOUT_NOW may still be on its way, and the target's election would
// violate a renewed lease.
func (n *Node) continueTransfer() {
	if n.role != leader || n.leaderState.transferTo == 0 {
		return
	}
	if n.now >= n.leaderState.transferStartedAt+transferTimeouts*n.cfg.ElectionTimeout {
		n.stepDown()
		return
	}
	pr := n.leaderState.progress[n.leaderState.transferTo]
	if pr == nil {
		n.stepDown()
		return
	}
	if n.leaderState.transferSent || !n.transferLeaseExpired() || pr.match != n.log.lastIndex() {
		return
	}
	n.leaderState.transferSent = true
	n.send(n.message(pb.MessageKind_MESSAGE_KIND_TIMEOUT_NOW, n.leaderState.transferTo))
}

func (n *Node) onTimeoutNow(m *pb.Message) {
	if n.role == follower && n.leader == m.From && n.canCampaign() {
		n.startElection(true)
	}
}
