package consensus

import (
	"testing"
	"time"
)

func TestThreeReplicasElectAndCommit(t *testing.T) {
	c := newCluster(1, 3)
	c.run(2 * time.Second)
	l := c.leader()
	if l == nil {
		t.Fatal("no leader after 2s")
	}
	before := c.applied
	for range 50 {
		c.propose(l)
		c.run(3 * time.Millisecond)
	}
	c.read(l)
	c.run(time.Second)
	if len(c.faults) > 0 {
		t.Fatal(c.faults)
	}
	for _, id := range c.ids {
		if h := c.hosts[id]; h.applied < before+50 {
			t.Errorf("replica %d applied %d, want at least %d", id, h.applied, before+50)
		}
	}
	if c.done == 0 || l.leaseUntil <= c.now {
		t.Errorf("%d reads done, lease until %v at %v", c.done, l.leaseUntil, c.now)
	}
}

// An operator sees a group of two without a leader for good, with both replicas
// up. The leader was told to remove itself, appended that, and was killed before
// the other had it. The other needs its vote, which it refuses: its own log is
// longer; but it did not stand either, since its own list leaves it out.
func TestReplicaWithUncommittedOwnRemovalStandsForElection(t *testing.T) {
	c := newCluster(3, 3)
	c.size = 2
	c.run(2 * time.Second)
	l := c.leader()
	other, third := c.ids[l.id%3], c.ids[(l.id+1)%3]
	c.step(l, ProposeMembership{Change: MembershipChange{RemoveID: third}})
	c.run(300 * time.Millisecond)
	c.blocked[link{l.id, other}] = true
	c.step(l, ProposeMembership{Change: MembershipChange{RemoveID: l.id}})
	c.run(100 * time.Millisecond)
	if findMember(l.disk.lastList(), l.id) != nil {
		t.Fatal("the removal is not in the leader's log")
	}
	c.crash(l)
	clear(c.blocked)
	c.start(l)
	c.run(3 * time.Second)
	if now := c.leader(); len(c.faults) > 0 || now == nil || now.id != other {
		t.Fatalf("leader %v, faults %v", now, c.faults)
	}
}
