package runner

import (
	"goldcrestseam.dev/goldcrestseam/internal/consensus"
	"goldcrestseam.dev/goldcrestseam/internal/control"
	"goldcrestseam.dev/goldcrestseam/internal/store"
)

// diskQueueLength is more than can wait: at most one write of each kind is pending.
const diskQueueLength = 16

// diskWrite is one write; exactly one field is set.
type diskWrite struct {
	persist *consensus.Persist
	save    *consensus.SnapshotTaken
	restore *consensus.RestoreSnapshot
}

// disk performs the synced writes in order, off the control goroutine. While one runs, the
// consensus node collects further changes into the next one.
type disk struct {
	store  *store.Store
	loop   *loop
	writes chan diskWrite
}

func newDisk(st *store.Store, l *loop) *disk {
	return &disk{store: st, loop: l, writes: make(chan diskWrite, diskQueueLength)}
}

func (d *disk) enqueue(write diskWrite) {
	select {
	case d.writes <- write:
	case <-d.loop.stop:
	}
}

func (d *disk) run() {
	for write := range d.writes {
		ev, err := d.write(write)
		if err != nil {
			// The content of the disk is unknown after a failed write. Answering from
			// memory could promise what is lost at a restart.
			d.loop.fail(Failed.Wrap(err, "data folder"))
			return
		}
		d.loop.post(control.Consensus{Event: ev})
	}
}

func (d *disk) write(write diskWrite) (consensus.Event, error) {
	switch {
	case write.persist != nil:
		return consensus.Persisted{Sequence: write.persist.Sequence}, d.store.Save(*write.persist)
	case write.save != nil:
		return *write.save, d.store.SaveSnapshot(write.save.Meta, write.save.Data)
	default:
		index := write.restore.Meta.GetIndex()
		return consensus.SnapshotRestored{Index: index}, d.store.RestoreSnapshot(write.restore.Meta, write.restore.Data)
	}
}
