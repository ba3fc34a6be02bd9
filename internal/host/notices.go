package host

import (
	"context"
	"errors"
	"time"

	"github.com/twitchtv/twirp"

	"goldcrestseam.dev/goldcrestseam/internal/entry"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

const (
	// noticePause is the time between two messages with notices to one entry. When servers crash,
	// hundreds of entries have several notices each within milliseconds, and the aggregators pass all of
	// them on.
	noticePause = 10 * time.Millisecond
	// maxWaitingNotices bounds the notices that wait for one entry.
	maxWaitingNotices = 1024
)

// noticeSender sends notices of suspects to other entries.
type noticeSender struct {
	// send sends one message; answered reports what became of each notice in it that has an id.
	send     func(ctx context.Context, address string, notice *pb.SuspectNotice) error
	answered func(entry.NoticeAnswered)
	outbox   outbox[string, waitingNotice]
}

// waitingNotice is a notice with its id, 0 if nobody waits for its answer.
type waitingNotice struct {
	id     uint64
	notice *pb.SuspectNotice
}

// notify sends a notice to all of its addresses.
func (s *noticeSender) notify(e entry.NotifySuspects) {
	for _, address := range e.Addresses {
		s.outbox.add(address, waitingNotice{id: e.ID, notice: e.Notice})
	}
}

func (s *noticeSender) sendBatch(address string, batch []waitingNotice) {
	ctx, cancel := context.WithTimeout(s.outbox.stopped, entry.NoticeTimeout)
	defer cancel()
	err := s.send(ctx, address, joinNotices(batch))
	timedOut := err != nil && errors.Is(ctx.Err(), context.DeadlineExceeded)
	for _, w := range batch {
		if w.id > 0 {
			s.answered(entry.NoticeAnswered{ID: w.id, Address: address, TimedOut: timedOut})
		}
	}
}

// joinNotices returns one message with all notices of a batch, in order.
func joinNotices(batch []waitingNotice) *pb.SuspectNotice {
	first := batch[0].notice
	if len(batch) == 1 {
		return first
	}
	joined := &pb.SuspectNotice{
		ClusterId: first.GetClusterId(), Entry: first.GetEntry(), Deaths: first.GetDeaths(), Alive: first.GetAlive(),
		Cleared: first.GetCleared(), Forward: first.GetForward(),
	}
	for _, w := range batch[1:] {
		joined.More = append(joined.More, w.notice)
	}
	return joined
}

func newNoticeSender(
	stopped context.Context, spawn func(func()), send func(ctx context.Context, address string, notice *pb.SuspectNotice) error,
	answered func(entry.NoticeAnswered), dropped func(),
) *noticeSender {
	s := &noticeSender{send: send, answered: answered}
	s.outbox = outbox[string, waitingNotice]{
		send: s.sendBatch, pause: func(string) time.Duration { return noticePause }, dropped: dropped, spawn: spawn,
		stopped: stopped, capacity: maxWaitingNotices,
	}
	return s
}

func (b *peerExchange) sendNotice(ctx context.Context, address string, notice *pb.SuspectNotice) error {
	_, err := b.clientFor(address).Suspects(ctx, notice)
	b.host.Metrics.Scope.Tagged(map[string]string{"ok": okLabel(err)}).Counter("suspect_notices").Inc(int64(1 + len(notice.GetMore())))
	if err != nil {
		b.host.Log.Info("another entry has not answered notices of suspects", "address", address, "notices", 1+len(notice.GetMore()), "error", err.Error())
	}
	return err
}

// Suspects receives notices of other entries. Requests that arrive after the answer are judged by them.
func (b *peerExchange) Suspects(_ context.Context, first *pb.SuspectNotice) (*pb.SuspectNoticeAnswer, error) {
	for _, notice := range append([]*pb.SuspectNotice{first}, first.GetMore()...) {
		if notice.GetEntry() == "" {
			return nil, twirp.RequiredArgumentError("entry")
		}
		b.host.Post(entry.SuspectsNoticed{Notice: notice})
	}
	return &pb.SuspectNoticeAnswer{}, nil
}
