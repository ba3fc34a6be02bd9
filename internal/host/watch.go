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
	// watchHoldTime is how long control may hold a long poll. It is well below the view
	// lease of 1.5 s, which starts when the poll is sent, so that one lost poll and a
	// change of leader fit into the lease.
	watchHoldTime = 400 * time.Millisecond
	// watchSilenceTimeout bounds how long a poll may receive no data.
	watchSilenceTimeout = watchHoldTime + 300*time.Millisecond
	// watchTimeout bounds one poll whose answer is still arriving.
	watchTimeout = 5 * time.Second
)

// errUnleased moves a poll on to the next replica: the one that answered does not lead.
var errUnleased = twirp.Unavailable.Error("the replica leases no view: it does not lead")

// watch keeps the view up to date by long polls to control until ctx ends.
func (h *Host) watch(ctx context.Context) {
	for ctx.Err() == nil {
		err := h.Control.Call(ctx, watchTimeout, h.pollView)
		if err != nil {
			h.Log.Warn("view poll failed", "error", err)
			Sleep(ctx, time.Second)
		}
	}
}

// pollView asks one replica for the view and waits until the reducer has it. Errors: of the call,
// errUnleased, rpc.Unreadable.
func (h *Host) pollView(ctx context.Context, c Replica) error {
	sent := clock.SinceBoot()
	packed, err := c.Watch(rpc.WithReadIdleTimeout(ctx, h.patience.silence(c.Address)), h.watchRequest(h.patience.hold(c.Address)))
	h.patience.observe(c.Address, clock.SinceBoot()-sent, err == nil)
	var resp *pb.WatchResponse
	if err == nil {
		resp, err = rpc.UnpackView(packed)
	}
	if err != nil {
		h.logWatchFailed(sent, err)
		return err
	}
	h.Control.AddAddresses(resp.Control)
	h.Post(entry.ViewReceived{SentAt: sent, From: c.Address, Response: resp})
	h.awaitVersion(ctx, resp.Version)
	if resp.LeaseMs == 0 {
		return errUnleased
	}
	return nil
}

// logWatchFailed logs a poll without an answer. Errors of code Unavailable are left out:
// replicas that do not lead return them at once.
func (h *Host) logWatchFailed(sent time.Duration, err error) {
	var twerr twirp.Error
	if err == nil || errors.As(err, &twerr) && twerr.Code() == twirp.Unavailable {
		return
	}
	snap := h.Snapshot()
	h.watchFailureLog.Do(func() {
		h.Log.Warn("control did not answer the view poll", "error", err.Error(), "after_ms", (clock.SinceBoot() - sent).Milliseconds(),
			"known_version", snap.ViewVersion, "revision", snap.Revision)
	})
}

// awaitVersion waits until the reducer has applied a view, so that the next poll names its
// version. The wait is bounded since the reducer may have rejected the view.
func (h *Host) awaitVersion(ctx context.Context, version uint64) {
	for range 10 {
		if h.Snapshot().ViewVersion >= version || !Sleep(ctx, time.Millisecond) {
			return
		}
	}
}

func (h *Host) watchRequest(hold time.Duration) *pb.WatchRequest {
	snap := h.Snapshot()
	return &pb.WatchRequest{
		ClusterId: h.Settings.Cluster, Entry: h.Identity, KnownVersion: snap.ViewVersion,
		Revision: snap.Revision, Leaving: snap.Leaving, Load: snap.Load, CutOff: snap.Isolated,
		HoldMs: uint32(hold.Milliseconds()), TakesPacked: true,
	}
}

// Sleep waits for d. It returns false if ctx ended first.
func Sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
