package runner

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/ctl"
	"goldcrestseam.dev/goldcrestseam/internal/host"
	"goldcrestseam.dev/goldcrestseam/internal/rpc"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
	"goldcrestseam.dev/goldcrestseam/internal/settings"
)

const groupTimeout = 15 * time.Second

// replicaGroup runs the replicas of a group that repairs itself, on loopback, with the native
// settings and protocols.
type replicaGroup struct {
	t         *testing.T
	dir       string
	addresses []string
	stops     []func()
	// identities are those of the running replicas, ended their ends.
	identities []*pb.ReplicaIdentity
	ended      []chan error
}

const seedCount = 3

func newReplicaGroup(t *testing.T, replicas int) *replicaGroup {
	g := &replicaGroup{
		t: t, dir: t.TempDir(), stops: make([]func(), replicas),
		identities: make([]*pb.ReplicaIdentity, replicas), ended: make([]chan error, replicas),
	}
	for range replicas {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		g.addresses = append(g.addresses, ln.Addr().String())
		_ = ln.Close()
	}
	return g
}

func (g *replicaGroup) dataDir(n int) string { return filepath.Join(g.dir, fmt.Sprint("data-", n)) }

func (g *replicaGroup) start(n int, firstStart bool) {
	g.t.Helper()
	file := filepath.Join(g.dir, fmt.Sprint("settings-", n))
	text := fmt.Sprintf(`common: {cluster: test, name: control-%d, region: r, data_centre: d, control: ["%s"], auth: {trusted_network: true}}
group_from_control: true
bear_losses: 2
first_start: %v
address: %q
data_dir: %q
`, n, strings.Join(g.addresses[:seedCount], `", "`), firstStart, g.addresses[n], g.dataDir(n))
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		g.t.Fatal(err)
	}
	s, findings := settings.LoadControl(file)
	if len(findings) > 0 {
		g.t.Fatal(findings.Err())
	}
	r, err := New(s, slog.New(slog.DiscardHandler), Drivers{})
	if err != nil {
		g.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	stopped := make(chan struct{})
	// A replica that was removed ends with an error.
	go func() { defer close(stopped); ended <- r.Run(ctx) }()
	g.stops[n] = func() { cancel(); <-stopped }
	g.identities[n], g.ended[n] = r.store.Identity(), ended
}

func (g *replicaGroup) startAll(firstStart bool) {
	for n := range g.addresses {
		g.start(n, firstStart)
	}
}

func (g *replicaGroup) stopAll() {
	running := slices.DeleteFunc(slices.Clone(g.stops), func(stop func()) bool { return stop == nil })
	for _, stop := range running {
		go stop()
	}
	for _, stop := range running {
		stop()
	}
}

func (g *replicaGroup) wipe(replicas ...int) {
	for _, n := range replicas {
		if err := os.RemoveAll(g.dataDir(n)); err != nil {
			g.t.Fatal(err)
		}
	}
}

// awaitVoters waits until the group has five voters that answer, without that replica.
func (g *replicaGroup) awaitVoters(without int) {
	g.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), groupTimeout)
	defer cancel()
	client := ctl.NewClient("test", g.addresses, trustedAuth(g.t))
	for ; ctx.Err() == nil; time.Sleep(tickInterval) {
		var resp *pb.ListReplicasResponse
		err := client.Call(ctx, func(ctx context.Context, c pb.Operator) (err error) {
			resp, err = c.ListReplicas(ctx, &pb.ListReplicasRequest{ClusterId: "test"})
			return err
		})
		if err == nil && g.isWhole(resp.GetReplicas(), without) {
			return
		}
	}
	g.t.Fatal("the group has not five voters that answer")
}

// awaitJoiner waits until the last replica has asked to be added: it asks each joinInterval.
func (g *replicaGroup) awaitJoiner() {
	select {
	case err := <-g.ended[len(g.ended)-1]:
		g.t.Fatal(err)
	case <-time.After(4 * joinInterval):
	}
}

const nobody = -1

func (g *replicaGroup) isWhole(replicas []*pb.ReplicaStatus, without int) bool {
	voters, answering := 0, 0
	for _, r := range replicas {
		if r.GetMember().GetRole() != pb.ReplicaRole_REPLICA_ROLE_VOTER {
			continue
		}
		if without != nobody && r.GetMember().GetAddress() == g.addresses[without] {
			return false
		}
		voters++
		if r.GetRecentlyActive() {
			answering++
		}
	}
	return voters == 5 && answering == 5
}

func trustedAuth(t *testing.T) *rpc.Auth {
	t.Helper()
	auth, err := rpc.LoadAuth(settings.Auth{TrustedNetwork: true})
	if err != nil {
		t.Fatal(err)
	}
	return auth
}

// Guards against a group that nobody finds from the seeds after all have stopped: of the seeds,
// one was replaced and waits as a spare, two have lost their disks.
func TestEntryFindsTheLeaderWhenNoSeedIsAVoter(t *testing.T) {
	t.Parallel()
	g := newReplicaGroup(t, 7)
	g.startAll(true)
	t.Cleanup(g.stopAll)
	g.awaitVoters(nobody)
	g.stops[2]()
	g.awaitVoters(2)
	g.wipe(2)
	g.start(2, false)
	g.stopAll()
	g.wipe(0, 1)
	g.startAll(false)

	ctx, cancel := context.WithTimeout(context.Background(), groupTimeout)
	defer cancel()
	client := host.NewControlClient(trustedAuth(t), g.addresses[:seedCount])
	err := client.Call(ctx, host.ControlAttemptTimeout, func(ctx context.Context, c host.Replica) error {
		_, err := c.Report(ctx, &pb.ReportRequest{ClusterId: "test", Entry: &pb.EntryIdentity{Name: "entry-1", Incarnation: "i"}})
		return err
	})
	if err != nil {
		t.Errorf("an entry that knows the seeds alone gets %v; the replicas answered %v", err, client.Refusals())
	}
	g.awaitVoters(nobody)
}
