package host

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"

	"goldcrestseam.dev/goldcrestseam/internal/entry"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// permitTimeout bounds a request for permits. An entry in another data centre answers within a
// few milliseconds, a busy one within a few tens of milliseconds, and requests wait for it.
const permitTimeout = 100 * time.Millisecond

// requestPermit requests permits from another entry and posts the answer or the failure to the
// reducer.
func (b *peerExchange) requestPermit(e entry.RequestPermit) {
	ctx, cancel := context.WithTimeout(b.host.TaskContext, permitTimeout)
	defer cancel()
	answer, err := b.clientFor(e.Address).Permit(ctx, e.Request)
	b.host.Metrics.Scope.Tagged(map[string]string{"ok": okLabel(err)}).Counter("permit_questions").Inc(1)
	if err != nil {
		b.host.Post(entry.PermitTimedOut{Address: e.Address, Server: e.Server, Incarnation: e.Incarnation})
		return
	}
	b.host.Post(entry.PermitAnswered{Server: e.Server, Incarnation: e.Incarnation, Answer: answer})
}

// Permit answers another entry's request for permits.
func (b *peerExchange) Permit(ctx context.Context, req *pb.PermitRequest) (*pb.PermitAnswer, error) {
	if req.GetEntry() == "" || req.GetServer() == "" {
		return nil, twirp.RequiredArgumentError("entry and server")
	}
	return b.permitRequests.submit(ctx, b.host.loop.stopped, func(key string) {
		b.host.Post(entry.PermitRequested{Key: key, Request: req})
	})
}
