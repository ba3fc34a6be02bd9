package control

import (
	"context"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"goldcrestseam.dev/goldcrestseam/internal/ctl"
	"goldcrestseam.dev/goldcrestseam/internal/declaration"
	"goldcrestseam.dev/goldcrestseam/internal/proof"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
	"goldcrestseam.dev/goldcrestseam/internal/testbed"
)

// The measurements print figures and judge nothing but that they could be taken.
// They run when GOLDCREST_MEASURE is set:
//
//	GOLDCREST_MEASURE=1 go test -count=1 -run Measure -v ./internal/proof/control
func measuring(t *testing.T) context.Context {
	t.Helper()
	if os.Getenv("GOLDCREST_MEASURE") == "" {
		t.Skip("set GOLDCREST_MEASURE to measure")
	}
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Minute)
	t.Cleanup(cancel)
	return ctx
}

// writer applies one declaration after the other.
type writer struct {
	client   *ctl.Client
	whole    *declaration.Declaration
	revision uint64
}

func newWriter(t *testing.T, ctx context.Context, bed *testbed.Bed) *writer {
	t.Helper()
	w := &writer{client: newClient(t, bed), whole: bed.Declaration}
	d, err := w.client.Declaration(ctx)
	if err != nil {
		t.Fatal(err)
	}
	w.revision = d.GetRevision()
	return w
}

// until applies changes until over says so after one, and gives how long the
// longest took.
func (w *writer) until(ctx context.Context, over func() bool) (longest time.Duration, err error) {
	for {
		began := time.Now()
		if err := w.next(ctx); err != nil {
			return 0, err
		}
		longest = max(longest, time.Since(began))
		if over() {
			return longest, nil
		}
	}
}

// next applies the deployment's declaration with one profile changed.
func (w *writer) next(ctx context.Context) error {
	d := *w.whole
	d.Base, d.Revision = w.revision, w.revision+1
	d.Profiles = slices.Clone(d.Profiles)
	d.Profiles[0].Deadline += time.Duration(d.Revision%100) * time.Second
	resp, err := w.client.Apply(ctx, d.ToProto())
	if err != nil {
		return err
	}
	if !resp.GetAccepted() {
		return proof.Failed.New("refused: %s", resp.GetRefusal())
	}
	w.revision++
	return nil
}

func quantiles(list []time.Duration) (p50, p99, most time.Duration) {
	slices.Sort(list)
	at := func(q float64) time.Duration { return list[int(q*float64(len(list)-1)+0.5)] }
	return at(0.5), at(0.99), list[len(list)-1]
}

func tell(t *testing.T, what string, list []time.Duration) {
	t.Helper()
	p50, p99, most := quantiles(list)
	t.Logf("%s: n=%d p50=%v p99=%v max=%v", what, len(list),
		p50.Round(100*time.Microsecond), p99.Round(100*time.Microsecond), most.Round(100*time.Microsecond))
}

// How long after the leader's kill or freeze is the next change accepted, and how
// long does one wait while the leader stops as planned?
func TestMeasureTakeover(t *testing.T) {
	ctx := measuring(t)
	bed := newBed(t, false)
	if _, err := waitLeader(ctx, bed); err != nil {
		t.Fatal(err)
	}
	w := newWriter(t, ctx, bed)
	for _, fault := range []struct {
		name     string
		hit, end func(*testbed.Process)
	}{
		{"kill", (*testbed.Process).Kill, func(p *testbed.Process) { _ = p.Start() }},
		{
			"freeze", func(p *testbed.Process) { p.Signal(syscall.SIGSTOP) },
			func(p *testbed.Process) { p.Signal(syscall.SIGCONT) },
		},
		{
			"planned stop", func(p *testbed.Process) { p.Signal(syscall.SIGTERM) },
			func(p *testbed.Process) { <-p.Exited(); _ = p.Start() },
		},
	} {
		var took []time.Duration
		for range 25 {
			leader, err := waitLeader(ctx, bed)
			if err != nil {
				t.Fatal(err)
			}
			if err := w.next(ctx); err != nil {
				t.Fatal(err)
			}
			fault.hit(leader)
			longest, err := w.until(ctx, func() bool { return !leader.Running() || fault.name == "freeze" })
			if err != nil {
				t.Fatal(err)
			}
			took = append(took, longest)
			fault.end(leader)
			sleep(ctx, calm)
		}
		tell(t, "leader "+fault.name+", longest wait for a change", took)
	}
}

