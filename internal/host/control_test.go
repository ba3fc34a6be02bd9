package host

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/twitchtv/twirp"

	"goldcrestseam.dev/goldcrestseam/internal/rpc"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
	"goldcrestseam.dev/goldcrestseam/internal/settings"
)

// follower is a control replica that names another one as the leader.
type follower struct {
	pb.Control
	leader string
	calls  atomic.Int32
}

func (f *follower) Report(context.Context, *pb.ReportRequest) (*pb.ReportResponse, error) {
	f.calls.Add(1)
	return nil, twirp.NewError(twirp.Unavailable, "not the leader").WithMeta(metaLeader, f.leader)
}

// frozen takes calls and never answers.
type frozen struct {
	pb.Control
	calls atomic.Int32
}

func (f *frozen) Report(ctx context.Context, _ *pb.ReportRequest) (*pb.ReportResponse, error) {
	f.calls.Add(1)
	<-ctx.Done()
	return nil, ctx.Err()
}

func testAuth(t *testing.T) *rpc.Auth {
	t.Helper()
	auth, err := rpc.LoadAuth(settings.Auth{SharedKeyFile: keyFile(t)})
	if err != nil {
		t.Fatal(err)
	}
	return auth
}

// Control's leader is frozen, and the others name it until they have elected
// another. An entry that goes back to it each time spends its whole lease on
// timeouts, and refuses its callers.
func TestFrozenLeaderIsNotAskedAgainAtOnce(t *testing.T) {
	ice := &frozen{}
	iceAt := serve(t, pb.NewControlServer(ice))
	first, second := &follower{leader: iceAt}, &follower{leader: iceAt}
	c := NewControlClient(testAuth(t), []string{
		iceAt, serve(t, pb.NewControlServer(first)), serve(t, pb.NewControlServer(second)),
	})
	c.current = iceAt
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	report := func(ctx context.Context, control pb.Control) error {
		_, err := control.Report(ctx, &pb.ReportRequest{})
		return err
	}
	for range 4 {
		if err := c.once(ctx, 50*time.Millisecond, report); err == nil {
			t.Fatal("an answer without a leader")
		}
	}
	if n := ice.calls.Load(); n != 1 {
		t.Fatalf("the frozen leader was asked %d times", n)
	}
}

// A replica that does not lead names the leader: the next try goes there.
func TestLeaderIsFollowed(t *testing.T) {
	leader := &leadingControl{}
	leaderAt := serve(t, pb.NewControlServer(leader))
	behind := &follower{leader: leaderAt}
	c := NewControlClient(testAuth(t), []string{serve(t, pb.NewControlServer(behind))})
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	for range 2 {
		err := c.Call(ctx, patience, func(ctx context.Context, control pb.Control) error {
			_, err := control.Report(ctx, &pb.ReportRequest{})
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	if behind.calls.Load() != 1 || len(leader.reports) != 2 {
		t.Fatalf("%d calls at the follower, %d reports", behind.calls.Load(), len(leader.reports))
	}
}

// Guards against hundreds of entries whose questions keep overloaded replicas from having a
// leader, and against a view that comes late since an entry waits too long after an election.
func TestQuestionsOfManyEntriesThinOut(t *testing.T) {
	const entries, mostPerSecond = 330, 1000.0
	const election = 700 * time.Millisecond
	var at time.Duration
	try := 0
	for at < 2*time.Second {
		pause := pauseAfter(try)
		if at <= election && pause > election/3 {
			t.Errorf("a pause of %v, %v after the first try", pause, at)
		}
		at += pause * 3 / 2
		try++
	}
	if rate := entries / (pauseAfter(try) * 3 / 2).Seconds(); rate > mostPerSecond {
		t.Errorf("%.0f questions a second of %d entries, at most %.0f", rate, entries, mostPerSecond)
	}
}
