package consensus

import (
	"fmt"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

type faultKind int

const (
	crashed faultKind = iota
	frozen
	cutOff
	cutOneWay
	transferred
	faultKinds
)

// disturbAnyone begins a short fault, most often at the leader, where it does harm.
func (c *cluster) disturbAnyone() {
	h := c.hosts[c.ids[c.random.IntN(len(c.ids))]]
	if l := c.leader(); l != nil && c.random.IntN(2) == 0 {
		h = l
	}
	c.disturb(faultKind(c.random.IntN(int(faultKinds))), h)
}

// disturb begins a fault that ends after a while.
func (c *cluster) disturb(kind faultKind, h *host) {
	var end func()
	switch kind {
	case crashed:
		c.crash(h)
		end = func() { c.start(h) }
	case frozen:
		h.paused = h.node != nil
		end = func() { c.resume(h) }
	case cutOff:
		c.cut(h.id, true)
		end = func() { c.cut(h.id, false) }
	case cutOneWay:
		one := link{h.id, c.ids[c.random.IntN(len(c.ids))]}
		c.blocked[one] = true
		end = func() { delete(c.blocked, one) }
	case transferred:
		c.step(h, TransferLeadership{})
		return
	}
	c.endLater(end)
}

// endLater ends a fault, mostly within some heartbeats, at most after a second.
func (c *cluster) endLater(end func()) {
	longest := 1 + c.random.IntN(int(time.Second))
	c.timers = append(c.timers, timer{c.now + time.Duration(c.random.IntN(longest)), end})
}

// work is what callers do all the time.
func (c *cluster) work() {
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

// cut cuts a replica off from all others, both ways, or ends that.
func (c *cluster) cut(id uint64, on bool) {
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

// operate is an operator who removes lost replicas and adds new ones.
func (c *cluster) operate() {
	l := c.leader()
	if l == nil {
		return
	}
	members := l.node.Status().Membership
	for _, m := range members.Members {
		if c.lost[m.Identity.Id] {
			c.step(l, ProposeMembership{Change: MembershipChange{RemoveID: m.Identity.Id}})
			return
		}
	}
	if len(members.Members) >= c.size {
		return
	}
	c.emptyRemoved(l)
	id := c.joiner(members)
	c.step(l, ProposeMembership{Change: MembershipChange{Add: &pb.ReplicaMember{
		Identity: &pb.ReplicaIdentity{Id: id}, Address: fmt.Sprint(id),
	}}})
}

// emptyRemoved empties the disk of a removed replica now and then, so that it may
// join again under its old id. One whose incarnation was not known when it was
// removed can't. A removal that is not committed may still be undone: an operator
// who took it as done would forget that the listed life is lost.
func (c *cluster) emptyRemoved(l *host) {
	for _, gone := range l.node.CommittedMembership().Removed {
		h := c.hosts[gone.Id]
		listed := findMember(l.node.members.current(), gone.Id) != nil || findMember(l.node.CommittedMembership(), gone.Id) != nil
		left := !listed && gone.Incarnation != ""
		if left && (h.removed || c.lost[h.id]) && c.random.IntN(2) == 0 {
			h.removed = false
			delete(c.lost, h.id)
			c.wipe(h, nil)
			c.start(h)
			return
		}
	}
}

// joiner gives a replica that waits to be added, a new one if need be.
func (c *cluster) joiner(members *pb.Membership) uint64 {
	for _, id := range c.ids {
		h := c.hosts[id]
		gone := h.removed || wasRemoved(members, h.disk.folder)
		if findMember(members, id) == nil && !c.lost[id] && !gone && h.disk.bootstrap == nil {
			return id
		}
	}
	id := uint64(len(c.ids) + 1)
	c.addHost(id, nil)
	return id
}
