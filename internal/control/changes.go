package control

import (
	"slices"

	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// maxTombstones bounds how far back a delta can start. An entry that has missed more
// removals gets the full view.
const maxTombstones = 4096

// changes is the change index of the view: the objects that were removed, and the oldest
// version that a delta can start from. Objects that are in the view carry their own
// version.
type changes struct {
	// version is the log index of the last change of the view.
	version    uint64
	tombstones []*pb.Tombstone
	// oldestDelta is the oldest version that a delta may start from.
	oldestDelta uint64
}

// bumpViewVersion sets the view's version to the log entry that is being applied.
func (s *State) bumpViewVersion() { s.changes.version = s.index }

// addTombstone records that an object was removed from the view in the current version.
func (c *changes) addTombstone(t *pb.Tombstone) {
	t.Version = c.version
	c.tombstones = append(c.tombstones, t)
	for len(c.tombstones) > maxTombstones {
		c.oldestDelta = c.tombstones[0].GetVersion()
		c.tombstones = slices.Delete(c.tombstones, 0, 1)
	}
}

// since returns the tombstones after the known version.
func (c *changes) since(known uint64) []*pb.Tombstone {
	first, _ := slices.BinarySearchFunc(c.tombstones, known+1, func(t *pb.Tombstone, v uint64) int {
		switch {
		case t.GetVersion() < v:
			return -1
		case t.GetVersion() > v:
			return 1
		}
		return 0
	})
	return c.tombstones[first:]
}
