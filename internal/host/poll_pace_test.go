package host

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision/admission"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// silentControl records its polls and answers none. Each ends as one without data does in watch.
type silentControl struct {
	pb.Control
	start time.Time
	mu    sync.Mutex
	polls []time.Duration
}

func (s *silentControl) Watch(ctx context.Context, _ *pb.WatchRequest) (*pb.WatchResponse, error) {
	s.mu.Lock()
	s.polls = append(s.polls, time.Since(s.start))
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, watchSilenceTimeout)
	defer cancel()
	<-ctx.Done()
	return nil, ctx.Err()
}

// pollSilentControl returns when clients that begin at the same time poll a silent control.
func pollSilentControl(t *testing.T, clients int, outage time.Duration) []time.Duration {
	const address = "control:1"
	silent := &silentControl{start: time.Now()}
	ctx, cancel := context.WithTimeout(t.Context(), outage)
	defer cancel()
	var ended sync.WaitGroup
	for range clients {
		c := NewControlClient(testAuth(t), []string{address})
		c.clients[address] = silent
		ended.Go(func() {
			_ = c.Call(ctx, watchTimeout, func(ctx context.Context, control pb.Control) error {
				_, err := control.Watch(ctx, &pb.WatchRequest{})
				return err
			})
		})
	}
	ended.Wait()
	return silent.polls
}

// Guards against a request that is held until the entry has a view in force and refused although
// control is back: the poll that was under way then gets no answer, and the next one is sent so
// late that its answer comes after the request's wait.
func TestSilentPollIsFollowedWithinTheWaitOfAHeldRequest(t *testing.T) {
	const callerTimeout, outage = 3 * time.Second, 20 * time.Second
	// The last quarter of the wait is for the answer and for what of the wait had passed before
	// control was back.
	maxGap := admission.StartupWait(callerTimeout) * 3 / 4
	synctest.Test(t, func(t *testing.T) {
		polls := pollSilentControl(t, 1, outage)
		for i := 1; i < len(polls); i++ {
			if gap := polls[i] - polls[i-1]; gap > maxGap {
				t.Errorf("poll %d was sent %v after the one before it, want at most %v", i, gap, maxGap)
			}
		}
		if last := polls[len(polls)-1]; outage-last > maxGap {
			t.Errorf("no poll after %v of %v", last, outage)
		}
	})
}

// Guards against hundreds of entries that lost control at the same moment and poll it together when
// it is back. The rate is that of TestRetryDelayBoundsRequestRateOfManyEntries.
func TestSilentPollsOfManyEntriesSpread(t *testing.T) {
	const entries, maxPerSecond = 330, 1000
	const outage, spreadAfter, window = 20 * time.Second, 8 * time.Second, 250 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		inWindow := make(map[time.Duration]int)
		for _, at := range pollSilentControl(t, entries, outage) {
			inWindow[at.Truncate(window)]++
		}
		for from, n := range inWindow {
			if maxPolls := int(maxPerSecond * window / time.Second); from >= spreadAfter && n > maxPolls {
				t.Errorf("%d polls in the %v from %v, want at most %d", n, window, from, maxPolls)
			}
		}
	})
}
