package proof

import (
	"context"
	"syscall"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"goldcrestseam.dev/goldcrestseam/internal/standin/journal"
)

// An operator changes the role of a loaded engine to decode and back. Each change
// takes the engine out of service for a second. Its streams must finish or move to
// another engine; none may be interrupted.
func TestRoleChangeUnderLoadCutsNoStream(t *testing.T) {
	forEachSeed(t, func(t *testing.T, ctx context.Context, tr *Trial, seed uint64) {
		out := runWithoutResumes(t, ctx, tr, MixedLoad(seed), func(ctx context.Context) {
			sleep(ctx, FaultDelay)
			engine := busiestProcess(t, tr, tr.Bed.Engines).Name
			for _, role := range []string{"decode", "mixed"} {
				changeRole(t, ctx, tr, engine, role)
				waitForRole(t, ctx, tr, engine, role)
			}
		})
		checkOrders(t, out)
	})
}

// changeRole asks until control accepts the change: control refuses it while an
// earlier order to the engine is unresolved.
func changeRole(t *testing.T, ctx context.Context, tr *Trial, engine, role string) {
	t.Helper()
	for tr.Bed.ChangeRole(ctx, engine, role) != nil {
		sleep(ctx, 200*time.Millisecond)
		if ctx.Err() != nil {
			t.Errorf("%s was never ordered to be %s", engine, role)
			return
		}
	}
}

// waitForRole waits until the engine's journal shows that it has the role.
func waitForRole(t *testing.T, ctx context.Context, tr *Trial, engine, role string) {
	t.Helper()
	for ctx.Err() == nil {
		records, err := tr.Bed.JournalRecords()
		if err != nil {
			t.Error(err)
			return
		}
		for _, r := range records {
			if r.Event == journal.OrderDone && r.Server == engine && string(r.Order.Role) == role {
				return
			}
		}
		sleep(ctx, 100*time.Millisecond)
	}
	t.Errorf("%s never became %s", engine, role)
}

func checkOrders(t *testing.T, out *Outcome) {
	t.Helper()
	started, findings := CheckOrders(out.Records)
	t.Logf("%d orders started in total", started)
	if started == 0 {
		t.Error("no order was started")
	}
	for _, f := range findings {
		t.Error(f)
	}
}

// Several operators compete for the role of an engine that does not check fencing
// tokens. Meanwhile the leader is frozen and resumes when another replica leads:
// an order that it still sends must not conflict with a newer one at the engine.
func TestUncheckedEngineGetsNoConflictingOrders(t *testing.T) {
	forEachSeed(t, func(t *testing.T, ctx context.Context, tr *Trial, seed uint64) {
		engine := tr.Bed.Process("engine-b1").Name
		l := Load{Seed: seed, Duration: 8 * time.Second, StreamRate: 2}
		out := runTrial(t, ctx, tr, l, func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, l.Duration)
			defer cancel()
			var wg conc.WaitGroup
			for i, role := range []string{"decode", "prefill", "mixed"} {
				wg.Go(func() { requestRoleRepeatedly(ctx, tr, engine, role, time.Duration(100+70*i)*time.Millisecond) })
			}
			for range 2 {
				sleep(ctx, 700*time.Millisecond)
				freezeLeader(t, ctx, tr, 2500*time.Millisecond)
			}
			wg.Wait()
		})
		checkOrders(t, out)
	})
}

// requestRoleRepeatedly asks for a role until ctx ends. Refusals and timeouts are
// expected, since operators compete.
func requestRoleRepeatedly(ctx context.Context, tr *Trial, engine, role string, interval time.Duration) {
	for ctx.Err() == nil {
		attemptCtx, cancel := context.WithTimeout(ctx, 2*time.Second)
		_ = tr.Bed.ChangeRole(attemptCtx, engine, role)
		cancel()
		sleep(ctx, interval)
	}
}

func freezeLeader(t *testing.T, ctx context.Context, tr *Trial, d time.Duration) {
	t.Helper()
	leader, err := tr.Bed.Leader(ctx)
	if err != nil {
		t.Error(err)
		return
	}
	leader.Signal(syscall.SIGSTOP)
	defer leader.Signal(syscall.SIGCONT)
	sleep(ctx, d)
}
