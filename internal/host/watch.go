package host

import (
	"context"
	"errors"
	"time"

	"github.com/twitchtv/twirp"

	"goldcrestseam.dev/goldcrestseam/internal/clock"
	"goldcrestseam.dev/goldcrestseam/internal/entry"
	"goldcrestseam.dev/goldcrestseam/internal/rpc"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

const (
	// watchHold is how long control may hold a poll. It is well under the lease
	// of 1.5 s, which counts from when the poll was sent: one lost poll and a
	// change of leader fit in between.
	watchHold = 400 * time.Millisecond
	// watchSilence bounds how long a poll may bring nothing.
	watchSilence = watchHold + 300*time.Millisecond
	// watchTry bounds one poll whose answer keeps coming.
	watchTry = 5 * time.Second
)

// watch keeps the view up to date until ctx ends.
func (h *Host) watch(ctx context.Context) {
	for ctx.Err() == nil {
		var sent time.Duration
		var resp *pb.WatchResponse
		err := h.Control.Call(ctx, watchTry, func(ctx context.Context, c pb.Control) error {
			var err error
			sent = clock.SinceBoot()
			resp, err = c.Watch(rpc.WithSilence(ctx, watchSilence), h.watchRequest())
			h.logWatchFailed(sent, err)
			return err
		})
		if err == nil {
			resp, err = rpc.UnpackView(resp)
		}
		if err != nil {
			h.Log.Warn("watch failed", "error", err)
			Pause(ctx, time.Second)
			continue
		}
		h.Control.AddAddresses(resp.Control)
		h.Post(entry.ViewReceived{SentAt: sent, Response: resp})
		h.awaitVersion(ctx, resp.Version)
	}
}

// logWatchFailed tells of a poll that brought no answer; replicas that do not lead answer at
// once and are not told of.
func (h *Host) logWatchFailed(sent time.Duration, err error) {
	var twerr twirp.Error
	if err == nil || errors.As(err, &twerr) && twerr.Code() == twirp.Unavailable {
		return
	}
	snap := h.Snapshot()
	h.watchFailures.Do(func() {
		h.Log.Warn("poll not answered", "error", err.Error(), "after_ms", (clock.SinceBoot() - sent).Milliseconds(),
			"known_version", snap.ViewVersion, "revision", snap.Revision)
	})
}

// awaitVersion lets the reducer apply a view before the next poll names its
// version, for a bounded time: the reducer may have dropped it.
func (h *Host) awaitVersion(ctx context.Context, version uint64) {
	for range 10 {
		if h.Snapshot().ViewVersion >= version || !Pause(ctx, time.Millisecond) {
			return
		}
	}
}

func (h *Host) watchRequest() *pb.WatchRequest {
	snap := h.Snapshot()
	return &pb.WatchRequest{
		ClusterId: h.Settings.Cluster, Entry: h.Identity, KnownVersion: snap.ViewVersion,
		Revision: snap.Revision, Leaving: snap.Leaving, Load: snap.Load,
		HoldMs: uint32(watchHold.Milliseconds()), TakesPacked: true,
	}
}

// Pause waits; false when ctx ended before.
func Pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
