package runner

import (
	"context"
	"fmt"
	"log/slog"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/twitchtv/twirp"

	"goldcrestseam.dev/goldcrestseam/internal/rpc"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
	"goldcrestseam.dev/goldcrestseam/internal/settings"
)

// leaderStandin is a leader as other replicas see it.
type leaderStandin struct {
	pb.Control
	mu        sync.Mutex
	announced []string
	heard     []string
	deaf      bool
	// slow is how long a call of words takes, calls counts them.
	slow   time.Duration
	calls  int
	inFull []string
}

func (l *leaderStandin) Announce(_ context.Context, q *pb.AnnounceRequest) (*pb.AnnounceResponse, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.deaf {
		return nil, twirp.Unavailable.Error("this replica does not lead")
	}
	time.Sleep(l.slow)
	l.calls++
	for _, word := range q.GetWords() {
		s := word.GetAnnouncement().GetServer()
		l.announced = append(l.announced, s.GetId()+" "+s.GetState().String())
	}
	return &pb.AnnounceResponse{}, nil
}

func (l *leaderStandin) Report(_ context.Context, q *pb.ReportRequest) (*pb.ReportResponse, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.deaf {
		return nil, twirp.Unavailable.Error("this replica does not lead")
	}
	for _, h := range q.GetHeartbeats() {
		l.heard = append(l.heard, h.GetServer())
	}
	return &pb.ReportResponse{TellInFull: l.inFull}, nil
}

func newLeaderStandin(t *testing.T) (*leaderStandin, string) {
	l := &leaderStandin{}
	s := httptest.NewServer(pb.NewControlServer(l))
	t.Cleanup(s.Close)
	return l, strings.TrimPrefix(s.URL, "http://")
}

func newTestRelay(t *testing.T) *wordRelay {
	auth, err := rpc.LoadAuth(settings.Auth{TrustedNetwork: true})
	if err != nil {
		t.Fatal(err)
	}
	w := newWordRelay(&settings.Control{Common: settings.Common{Cluster: "test", Name: "c2"}, Address: "10.0.0.2:1"}, auth, slog.New(slog.DiscardHandler))
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		w.sendWords(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return w
}

func word(id string, state pb.ServerState) *pb.Announcement {
	return &pb.Announcement{Server: &pb.BackendServer{Id: id, Incarnation: "life-1", Address: id, State: state}}
}

const (
	serving = pb.ServerState_SERVER_STATE_SERVING
	leaving = pb.ServerState_SERVER_STATE_LEAVING
)

// Guards against one replica that gets every heartbeat of thousands of servers, and against a
// word of leaving that is answered before the leader has it.
func TestLeaderGetsNewWordsAndOneReportOfTheRest(t *testing.T) {
	l, address := newLeaderStandin(t)
	w := newTestRelay(t)
	ctx := context.Background()
	w.report(ctx, address)
	for sequence := range uint64(5) {
		for i := range 100 {
			if err := w.announce(ctx, address, word(fmt.Sprint("s", i), serving), sequence); err != nil {
				t.Fatal(err)
			}
		}
	}
	w.report(ctx, address)
	if len(l.announced) != 100 || len(l.heard) != 100 {
		t.Errorf("%d words and %d heartbeats reached the leader, want 100 of each", len(l.announced), len(l.heard))
	}
	if err := w.announce(ctx, address, word("s7", leaving), 6); err != nil || l.announced[100] != "s7 "+leaving.String() {
		t.Errorf("leaving: %v, the leader has %v", err, l.announced[100:])
	}
}

// Guards against a replica that the leader does not hear and that goes on answering servers,
// whose leases then run out.
func TestUnheardReplicaAnswersNoServer(t *testing.T) {
	l, address := newLeaderStandin(t)
	w := newTestRelay(t)
	ctx := context.Background()
	w.report(ctx, address)
	if err := w.announce(ctx, address, word("s1", serving), 1); err != nil {
		t.Fatal(err)
	}
	l.deaf = true
	w.mu.Lock()
	w.takenAt -= wordsTrusted
	w.mu.Unlock()
	w.report(ctx, address)
	if err := w.announce(ctx, address, word("s1", serving), 2); err == nil {
		t.Error("a heartbeat was answered that the leader can't hear of")
	}
}

// Guards against heartbeats of servers that a new leader, or one that has forgotten them, never
// heard in full.
func TestLeaderThatLacksAServerIsToldInFull(t *testing.T) {
	l, address := newLeaderStandin(t)
	w := newTestRelay(t)
	ctx := context.Background()
	w.report(ctx, address)
	_ = w.announce(ctx, address, word("s1", serving), 1)
	l.inFull = []string{"s1"}
	w.report(ctx, address)
	_ = w.announce(ctx, address, word("s1", serving), 2)
	if len(l.announced) != 2 {
		t.Errorf("told in full %d times, want 2", len(l.announced))
	}
	other, otherAddress := newLeaderStandin(t)
	_ = w.announce(ctx, otherAddress, word("s1", serving), 3)
	if len(other.announced) != 1 {
		t.Errorf("the new leader was told %d times", len(other.announced))
	}
}

// Guards against a new leader that keeps all servers which have turned to it.
func TestLeaderSpreadsServersOverLivingReplicas(t *testing.T) {
	w := newTestRelay(t)
	w.noteReporter("10.0.0.3:1")
	w.noteReporter("10.0.0.4:1")
	counts := make(map[string]int)
	for i := range 3000 {
		counts[w.replicaFor(fmt.Sprint("s", i), true)]++
	}
	if len(counts) != 3 {
		t.Fatalf("servers at %v", counts)
	}
	for address, n := range counts {
		if n < 800 || n > 1200 {
			t.Errorf("%d of 3,000 servers at %s", n, address)
		}
	}
	w.reporters["10.0.0.4:1"] -= wordsTrusted
	for i := range 3000 {
		if w.replicaFor(fmt.Sprint("s", i), true) == "10.0.0.4:1" {
			t.Fatal("a server is sent to a replica that has fallen silent")
		}
	}
}

// Guards against a leader that gets a call for each server just when it is slow: thousands of
// servers turn to it at once.
func TestWordsForASlowLeaderGoTogether(t *testing.T) {
	l, address := newLeaderStandin(t)
	l.slow = 50 * time.Millisecond
	w := newTestRelay(t)
	var wg sync.WaitGroup
	var mu sync.Mutex
	failed := 0
	for i := range 600 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if err := w.announce(context.Background(), address, word(fmt.Sprint("s", i), serving), 1); err != nil {
				mu.Lock()
				failed++
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	if failed > 0 || l.calls > 12 || len(l.announced) != 600 {
		t.Errorf("%d of 600 words failed, %d reached the leader in %d calls", failed, len(l.announced), l.calls)
	}
}
