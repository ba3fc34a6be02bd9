package runner

import (
	"goldcrestseam.dev/goldcrestseam/internal/consensus"
	"goldcrestseam.dev/goldcrestseam/internal/control"
	"goldcrestseam.dev/goldcrestseam/internal/store"
)

// diskQueue is more than can wait: at most one write of each kind is under way.
const diskQueue = 16

// diskWork is one write; exactly one field is set.
type diskWork struct {
	persist *consensus.Persist
	save    *consensus.SnapshotTaken
	restore *consensus.RestoreSnapshot
}

// disk does the synced writes in order, off the control goroutine. What arrives
// while one runs shares the next (the node gathers it).
type disk struct {
	store *store.Store
	loop  *loop
	work  chan diskWork
}

func newDisk(st *store.Store, l *loop) *disk {
	return &disk{store: st, loop: l, work: make(chan diskWork, diskQueue)}
}

func (d *disk) do(w diskWork) {
	select {
	case d.work <- w:
	case <-d.loop.stop:
	}
}

func (d *disk) run() {
	for w := range d.work {
		ev, err := d.write(w)
		if err != nil {
			// What is on the disk is not known any more; answering from memory
			// could promise what a restart forgets.
			d.loop.fail(Failed.Wrap(err, "data folder"))
			return
		}
		d.loop.post(control.Consensus{Event: ev})
	}
}

func (d *disk) write(w diskWork) (consensus.Event, error) {
	switch {
	case w.persist != nil:
		return consensus.Persisted{Sequence: w.persist.Sequence}, d.store.Save(*w.persist)
	case w.save != nil:
		return *w.save, d.store.SaveSnapshot(w.save.Meta, w.save.Data)
	default:
		index := w.restore.Meta.GetIndex()
		return consensus.SnapshotRestored{Index: index}, d.store.RestoreSnapshot(w.restore.Meta, w.restore.Data)
	}
}
