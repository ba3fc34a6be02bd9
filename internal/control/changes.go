package control

import (
	"slices"

	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// maxTombstones bounds how far back a delta can start. An entry that has missed
// more removals than this gets the whole view.
const maxTombstones = 4096

// changes is the change index of the view: what left it, and since which
// version deltas can be given. What is still in the view carries its version
// itself.
type changes struct {
	// version is the log index of the last change of the view.
	version    uint64
	tombstones []*pb.Tombstone
	// oldest is the oldest known version that a delta may start from.
	oldest uint64
}

// touchView makes the entry being applied the last change of the view.
func (s *State) touchView() { s.changes.version = s.index }

// bury records that something left the view in the current version.
func (c *changes) bury(t *pb.Tombstone) {
	t.Version = c.version
	c.tombstones = append(c.tombstones, t)
	for len(c.tombstones) > maxTombstones {
		c.oldest = c.tombstones[0].GetVersion()
		c.tombstones = slices.Delete(c.tombstones, 0, 1)
	}
}

// since gives the tombstones after the known version.
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
