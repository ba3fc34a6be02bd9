package host

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"

	"goldcrestseam.dev/goldcrestseam/internal/entry"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// permitTry bounds a question for permits: an entry in another data centre answers within some
// milliseconds, a busy one within some tens, and work waits for it.
const permitTry = 100 * time.Millisecond

// askPermit asks another entry for permits and hands its answer, or that there was none, to
// the reducer.
func (b *peerReports) askPermit(e entry.RequestPermit) {
	ctx, cancel := context.WithTimeout(b.host.TaskContext, permitTry)
	defer cancel()
	answer, err := b.peer(e.Address).Permit(ctx, e.Request)
	b.host.Metrics.Scope.Tagged(map[string]string{"ok": okWord(err)}).Counter("permit_questions").Inc(1)
	if err != nil {
		b.host.Post(entry.PermitTimedOut{Address: e.Address, Server: e.Server, Incarnation: e.Incarnation})
		return
	}
	b.host.Post(entry.PermitAnswered{Server: e.Server, Incarnation: e.Incarnation, Answer: answer})
}

// Permit answers another entry's question.
func (b *peerReports) Permit(ctx context.Context, req *pb.PermitRequest) (*pb.PermitAnswer, error) {
	if req.GetEntry() == "" || req.GetServer() == "" {
		return nil, twirp.RequiredArgumentError("entry and server")
	}
	return b.permits.put(ctx, b.host.loop.stopped, func(key string) {
		b.host.Post(entry.PermitRequested{Key: key, Request: req})
	})
}
