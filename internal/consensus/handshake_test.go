package consensus

import (
	"testing"
	"time"
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
