package control

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/sourcegraph/conc"
	"google.golang.org/protobuf/proto"

	"goldcrestseam.dev/goldcrestseam/internal/ctl"
	"goldcrestseam.dev/goldcrestseam/internal/proof"
	"goldcrestseam.dev/goldcrestseam/internal/rpc"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
	"goldcrestseam.dev/goldcrestseam/internal/testbed"
)

const (
	operators  = 4
	claimants  = 4
	chaosTime  = 6 * time.Second
	checkTime  = time.Minute
	trialLimit = 2 * time.Minute
)

var root, bin string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "goldcrest-control-")
	if err == nil {
		root, err = proof.ModuleRoot()
	}
	bin = filepath.Join(dir, "bin")
	if err == nil {
		err = proof.Build(root, bin)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	code := m.Run()
	if code == 0 || os.Getenv("GOLDCREST_KEEP") == "" {
		_ = os.RemoveAll(dir)
	}
	os.Exit(code)
}

// each runs the trial for each seed, one unless GOLDCREST_SEEDS says more, on
// three fresh control replicas.
func each(t *testing.T, links bool, trial func(t *testing.T, ctx context.Context, bed *testbed.Bed, seed uint64)) {
	t.Helper()
	n, err := strconv.Atoi(os.Getenv("GOLDCREST_SEEDS"))
	if err != nil || n < 1 {
		n = 1
	}
	for seed := uint64(1); seed <= uint64(n); seed++ {
		t.Run("seed="+strconv.FormatUint(seed, 10), func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), trialLimit)
			defer cancel()
			bed := newBed(t, links)
			if _, err := waitLeader(ctx, bed); err != nil {
				t.Fatal(err)
			}
			trial(t, ctx, bed, seed)
		})
	}
}

func newBed(t *testing.T, links bool) *testbed.Bed {
	t.Helper()
	dir, err := os.MkdirTemp(filepath.Dir(bin), "bed")
	if err != nil {
		t.Fatal(err)
	}
	bed, err := testbed.New(testbed.Options{
		Bin: bin, Dir: dir, Deployment: proof.Deployment, Deploy: root + "/deploy", ForwardControl: links,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		bed.Close()
		if t.Failed() {
			t.Logf("logs: %s", dir)
		}
	})
	for _, p := range bed.Control {
		if err := p.Start(); err != nil {
			t.Fatal(err)
		}
	}
	return bed
}

func waitLeader(ctx context.Context, bed *testbed.Bed) (*testbed.Process, error) {
	for {
		leader, err := bed.Leader(ctx)
		if err == nil || ctx.Err() != nil {
			return leader, err
		}
	}
}

func newClient(t *testing.T, bed *testbed.Bed) *ctl.Client {
	t.Helper()
	auth, err := rpc.LoadAuth(bed.Auth())
	if err != nil {
		t.Fatal(err)
	}
	var addresses []string
	for _, p := range bed.Control {
		addresses = append(addresses, p.Address)
	}
	return ctl.NewClient(proof.Deployment, addresses, auth)
}

// traffic runs operators and claimants while fault does its work, and checks
// what they saw.
func traffic(t *testing.T, ctx context.Context, bed *testbed.Bed, seed uint64, fault func(context.Context)) {
	t.Helper()
	applied, claimed := newHistory(), newHistory()
	keys := newKeys(12)
	work, cancel := context.WithCancel(ctx)
	var wg conc.WaitGroup
	for i := range operators {
		o := &operator{id: i, client: newClient(t, bed), random: rand.New(rand.NewPCG(seed, uint64(10+i))), log: applied}
		wg.Go(func() { o.run(work) })
	}
	for i := range claimants {
		c := &claimant{
			id: i, client: newClient(t, bed), cluster: proof.Deployment,
			random: rand.New(rand.NewPCG(seed, uint64(20+i))), log: claimed, keys: keys,
		}
		wg.Go(func() { c.run(work) })
	}
	fault(ctx)
	cancel()
	wg.Wait()
	// A last read sees whatever was accepted before.
	(&operator{id: operators, client: newClient(t, bed), log: applied}).read(ctx)
	judge(t, "declarations", declarations, applied)
	judge(t, "claims", claims, claimed)
}

