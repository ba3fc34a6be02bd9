package consensus

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// largeEntry is the size of a large entry in the simulation.
const largeEntry = 120

// newClusterOfLargeEntries returns a cluster whose log is cut by bytes long before it is by entries.
func newClusterOfLargeEntries(seed uint64, size int) *cluster {
	c := newClusterWith(Config{
		SnapshotBytes: 4 * largeEntry, SnapshotChunkBytes: 7, MaxAppendBytes: 60, MaxInflight: 3,
		MaxInflightBytes: 2 * largeEntry, MaxUncommittedBytes: 8 * largeEntry, Seed: seed,
	}, size)
	c.proposalSizes = []int{largeEntry, 0, 40, 0, 5 * largeEntry, 0, 0, 0}
	return c
}

// Guards against the same failures as TestSchedules while snapshots and the log's end are decided by
// bytes, and single entries are larger than all bounds.
func TestSchedulesOfLargeEntries(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) { runScheduleOn(t, newClusterOfLargeEntries) })
}

// Guards against a log that outgrows memory and disk since few but large entries never reach the
// number of entries at which it is cut.
func TestLogOfLargeEntriesIsCutByBytes(t *testing.T) {
	c := newClusterOfLargeEntries(1, 3)
	c.proposalSizes = []int{largeEntry}
	c.run(2 * time.Second)
	for range 200 {
		c.propose(c.leader())
		c.run(20 * time.Millisecond)
	}
	c.run(time.Second)
	limit := c.cfg.SnapshotBytes + c.cfg.SnapshotBytes/2 + 2*largeEntry
	for _, id := range c.ids {
		h := c.hosts[id]
		st := h.node.Status()
		if st.LogBytes > limit || sizeOf(h.disk.entries) > limit+2*largeEntry {
			t.Errorf("replica %d keeps %d bytes in memory and %d on disk, at most %d are allowed; snapshot at %d of %d",
				id, st.LogBytes, sizeOf(h.disk.entries), limit, st.SnapshotIndex, st.Applied)
		}
		if st.LogBytes != sizeOf(h.node.log.entries) {
			t.Errorf("replica %d counts %d bytes, and keeps %d", id, st.LogBytes, sizeOf(h.node.log.entries))
		}
	}
}

// Guards against appends to a slow replica that together hold more memory than one of the bounded size
// does, since each holds one large entry.
func TestAppendsUnderWayAreBoundedByBytes(t *testing.T) {
	pr := progress{state: replicating}
	for range 2 {
		if pr.paused(8, 2*largeEntry) {
			t.Fatal("paused below the bound")
		}
		pr.onAppendSent(inflightAppend{last: pr.next, bytes: largeEntry}, 0)
	}
	if !pr.paused(8, 2*largeEntry) {
		t.Error("a third append is sent")
	}
	pr.onAcknowledged(1, 0)
	if pr.paused(8, 2*largeEntry) {
		t.Error("paused after an answer")
	}
}

// Guards against a copy of the state for each replica that does not answer: a leader keeps the chunks
// of the snapshot before the latest one, and of no earlier one.
func TestSnapshotsUnderWayAreFew(t *testing.T) {
	c := newClusterOfLargeEntries(1, 3)
	c.proposalSizes = []int{largeEntry}
	c.run(2 * time.Second)
	l := c.leader()
	silent := c.hosts[c.ids[l.id%3]]
	pr := l.node.leaderState.progress[silent.id]
	c.blocked[link{silent.id, l.id}], c.blocked[link{l.id, silent.id}] = true, true
	snapshots := func(n int) {
		for start := l.node.snapshot.GetIndex(); n > 0; n-- {
			for l.node.snapshot.GetIndex() == start {
				c.propose(l)
				c.run(10 * time.Millisecond)
			}
			start = l.node.snapshot.GetIndex()
		}
	}
	snapshots(1)
	l.node.startSnapshotTransfer(silent.id, pr)
	first := pr.snapshotTransfer.meta
	snapshots(1)
	if pr.snapshotTransfer.meta != first {
		t.Error("a transfer ends with the next snapshot already")
	}
	snapshots(1)
	if pr.snapshotTransfer.meta == first || pr.snapshotTransfer.meta != l.node.snapshot {
		t.Errorf("the transfer is of the snapshot at %d, the latest is at %d", pr.snapshotTransfer.meta.Index, l.node.snapshot.Index)
	}
}

// Guards against a second copy of the state while the disk writes the first one, for seconds on a slow
// disk.
func TestOneSnapshotIsTakenAtATime(t *testing.T) {
	n := NewNode(Config{ID: 1, SnapshotBytes: largeEntry}, InitialState{Identity: &pb.ReplicaIdentity{Id: 1}})
	requested := func() (meta *pb.SnapshotMeta) {
		n.effects = nil
		n.log.append(&pb.LogEntry{Index: n.log.lastIndex() + 1, Term: 1, Data: make([]byte, largeEntry)})
		n.log.stable, n.log.commit = n.log.lastIndex(), n.log.lastIndex()
		n.applyCommitted()
		for _, e := range n.effects {
			if taken, ok := e.(TakeSnapshot); ok {
				meta = taken.Meta
			}
		}
		return meta
	}
	first := requested()
	if first == nil || requested() != nil {
		t.Fatalf("the first snapshot is %v, or a second one is requested before it is synced", first)
	}
	SetSnapshotChecksum(first, nil)
	n.onSnapshotTaken(SnapshotTaken{Meta: first})
	if next := requested(); next.GetIndex() != 3 {
		t.Errorf("the next snapshot is %v", next)
	}
}
