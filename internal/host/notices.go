package host

import (
	"context"
	"errors"

	"github.com/twitchtv/twirp"

	"goldcrestseam.dev/goldcrestseam/internal/entry"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// notifySuspects sends a notice to all of its addresses and posts each answer to the reducer.
func (b *peerExchange) notifySuspects(e entry.NotifySuspects) {
	for _, address := range e.Addresses {
		b.host.Spawn(func() { b.notify(e, address) })
	}
}

func (b *peerExchange) notify(e entry.NotifySuspects, address string) {
	ctx, cancel := context.WithTimeout(b.host.TaskContext, entry.NoticeTimeout)
	defer cancel()
	_, err := b.clientFor(address).Suspects(ctx, e.Notice)
	b.host.Metrics.Scope.Tagged(map[string]string{"ok": okLabel(err)}).Counter("suspect_notices").Inc(1)
	if err != nil {
		b.host.Log.Info("another entry has not answered a notice of suspects", "address", address, "error", err.Error())
	}
	if e.ID > 0 {
		b.host.Post(entry.NoticeAnswered{ID: e.ID, Address: address, TimedOut: err != nil && errors.Is(ctx.Err(), context.DeadlineExceeded)})
	}
}

// Suspects receives another entry's notice. Requests that arrive after the answer are judged by it.
func (b *peerExchange) Suspects(_ context.Context, notice *pb.SuspectNotice) (*pb.SuspectNoticeAnswer, error) {
	if notice.GetEntry() == "" {
		return nil, twirp.RequiredArgumentError("entry")
	}
	b.host.Post(entry.SuspectsNoticed{Notice: notice})
	return &pb.SuspectNoticeAnswer{}, nil
}
