package consensus

import "goldcrestseam.dev/goldcrestseam/internal/rpc/pb"

// transferTimeouts is how many ElectionTimeouts a transfer may take: one for the
// last lease to run out, one for the target to catch up.
const transferTimeouts = 2

// onTransferLeadership picks the voter whose log is most complete among those
// that answer. Its lease ends first: the target's votes pass stickiness, so
// nothing else keeps two leaders from believing at once.
func (n *Node) onTransferLeadership() {
	if n.role != leader || n.lead.transferTo != 0 {
		return
	}
	n.lead.transferTo = n.transferTarget()
	n.lead.transferBegan = n.now
	n.driveTransfer()
}

func (n *Node) transferTarget() uint64 {
	var target, match uint64
	for _, id := range voterIDs(n.members.current()) {
		pr := n.lead.progress[id]
		if id == n.cfg.ID || !pr.active(n.now, n.cfg.ElectionTimeout) {
			continue
		}
		if target == 0 || pr.match > match {
			target, match = id, pr.match
		}
	}
	return target
}

// handingOver tells whether proposals are refused since leadership moves now.
// Until the last lease has run out the leader still takes them.
func (n *Node) handingOver() bool {
	return n.lead.transferTo != 0 && n.now >= n.lead.leaseGiven
}

// driveTransfer tells the target to campaign once the lease has run out and the
// target holds the whole log.
//
// A transfer that does not end steps down instead of leading on: the message may
// be on its way still, and a lease renewed now could be broken by it.
func (n *Node) driveTransfer() {
	if n.role != leader || n.lead.transferTo == 0 {
		return
	}
	if n.now >= n.lead.transferBegan+transferTimeouts*n.cfg.ElectionTimeout {
		n.stepDown()
		return
	}
	pr := n.lead.progress[n.lead.transferTo]
	if pr == nil {
		n.stepDown()
		return
	}
	if n.lead.transferSent || !n.handingOver() || pr.match != n.log.lastIndex() {
		return
	}
	n.lead.transferSent = true
	n.send(n.message(pb.MessageKind_MESSAGE_KIND_TIMEOUT_NOW, n.lead.transferTo))
}

func (n *Node) onTimeoutNow(m *pb.Message) {
	if n.role == follower && n.leader == m.From && n.mayCampaign() {
		n.startElection(true)
	}
}
