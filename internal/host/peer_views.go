package host

import (
	"context"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/clock"
	"goldcrestseam.dev/goldcrestseam/internal/entry"
	"goldcrestseam.dev/goldcrestseam/internal/rpc"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// peerViewTimeout bounds a question for another entry's view. The next one goes to another entry.
const peerViewTimeout = time.Second

// View answers another entry's question for this entry's view. Errors: unavailable if the view is
// not newer.
func (b *peerExchange) View(ctx context.Context, req *pb.WatchRequest) (*pb.WatchResponse, error) {
	view, err := b.viewRequests.submit(ctx, b.host.loop.stopped, func(key string) {
		b.host.Post(entry.ViewRequested{Key: key, Request: req})
	})
	if err != nil || !req.GetTakesPacked() {
		return view, err
	}
	packed, err := rpc.PackPart(view)
	return &pb.WatchResponse{Packed: packed}, err
}

// requestView asks another entry for its view and passes a newer one to the reducer. Most answers
// say that there is none.
func (b *peerExchange) requestView(e entry.RequestView) {
	ctx, cancel := context.WithTimeout(b.host.TaskContext, peerViewTimeout)
	defer cancel()
	sent := clock.SinceBoot()
	resp, err := b.clientFor(e.Address).View(ctx, &pb.WatchRequest{
		ClusterId: b.host.Settings.Cluster, KnownVersion: e.KnownVersion, TakesPacked: true,
	})
	if err == nil {
		resp, err = rpc.UnpackView(resp)
	}
	b.host.Metrics.Scope.Tagged(map[string]string{"ok": okLabel(err)}).Counter("peer_views").Inc(1)
	if err != nil {
		return
	}
	resp.LeaseMs = 0
	b.host.Post(entry.ViewReceived{SentAt: sent, From: e.Address, Response: resp})
}
