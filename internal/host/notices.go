package host

import (
	"context"
	"errors"
	"sync"
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

// noticeSender sends notices of suspects to other entries: to each entry one message at a time, with all
// notices that have come meanwhile.
type noticeSender struct {
	// send sends one message; answered reports what became of each notice in it that has an id; dropped
	// counts those for which there was no room.
	send     func(ctx context.Context, address string, notice *pb.SuspectNotice) error
	answered func(entry.NoticeAnswered)
	dropped  func()
	spawn    func(func())
	// stopped ends with the process.
	stopped context.Context

	mu     sync.Mutex
	queues map[string]*noticeQueue
}

// noticeQueue holds the notices that wait for one entry while a message to it is under way.
type noticeQueue struct{ waiting []waitingNotice }

// waitingNotice is a notice with its id, 0 if nobody waits for its answer.
type waitingNotice struct {
	id     uint64
	notice *pb.SuspectNotice
}

// notify sends a notice to all of its addresses.
func (s *noticeSender) notify(e entry.NotifySuspects) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, address := range e.Addresses {
		q := s.queues[address]
		if q == nil {
			q = &noticeQueue{}
			s.queues[address] = q
			s.spawn(func() { s.drain(address, q) })
		}
		if len(q.waiting) >= maxWaitingNotices {
			s.dropped()
			continue
		}
		q.waiting = append(q.waiting, waitingNotice{id: e.ID, notice: e.Notice})
	}
}

// drain sends an entry all that waits for it.
func (s *noticeSender) drain(address string, q *noticeQueue) {
	for {
		s.mu.Lock()
		batch := q.waiting
		q.waiting = nil
		if len(batch) == 0 {
			delete(s.queues, address)
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		s.sendBatch(address, batch)
		Sleep(s.stopped, noticePause)
	}
}

func (s *noticeSender) sendBatch(address string, batch []waitingNotice) {
	ctx, cancel := context.WithTimeout(s.stopped, entry.NoticeTimeout)
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

func newNoticeSender(b *peerExchange) *noticeSender {
	return &noticeSender{
		send: b.sendNotice, answered: func(a entry.NoticeAnswered) { b.host.Post(a) }, spawn: b.host.Spawn,
		dropped: func() { b.host.Metrics.Scope.Counter("suspect_notices_dropped").Inc(1) },
		stopped: b.host.TaskContext, queues: make(map[string]*noticeQueue),
	}
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
