package consensus

import (
	"testing"
	"time"
)

// A user sees two leaders of one term in a new group. The third VM was not up yet
// when two replicas elected a leader; then that leader was cut off and the other lost
// its disk, and what it had promised. It came back empty, met the third, which had
// never heard its first life, and the two elected another leader.
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
		c.cut(l.id, true)
		c.wipe(other, other.disk.bootstrap)
		c.start(other)
		c.start(third)
		c.run(5 * time.Second)
		if len(c.faults) > 0 || c.leader() != nil {
			t.Errorf("seed %d: leader %v, faults %v", seed, c.leader(), c.faults)
		}
	}
}
