package consensus

import (
	"fmt"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

type faultKind int

const (
	faultCrash faultKind = iota
	faultPause
	faultIsolate
	faultOneWayCut
	faultLeadershipTransfer
	numFaultKinds
)

// injectRandomFault starts a short fault, half of the time at the leader, where it
// has the most effect.
func (c *cluster) injectRandomFault() {
	h := c.hosts[c.ids[c.random.IntN(len(c.ids))]]
	if l := c.leader(); l != nil && c.random.IntN(2) == 0 {
		h = l
	}
	c.injectFault(faultKind(c.random.IntN(int(numFaultKinds))), h)
}

// injectFault starts a fault that ends after a random time.
func (c *cluster) injectFault(kind faultKind, h *host) {
	var end func()
	switch kind {
	case faultCrash:
		c.crash(h)
		end = func() { c.start(h) }
	case faultPause:
		h.paused = h.node != nil
		end = func() { c.resume(h) }
	case faultIsolate:
		c.setIsolated(h.id, true)
		end = func() { c.setIsolated(h.id, false) }
	case faultOneWayCut:
		blocked := link{h.id, c.ids[c.random.IntN(len(c.ids))]}
		c.blocked[blocked] = true
		end = func() { delete(c.blocked, blocked) }
	case faultLeadershipTransfer:
		c.step(h, TransferLeadership{})
		return
	}
	c.scheduleFaultEnd(end)
}

// scheduleFaultEnd ends a fault, usually within a few heartbeats and at most after
// a second.
func (c *cluster) scheduleFaultEnd(end func()) {
	longest := 1 + c.random.IntN(int(time.Second))
	c.timers = append(c.timers, timer{c.now + time.Duration(c.random.IntN(longest)), end})
}

// generateLoad sends proposals and reads.
func (c *cluster) generateLoad() {
	l := c.leader()
	if l == nil {
		return
	}
	if c.random.IntN(20) == 0 {
		c.propose(l)
	}
	if c.random.IntN(40) == 0 {
		c.read(c.hosts[c.ids[c.random.IntN(len(c.ids))]])
	}
}

// setIsolated cuts a replica off from all others, both ways, or ends that.
func (c *cluster) setIsolated(id uint64, on bool) {
	for _, other := range c.ids {
		for _, l := range []link{{id, other}, {other, id}} {
			if on {
				c.blocked[l] = true
			} else {
				delete(c.blocked, l)
			}
		}
	}
}

// runOperator acts as an operator who removes replicas with lost disks and adds new
// ones.
func (c *cluster) runOperator() {
	l := c.leader()
	if l == nil {
		return
	}
	members := l.node.Status().Membership
	for _, m := range members.Members {
		if c.lostDisks[m.Identity.Id] {
			c.step(l, ProposeMembership{Change: MembershipChange{RemoveID: m.Identity.Id}})
			return
		}
	}
	if len(members.Members) >= c.targetVoters {
		return
	}
	c.wipeRemovedReplica(l)
	id := c.pickJoiningReplica(members)
	c.step(l, ProposeMembership{Change: MembershipChange{Add: &pb.ReplicaMember{
		Identity: &pb.ReplicaIdentity{Id: id}, Address: fmt.Sprint(id),
	}}})
}

// wipeRemovedReplica sometimes empties the disk of a removed replica, so that it
// may join again under its id. That is impossible if its incarnation was unknown
// when it was removed. An uncommitted removal may still be undone: taking it as
// completed would forget that the listed incarnation's disk is lost. With BootstrapOnce, replicas
// join under new ids only.
func (c *cluster) wipeRemovedReplica(l *host) {
	if c.cfg.BootstrapOnce {
		return
	}
	for _, removed := range l.node.CommittedMembership().Removed {
		h := c.hosts[removed.Id]
		listed := findMember(l.node.members.current(), removed.Id) != nil || findMember(l.node.CommittedMembership(), removed.Id) != nil
		rejoinable := !listed && removed.Incarnation != ""
		if rejoinable && (h.removed || c.lostDisks[h.id]) && c.random.IntN(2) == 0 {
			h.removed = false
			delete(c.lostDisks, h.id)
			c.wipe(h, nil)
			c.start(h)
			return
		}
	}
}

// pickJoiningReplica returns a replica that waits to be added; it creates one if
// needed.
func (c *cluster) pickJoiningReplica(members *pb.Membership) uint64 {
	for _, id := range c.ids {
		h := c.hosts[id]
		removed := h.removed || wasRemoved(members, h.disk.identity)
		if findMember(members, id) == nil && !c.lostDisks[id] && !removed && h.disk.bootstrap == nil {
			return id
		}
	}
	id := uint64(len(c.ids) + 1)
	c.addHost(id, nil)
	return id
}
