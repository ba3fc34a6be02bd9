package consensus

import (
	"slices"
	"testing"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// Guards against two leaders in one term of a new group. Two replicas elect a
// leader before the third VM is up. Then the leader is partitioned, and the other
// replica loses its disk and with it its vote. It restarts empty, and the third
// replica, which never learned its first incarnation, helps it elect another
// leader.
func TestNewGroupWaitsForAllItsReplicas(t *testing.T) {
	for seed := uint64(1); seed <= 10; seed++ {
		c := newCluster(seed, 3)
		third := c.hosts[3]
		c.crash(third)
		c.run(3 * time.Second)
		l := c.leader()
		if l == nil {
			l = c.hosts[1]
		}
		other := c.hosts[3-l.id]
		c.setIsolated(l.id, true)
		c.wipe(other, other.disk.bootstrap)
		c.start(other)
		c.start(third)
		c.run(5 * time.Second)
		if len(c.violations) > 0 || c.leader() != nil {
			t.Errorf("seed %d: leader %v, violations %v", seed, c.leader(), c.violations)
		}
	}
}

// Guards against a replica that can't form a group, of which nobody can tell whom it waits for, or
// why an answer does not count.
func TestStatusNamesTheReplicasThatAreAwaited(t *testing.T) {
	c := newCluster(1, 3)
	c.crash(c.hosts[3])
	c.run(time.Second)
	first := c.hosts[1].node
	if awaited := first.Status().AwaitedPeers; !slices.Equal(awaited, []AwaitedPeer{{3, AwaitAnswer}}) {
		t.Errorf("with replica 3 down: %v", awaited)
	}
	answer := &pb.Message{Kind: pb.MessageKind_MESSAGE_KIND_HELLO_RESPONSE, From: 3, To: 1, Context: first.handshake.token, Reject: true}
	first.Step(first.now, Receive{Message: answer})
	if awaited := first.Status().AwaitedPeers; !slices.Equal(awaited, []AwaitedPeer{{3, AwaitNotExpected}}) {
		t.Errorf("refused by replica 3: %v", awaited)
	}
	answer.Context--
	first.Step(first.now, Receive{Message: answer})
	if awaited := first.Status().AwaitedPeers; !slices.Equal(awaited, []AwaitedPeer{{3, AwaitEarlierBoot}}) {
		t.Errorf("answered to an earlier boot: %v", awaited)
	}
}

// Guards against two leaders in one term where the promise of Config.BootstrapOnce is broken. Three of
// five elect a leader and commit; a fourth has met them, and is cut off before. Then one of the three loses
// its disk and starts with its first settings, the other two are down, and the fifth starts, which has
// met nobody: the emptied replica, the fourth and the fifth must not elect a leader.
func TestEmptiedReplicaDoesNotVoteWithItsFirstSettings(t *testing.T) {
	const cutOff, late = 4, 5
	for seed := uint64(1); seed <= 10; seed++ {
		c := newFirstStart(seed, 5, 0, loss{late, beforeItsStart, returnsNever, 0}).c
		c.operator = func() {}
		for !haveMet(c, 1, 2, 3, cutOff) {
			c.run(simStep)
		}
		c.setIsolated(cutOff, true)
		c.run(3 * time.Second)
		l := c.leader()
		if l == nil || c.hosts[cutOff].node.log.lastIndex() > 0 {
			t.Fatalf("seed %d: leader %v; the replica that is cut off holds entries", seed, l)
		}
		emptied := c.hosts[1+l.id%3]
		for id := uint64(1); id <= 3; id++ {
			c.crash(c.hosts[id])
		}
		c.wipe(emptied, emptied.disk.bootstrap)
		c.setIsolated(cutOff, false)
		c.start(emptied)
		c.start(c.hosts[late])
		c.run(5 * time.Second)
		if len(c.violations) > 0 || c.leader() != nil {
			t.Errorf("seed %d: leader %v, violations %v", seed, c.leader(), c.violations)
		}
	}
}

// haveMet reports whether each of the replicas has heard from all others of them.
func haveMet(c *cluster, ids ...uint64) bool {
	for _, id := range ids {
		n := c.hosts[id].node
		if n == nil {
			return false
		}
		for _, other := range ids {
			if other != id && !n.handshake.answered[other] {
				return false
			}
		}
	}
	return true
}
