package control

import (
	"goldcrestseam.dev/goldcrestseam/internal/rpc"
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
	// packed is the whole view as entries get it that know none; nil until one asks.
	packed *pb.WatchResponse
}

// get gives the answer for an entry that knows the view up to a version.
func (c *viewCache) get(s *State, known uint64, control []string) *pb.WatchResponse {
	if c.byKnown == nil || c.version != s.ViewVersion() || len(c.byKnown) >= maxCachedViews {
		c.version = s.ViewVersion()
		c.byKnown, c.packed = make(map[uint64]*pb.WatchResponse), nil
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

// whole gives the packed answer for an entry that knows no view. Errors: those of encoding.
//
// Failure: all power was lost and hundreds of entries ask for the whole view at once. Encoded
// anew for each, and sent in full, it took the leader seconds; entries' calls ran out and
// came again, while their callers waited.
func (c *viewCache) whole(s *State, control []string) (*pb.WatchResponse, error) {
	resp := c.get(s, 0, control)
	if c.packed != nil {
		return c.packed, nil
	}
	packed, err := rpc.PackView(resp)
	c.packed = packed
	return packed, err
}

// reset forgets all answers: the list of control replicas in them has changed.
func (c *viewCache) reset() { c.byKnown, c.packed = nil, nil }