func judge(t *testing.T, name string, model porcupine.Model, h *history) {
	t.Helper()
	ops := h.operations()
	t.Logf("%s: %d operations, %d answered", name, len(ops), h.answered())
	if h.answered() == 0 {
		t.Errorf("%s: nothing was answered", name)
	}
	result, info := porcupine.CheckOperationsVerbose(model, ops, checkTime)
	if result == porcupine.Ok {
		return
	}
	t.Errorf("%s: the history is %v", name, result)
	if path := os.Getenv("GOLDCREST_HISTORY"); path != "" {
		_ = porcupine.VisualizePath(model, info, path)
	}
}

// Operators race under equal numbers and resend, entries claim the same keys,
// while replicas are killed, frozen and cut off. What was accepted stays, nobody
// wins twice, no key is granted twice.
func TestHistoriesUnderFaults(t *testing.T) {
	each(t, true, func(t *testing.T, ctx context.Context, bed *testbed.Bed, seed uint64) {
		c := newChaos(bed, seed)
		traffic(t, ctx, bed, seed, func(ctx context.Context) {
			faults, cancel := context.WithTimeout(ctx, chaosTime)
			defer cancel()
			c.run(faults)
			sleep(ctx, calm)
		})
		t.Logf("faults: %v", c.told)
	})
}

// A control VM loses its disk, later another one's is torn. Each is replaced
// under load, and a second VM is killed right after a repair. Nothing that was
// accepted is lost.
func TestHistoriesUnderLostDisks(t *testing.T) {
	each(t, false, func(t *testing.T, ctx context.Context, bed *testbed.Bed, seed uint64) {
		c := newChaos(bed, seed)
		traffic(t, ctx, bed, seed, func(ctx context.Context) {
			for n := range 2 {
				sleep(ctx, calm)
				victim := c.victim(ctx)
				before := incarnation(t, ctx, bed, victim)
				if err := c.loseDisk(ctx, victim, n == 0); err != nil {
					list, _ := bed.Ctl(ctx, "replica", "list")
					t.Errorf("%v\n%s", err, list)
					return
				}
				checkReplaced(t, ctx, bed, victim, before)
				c.kill(ctx, (victim+1+c.random.IntN(2))%len(bed.Control))
			}
		})
	})
}

// incarnation gives the life of a replica that the member list names.
func incarnation(t *testing.T, ctx context.Context, bed *testbed.Bed, victim int) string {
	t.Helper()
	resp, err := newClient(t, bed).Replicas(ctx)
	if err != nil {
		t.Error(err)
	}
	for _, r := range resp.GetReplicas() {
		id := r.GetMember().GetIdentity()
		if id.GetId() == uint64(victim+1) && r.GetMember().GetRole() == pb.ReplicaRole_REPLICA_ROLE_VOTER {
			return id.GetIncarnation()
		}
	}
	return ""
}

// checkReplaced expects the replica that lost its disk to vote under a new life.
func checkReplaced(t *testing.T, ctx context.Context, bed *testbed.Bed, victim int, before string) {
	t.Helper()
	if now := incarnation(t, ctx, bed, victim); now == "" || now == before {
		t.Errorf("replica %d was said to be replaced, and its life is %q after %q", victim+1, now, before)
	}
}

// A follower's VM comes back with an empty disk, and the operator replaces it at
// once, while the leader still counts its old life as active. The command must
// not report success before the new life votes.
func TestReplaceRightAfterTheLoss(t *testing.T) {
	each(t, false, func(t *testing.T, ctx context.Context, bed *testbed.Bed, seed uint64) {
		leader, err := waitLeader(ctx, bed)
		if err != nil {
			t.Fatal(err)
		}
		victim := 0
		if bed.Control[victim] == leader {
			victim = 1
		}
		before := incarnation(t, ctx, bed, victim)
		if err := newChaos(bed, seed).loseDisk(ctx, victim, true); err != nil {
			t.Fatal(err)
		}
		checkReplaced(t, ctx, bed, victim, before)
	})
}

