package control

import (
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// maxCachedViews bounds the answers kept for one version. Entries that follow
// the view know one of the last few versions.
const maxCachedViews = 64

// viewCache keeps the answers worked out for the version in force.
//
// When the view changes, all entries wait for the same delta. Without the cache
// each answer looks through the whole state again, and one change costs a
// leader the square of the number of entries. Answers are shared and must not
// be changed.
type viewCache struct {
	version uint64
	byKnown map[uint64]*pb.WatchResponse
}

// get gives the answer for an entry that knows the view up to a version.
func (c *viewCache) get(s *State, known uint64, control []string) *pb.WatchResponse {
	if c.byKnown == nil || c.version != s.ViewVersion() || len(c.byKnown) >= maxCachedViews {
		c.version = s.ViewVersion()
		c.byKnown = make(map[uint64]*pb.WatchResponse)
	}
	if resp := c.byKnown[known]; resp != nil {
		return resp
	}
	resp := s.View(known)
	resp.LeaseMs = uint32(viewLease.Milliseconds())
	resp.Control = control
	c.byKnown[known] = resp
	return resp
}

// reset forgets all answers: the list of control replicas in them has changed.
func (c *viewCache) reset() { c.byKnown = nil }
