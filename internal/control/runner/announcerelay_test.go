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

// fakeLeader is a leader as seen by other replicas.
type fakeLeader struct {
	pb.Control
	mu          sync.Mutex
	announced   []string
	heartbeats  []string
	unavailable bool
	// delay is how long an Announce call takes, calls counts them.
	delay        time.Duration
	calls        int
	resendInFull []string
}

func (l *fakeLeader) Announce(_ context.Context, q *pb.AnnounceRequest) (*pb.AnnounceResponse, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unavailable {
		return nil, twirp.Unavailable.Error("this replica does not lead")
	}
	time.Sleep(l.delay)
	l.calls++
	for _, announced := range q.GetWords() {
		s := announced.GetAnnouncement().GetServer()
		l.announced = append(l.announced, s.GetId()+" "+s.GetState().String())
	}
	return &pb.AnnounceResponse{}, nil
}

func (l *fakeLeader) Report(_ context.Context, q *pb.ReportRequest) (*pb.ReportResponse, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unavailable {
		return nil, twirp.Unavailable.Error("this replica does not lead")
	}
	for _, h := range q.GetHeartbeats() {
		l.heartbeats = append(l.heartbeats, h.GetServer())
	}
	return &pb.ReportResponse{TellInFull: l.resendInFull}, nil
}

func newFakeLeader(t *testing.T) (*fakeLeader, string) {
	l := &fakeLeader{}
	s := httptest.NewServer(pb.NewControlServer(l))
	t.Cleanup(s.Close)
	return l, strings.TrimPrefix(s.URL, "http://")
}

func newTestRelay(t *testing.T) *announcementRelay {
	auth, err := rpc.LoadAuth(settings.Auth{TrustedNetwork: true})
	if err != nil {
		t.Fatal(err)
	}
	relay := newAnnouncementRelay(&settings.Control{Common: settings.Common{Cluster: "test", Name: "c2"}, Address: "10.0.0.2:1"}, auth, slog.New(slog.DiscardHandler))
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		relay.sendAnnouncements(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return relay
}

func announcementOf(id string, state pb.ServerState) *pb.Announcement {
	return &pb.Announcement{Server: &pb.BackendServer{Id: id, Incarnation: "life-1", Address: id, State: state}}
}

const (
	serving = pb.ServerState_SERVER_STATE_SERVING
	leaving = pb.ServerState_SERVER_STATE_LEAVING
)

// Guards against a leader that gets every heartbeat of thousands of servers, and against a
// "leaving" that is answered before the leader has it.
func TestLeaderGetsNewAnnouncementsAndOneReportOfRepeats(t *testing.T) {
	l, address := newFakeLeader(t)
	relay := newTestRelay(t)
	ctx := context.Background()
	relay.report(ctx, address)
	for sequence := range uint64(5) {
		for i := range 100 {
			if err := relay.announce(ctx, address, announcementOf(fmt.Sprint("s", i), serving), sequence); err != nil {
				t.Fatal(err)
			}
		}
	}
	relay.report(ctx, address)
	if len(l.announced) != 100 || len(l.heartbeats) != 100 {
		t.Errorf("%d announcements and %d heartbeats reached the leader, want 100 of each", len(l.announced), len(l.heartbeats))
	}
	if err := relay.announce(ctx, address, announcementOf("s7", leaving), 6); err != nil || l.announced[100] != "s7 "+leaving.String() {
		t.Errorf("leaving: %v, the leader has %v", err, l.announced[100:])
	}
}

// Guards against a replica whose reports don't reach the leader and that keeps answering
// servers, whose leases then expire.
func TestReplicaWithoutAcceptedReportsAnswersNoServer(t *testing.T) {
	l, address := newFakeLeader(t)
	relay := newTestRelay(t)
	ctx := context.Background()
	relay.report(ctx, address)
	if err := relay.announce(ctx, address, announcementOf("s1", serving), 1); err != nil {
		t.Fatal(err)
	}
	l.unavailable = true
	relay.mu.Lock()
	relay.lastAcceptedAt -= reportValidity
	relay.mu.Unlock()
	relay.report(ctx, address)
	if err := relay.announce(ctx, address, announcementOf("s1", serving), 2); err == nil {
		t.Error("a heartbeat was answered that the leader can't learn of")
	}
}

// Guards against heartbeats of servers that a new leader, or one that has forgotten them,
// has no full announcement of.
func TestLeaderGetsFullAnnouncementsThatItLacks(t *testing.T) {
	l, address := newFakeLeader(t)
	relay := newTestRelay(t)
	ctx := context.Background()
	relay.report(ctx, address)
	_ = relay.announce(ctx, address, announcementOf("s1", serving), 1)
	l.resendInFull = []string{"s1"}
	relay.report(ctx, address)
	_ = relay.announce(ctx, address, announcementOf("s1", serving), 2)
	if len(l.announced) != 2 {
		t.Errorf("%d full announcements, want 2", len(l.announced))
	}
	other, otherAddress := newFakeLeader(t)
	_ = relay.announce(ctx, otherAddress, announcementOf("s1", serving), 3)
	if len(other.announced) != 1 {
		t.Errorf("the new leader got %d full announcements, want 1", len(other.announced))
	}
}

// Guards against a new leader that keeps all servers that switched to it.
func TestLeaderSpreadsServersOverLiveReplicas(t *testing.T) {
	relay := newTestRelay(t)
	relay.recordReporter("10.0.0.3:1")
	relay.recordReporter("10.0.0.4:1")
	counts := make(map[string]int)
	for i := range 3000 {
		counts[relay.replicaFor(fmt.Sprint("s", i), true)]++
	}
	if len(counts) != 3 {
		t.Fatalf("servers per replica %v, want 3 replicas", counts)
	}
	for address, n := range counts {
		if n < 800 || n > 1200 {
			t.Errorf("%d of 3,000 servers at %s", n, address)
		}
	}
	relay.reporters["10.0.0.4:1"] -= reportValidity
	for i := range 3000 {
		if relay.replicaFor(fmt.Sprint("s", i), true) == "10.0.0.4:1" {
			t.Fatal("a server is sent to a replica that no longer reports")
		}
	}
}

// Guards against a leader that gets one call per server while it is slow because thousands
// of servers switch to it at once.
func TestAnnouncementsForASlowLeaderAreBatched(t *testing.T) {
	l, address := newFakeLeader(t)
	l.delay = 50 * time.Millisecond
	relay := newTestRelay(t)
	var wg sync.WaitGroup
	var mu sync.Mutex
	failed := 0
	for i := range 600 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if err := relay.announce(context.Background(), address, announcementOf(fmt.Sprint("s", i), serving), 1); err != nil {
				mu.Lock()
				failed++
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	if failed > 0 || l.calls > 12 || len(l.announced) != 600 {
		t.Errorf("%d of 600 announcements failed, %d reached the leader in %d calls", failed, len(l.announced), l.calls)
	}
}
