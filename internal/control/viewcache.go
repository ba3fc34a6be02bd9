package control

import (
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// maxCachedViews bounds the answers cached for one version. Entries that follow the view
// have one of the last few versions.
const maxCachedViews = 64

// viewCache caches the answers for the present version.
//
// When the view changes, all entries wait for the same delta. Without the cache each answer
// scans the whole state again, and the leader's cost of one change is the square of the
// number of entries. Answers are shared and must not be modified.
type viewCache struct {
	version uint64
	byKnown map[uint64]*pb.WatchResponse
}

// get returns the answer for an entry that has the view of the known version.
// lease is how long the entry may route by it; 0 for a view without a lease.
func (c *viewCache) get(s *State, known uint64, control []string, lease time.Duration) *pb.WatchResponse {
	if c.byKnown == nil || c.version != s.ViewVersion() || len(c.byKnown) >= maxCachedViews {
		c.version = s.ViewVersion()
		c.byKnown = make(map[uint64]*pb.WatchResponse)
	}
	if resp := c.byKnown[known]; resp != nil {
		return resp
	}
	resp := s.View(known)
	resp.LeaseMs = uint32(lease.Milliseconds())
	resp.Control = control
	c.byKnown[known] = resp
	return resp
}

// reset drops all answers, because the list of control replicas in them has changed.
func (c *viewCache) reset() { c.byKnown = nil }
