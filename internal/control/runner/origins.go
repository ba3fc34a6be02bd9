package runner

import (
	"context"

	"github.com/twitchtv/twirp"

	"goldcrestseam.dev/goldcrestseam/internal/clock"
	"goldcrestseam.dev/goldcrestseam/internal/origin"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// originHolder implements pb.Origins. It outlives all entries, which hold the same in their own memory
// only, and needs neither a leader nor the log: an origin never changes once its stream has begun, what was
// expected before gives way to it, and one that is lost is refused, not guessed.
type originHolder struct {
	cluster string
	store   *origin.Store
}

// RememberOrigins implements pb.Origins.
func (h *originHolder) RememberOrigins(_ context.Context, req *pb.RememberOriginsRequest) (*pb.RememberOriginsResponse, error) {
	if req.GetClusterId() != h.cluster {
		return nil, twirp.InvalidArgumentError("cluster_id", "is not "+h.cluster)
	}
	h.store.Remember(req.GetOrigins(), clock.SinceBoot())
	return &pb.RememberOriginsResponse{}, nil
}

// FindOrigin implements pb.Origins.
func (h *originHolder) FindOrigin(_ context.Context, req *pb.FindOriginRequest) (*pb.StreamOrigin, error) {
	if req.GetClusterId() != h.cluster {
		return nil, twirp.InvalidArgumentError("cluster_id", "is not "+h.cluster)
	}
	found := h.store.Find(req, clock.SinceBoot())
	if found == nil {
		return nil, twirp.NotFoundError("this replica does not know where the stream began")
	}
	return found, nil
}
