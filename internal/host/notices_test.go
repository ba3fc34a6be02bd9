package host

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/entry"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// noticeCalls records the messages of a noticeSender, each of which takes a time.
type noticeCalls struct {
	takes time.Duration

	mu                sync.Mutex
	calls, concurrent int
	most              int
	order             []string
	answered          map[uint64]bool
}

func (c *noticeCalls) send(ctx context.Context, _ string, notice *pb.SuspectNotice) error {
	c.mu.Lock()
	c.calls++
	c.concurrent++
	c.most = max(c.most, c.concurrent)
	for _, n := range append([]*pb.SuspectNotice{notice}, notice.GetMore()...) {
		c.order = append(c.order, n.GetEntry())
	}
	c.mu.Unlock()
	Sleep(ctx, c.takes)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.concurrent--
	return ctx.Err()
}

func (c *noticeCalls) answer(a entry.NoticeAnswered) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answered[a.ID] = !a.TimedOut
}

// Guards against hundreds of calls at once to one entry when servers crash: each request that ran there has
// notices of its own, and the aggregators pass on those of all entries.
func TestNoticesToAnEntryGoTogether(t *testing.T) {
	const notices = 500
	calls := &noticeCalls{takes: 5 * time.Millisecond, answered: make(map[uint64]bool)}
	var running sync.WaitGroup
	s := newNoticeSender(t.Context(), func(f func()) { running.Go(f) }, calls.send, calls.answer, func() { t.Error("a notice is dropped") })
	var sent []string
	for n := range notices {
		sender := fmt.Sprintf("entry-%d", n)
		sent = append(sent, sender)
		s.notify(entry.NotifySuspects{ID: uint64(n + 1), Addresses: []string{"a"}, Notice: &pb.SuspectNotice{Entry: sender}})
	}
	running.Wait()
	if calls.most > 1 || calls.calls > notices/10 {
		t.Errorf("%d calls, up to %d at once, for %d notices", calls.calls, calls.most, notices)
	}
	if !slices.Equal(calls.order, sent) {
		t.Errorf("%d notices arrive, or in another order", len(calls.order))
	}
	for id := uint64(1); id <= notices; id++ {
		if !calls.answered[id] {
			t.Fatalf("notice %d is not answered", id)
		}
	}
}
