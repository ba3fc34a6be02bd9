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
