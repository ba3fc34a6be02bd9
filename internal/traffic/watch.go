package traffic

import (
	"context"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/clock"
	"goldcrestseam.dev/goldcrestseam/internal/entry"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

const (
	// watchHold is how long control may hold a poll. It is well under the lease
	// of 1.5 s, which counts from when the poll was sent: one lost poll and a
	// change of leader fit in between.
	watchHold = 400 * time.Millisecond
	// watchTry bounds one poll.
	watchTry = watchHold + 300*time.Millisecond
)

// watch keeps the view up to date until ctx ends.
func (s *Server) watch(ctx context.Context) {
	for ctx.Err() == nil {
		var sent time.Duration
		var resp *pb.WatchResponse
		err := s.control.call(ctx, watchTry, func(ctx context.Context, c pb.Control) error {
			var err error
			sent = clock.Boot()
			resp, err = c.Watch(ctx, s.watchRequest())
			return err
		})
		if err != nil {
			s.log.Warn("watch failed", "error", err)
			pause(ctx, time.Second)
			continue
		}
		s.control.learn(resp.Control)
		s.core.post(entry.ViewReceived{SentAt: sent, Response: resp})
		s.awaitVersion(ctx, resp.Version)
	}
}

// awaitVersion lets the reducer apply a view before the next poll names its
// version, for a bounded time: the reducer may have dropped it.
func (s *Server) awaitVersion(ctx context.Context, version uint64) {
	for range 10 {
		if s.core.snapshot.Load().ViewVersion >= version || !pause(ctx, time.Millisecond) {
			return
		}
	}
}

func (s *Server) watchRequest() *pb.WatchRequest {
	snap := s.core.snapshot.Load()
	return &pb.WatchRequest{
		ClusterId: s.settings.Cluster, Entry: s.identity, KnownVersion: snap.ViewVersion,
		Revision: snap.Revision, Leaving: snap.Leaving, Load: snap.Load,
		HoldMs: uint32(watchHold.Milliseconds()),
	}
}

// pause waits; false when ctx ended before.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
