package consensus

import (
	"fmt"
	"testing"
	"time"
)

// Guards against a replica that never catches up while snapshots follow each other faster than a few of
// them can be sent: each transfer is started again from its first byte, or the log is cut beyond it.
func TestReplicaCatchesUpWhileSnapshotsFollowEachOther(t *testing.T) {
	const pause = 20 * time.Millisecond
	for _, chunks := range []int{2, 4, 8, 16, 32, 64} {
		t.Run(fmt.Sprintf("%d chunks", chunks), func(t *testing.T) {
			const chunkBytes = 8
			c := newClusterWith(Config{
				SnapshotBytes: 4 * largeEntry, SnapshotChunkBytes: chunkBytes, MaxAppendBytes: 60, MaxInflight: 3,
				MaxInflightBytes: 2 * largeEntry, MaxUncommittedBytes: 8 * largeEntry, Seed: 1,
			}, 3)
			c.proposalSizes, c.stateBytes = []int{largeEntry}, (chunks-1)*chunkBytes
			c.operator = func() {}
			c.run(2 * time.Second)
			l := c.leader()
			behind := c.hosts[c.ids[l.id%3]]
			load := func(d time.Duration) {
				for end := c.now + d; c.now < end; {
					c.propose(l)
					c.run(pause)
				}
			}
			c.blocked[link{behind.id, l.id}], c.blocked[link{l.id, behind.id}] = true, true
			load(time.Second)
			delete(c.blocked, link{behind.id, l.id})
			delete(c.blocked, link{l.id, behind.id})
			back, first, inStep := c.now, l.node.snapshot.GetIndex(), false
			pr := l.node.leaderState.progress[behind.id]
			for c.now < back+20*time.Second && !inStep {
				load(5 * pause)
				inStep = pr.state != snapshotting && pr.match+8 >= l.node.log.commit
			}
			if c.leader() != l || len(c.violations) > 0 {
				t.Fatalf("the leader changed, or %v", c.violations)
			}
			if inStep {
				t.Logf("in step %v after it was back", c.now-back)
				return
			}
			t.Errorf("not in step %v after it was back: applied %d of %d, the snapshots go from %d to %d",
				c.now-back, behind.applied, l.applied, first, l.node.snapshot.GetIndex())
			c.run(3 * time.Second)
			t.Logf("after 3 s of the simulation's own changes only: applied %d of %d", behind.applied, l.applied)
		})
	}
}