// How long after it is accepted is a change in force at all nine entries?
func TestMeasureInForce(t *testing.T) {
	ctx := measuring(t)
	dir, err := os.MkdirTemp("", "goldcrest-measure")
	if err != nil {
		t.Fatal(err)
	}
	defer os.RemoveAll(dir)
	bed, err := testbed.New(testbed.Options{
		BinDir: bin, Dir: dir, Deployment: proof.Deployment, DeployDir: root + "/deploy", EnginesPerDataCentre: 1,
	})
	if err != nil {
		t.Fatal(err)
	}
	defer bed.Close()
	if err := bed.Start(ctx); err != nil {
		t.Fatal(err)
	}
	w := newWriter(t, ctx, bed)
	measureInForce(t, ctx, w, "accepted to in force at all entries")
	leader, err := waitLeader(ctx, bed)
	if err != nil {
		t.Fatal(err)
	}
	for _, p := range bed.Control {
		if p != leader {
			p.Kill()
			break
		}
	}
	measureInForce(t, ctx, w, "the same with one control VM down")
}

func measureInForce(t *testing.T, ctx context.Context, w *writer, what string) {
	t.Helper()
	var took []time.Duration
	for range 200 {
		if err := w.next(ctx); err != nil {
			t.Fatal(err)
		}
		began := time.Now()
		entries, err := waitEverywhere(ctx, w.client, w.revision)
		if err != nil {
			t.Fatal(err)
		}
		if entries != 9 {
			t.Fatalf("%d entries", entries)
		}
		took = append(took, time.Since(began))
	}
	tell(t, what, took)
}

// waitEverywhere returns the count of entries once all have the revision.
func waitEverywhere(ctx context.Context, c *ctl.Client, revision uint64) (int, error) {
	for {
		st, err := c.Status(ctx)
		if err != nil {
			return 0, err
		}
		behind := slices.ContainsFunc(st.GetEntries(), func(e *pb.EntryInfo) bool { return e.GetRevision() < revision })
		if !behind {
			return len(st.GetEntries()), nil
		}
		sleep(ctx, time.Millisecond)
	}
}

// How many changes a second are accepted, and how long does a replica take to
// come back after many of them?
func TestMeasureRestart(t *testing.T) {
	ctx := measuring(t)
	bed := newBed(t, false)
	if _, err := waitLeader(ctx, bed); err != nil {
		t.Fatal(err)
	}
	w := newWriter(t, ctx, bed)
	for _, changes := range []uint64{1000, 10000} {
		began, first := time.Now(), w.revision
		for w.revision < changes {
			if err := w.next(ctx); err != nil {
				t.Fatal(err)
			}
		}
		rate := float64(changes-first) / time.Since(began).Seconds()
		t.Logf("one operator, one change after the other: %.0f accepted changes/s", rate)
		var took []time.Duration
		for range 10 {
			leader, err := waitLeader(ctx, bed)
			if err != nil {
				t.Fatal(err)
			}
			took = append(took, restart(t, ctx, bed, w.client, leader))
		}
		tell(t, "restart of a replica after "+strconv.FormatUint(changes, 10)+" changes until it has caught up", took)
	}
}

// restart kills a follower and measures from its start until it has synced all
// that is committed.
func restart(t *testing.T, ctx context.Context, bed *testbed.Bed, c *ctl.Client, leader *testbed.Process) time.Duration {
	t.Helper()
	victim := 0
	if bed.Control[victim] == leader {
		victim = 1
	}
	bed.Control[victim].Kill()
	sleep(ctx, calm)
	began := time.Now()
	if err := bed.Control[victim].Start(); err != nil {
		t.Fatal(err)
	}
	for {
		resp, err := c.Replicas(ctx)
		if err != nil {
			t.Fatal(err)
		}
		for _, r := range resp.GetReplicas() {
			same := r.GetMember().GetIdentity().GetId() == uint64(victim+1)
			if same && r.GetRecentlyActive() && r.GetMatchIndex() >= resp.GetCommitIndex() {
				return time.Since(began)
			}
		}
		sleep(ctx, 2*time.Millisecond)
	}
}

// How many once-only claims a second are granted and settled, and how long does
// each take?
func TestMeasureClaims(t *testing.T) {
	ctx := measuring(t)
	bed := newBed(t, false)
	if _, err := waitLeader(ctx, bed); err != nil {
		t.Fatal(err)
	}
	for _, clients := range []int{1, 8, 64} {
		work, cancel := context.WithTimeout(ctx, 5*time.Second)
		var mu sync.Mutex
		var took []time.Duration
		var wg conc.WaitGroup
		for i := range clients {
			c := &claimant{id: i, client: newClient(t, bed), cluster: proof.Deployment, random: rand.New(rand.NewPCG(1, uint64(i))), log: newHistory()}
			wg.Go(func() {
				for work.Err() == nil {
					c.keys = newKeys(1)
					began := time.Now()
					claim := c.next()
					if c.claim(work, claim) != granted {
						continue
					}
					mu.Lock()
					took = append(took, time.Since(began))
					mu.Unlock()
					c.settle(work, claim, done)
				}
			})
		}
		wg.Wait()
		cancel()
		t.Logf("%d claimants: %.0f claims/s granted and settled", clients, float64(len(took))/5)
		tell(t, "claim", took)
	}
}