// A process of another deployment, the old life of a replica that was replaced,
// one that nobody knows and garbage talk to the replicas. All are refused, and
// nothing changes.
func TestBadInputIsRefused(t *testing.T) {
	each(t, false, func(t *testing.T, ctx context.Context, bed *testbed.Bed, seed uint64) {
		const victim = 1
		old := incarnation(t, ctx, bed, victim)
		if err := newChaos(bed, seed).loseDisk(ctx, victim, true); err != nil {
			t.Fatal(err)
		}
		before, err := newClient(t, bed).Status(ctx)
		if err != nil {
			t.Fatal(err)
		}
		auth, err := rpc.LoadAuth(bed.Auth())
		if err != nil {
			t.Fatal(err)
		}
		for i, p := range bed.Control {
			replica := pb.NewReplicaProtobufClient(auth.URL(p.Address), auth.Client())
			for _, req := range badSteps(uint64(i+1), victim+1, old) {
				if resp, err := replica.Step(ctx, req); err == nil && !resp.GetRemoved() {
					t.Errorf("%s took %v", p.Name, req)
				}
			}
			operator := pb.NewOperatorProtobufClient(auth.URL(p.Address), auth.Client())
			if _, err := operator.Drain(ctx, &pb.DrainRequest{ClusterId: "other", Server: "x", Drained: true}); err == nil {
				t.Errorf("%s took a call of another cluster", p.Name)
			}
			checkRaw(t, auth, p.Address)
		}
		after, err := newClient(t, bed).Status(ctx)
		if err != nil || !proto.Equal(before, after) {
			t.Errorf("before %v, after %v, error %v", before, after, err)
		}
	})
}

// badSteps would make the replica follow a leader that there is not, or vote for
// one. A leader's message of a life that the replica has not heard of is not
// among them: consensus takes it, since the replica may have missed that life's
// joining (see docs of internal/consensus).
func badSteps(id, from uint64, old string) []*pb.StepRequest {
	lead := []*pb.Message{{Kind: pb.MessageKind_MESSAGE_KIND_HEARTBEAT, From: from, To: id, Term: 1 << 40}}
	vote := []*pb.Message{{Kind: pb.MessageKind_MESSAGE_KIND_VOTE, From: from, To: id, Term: 1 << 40, Index: 1 << 40, LogTerm: 1 << 40, Force: true}}
	to := &pb.ReplicaIdentity{Id: id}
	removed := &pb.ReplicaIdentity{Id: from, Incarnation: old, Boot: 9, BootNonce: 9}
	unknown := &pb.ReplicaIdentity{Id: from, Incarnation: "unknown", Boot: 9, BootNonce: 9}
	return []*pb.StepRequest{
		{ClusterId: "other", From: removed, To: to, Messages: lead},
		{ClusterId: proof.Deployment, From: removed, To: to, Messages: lead},
		{ClusterId: proof.Deployment, From: removed, To: to, Messages: vote},
		{ClusterId: proof.Deployment, From: unknown, To: to, Messages: vote},
		{ClusterId: proof.Deployment, To: to, Messages: lead},
		{ClusterId: proof.Deployment, From: unknown, To: &pb.ReplicaIdentity{Id: id, Incarnation: old}, Messages: lead},
	}
}

// checkRaw sends garbage with the key and a good call without it.
func checkRaw(t *testing.T, auth *rpc.Auth, address string) {
	t.Helper()
	for _, try := range []struct {
		client *http.Client
		body   string
	}{{auth.Client(), "\xff\xff garbage"}, {&http.Client{}, ""}} {
		resp, err := try.client.Post(auth.URL(address)+"/twirp/goldcrest.v1.Operator/Status",
			"application/protobuf", strings.NewReader(try.body))
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		if resp.StatusCode < 400 {
			t.Errorf("status %d for %q", resp.StatusCode, try.body)
		}
	}
}

// The leader's VM is to be rebooted: the replica gets SIGTERM while changes are
// applied one after the other. It hands leadership on and ends by itself, and
// every change is accepted in the end.
func TestPlannedStopHandsOver(t *testing.T) {
	each(t, false, func(t *testing.T, ctx context.Context, bed *testbed.Bed, _ uint64) {
		w := newWriter(t, ctx, bed)
		var wg conc.WaitGroup
		wg.Go(func() {
			for range 100 {
				if err := w.next(ctx); err != nil {
					t.Error(err)
					return
				}
				sleep(ctx, 10*time.Millisecond)
			}
		})
		leader, err := waitLeader(ctx, bed)
		if err != nil {
			t.Fatal(err)
		}
		if !leader.Stop(10 * time.Second) {
			t.Error("it did not end by itself")
		}
		wg.Wait()
		next, err := waitLeader(ctx, bed)
		if err != nil || next == leader {
			t.Errorf("the leader is %v, error %v", next, err)
		}
	})
}
