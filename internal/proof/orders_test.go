package proof

import (
	"context"
	"syscall"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"goldcrestseam.dev/goldcrestseam/internal/standin/journal"
)

// An operator turns an engine into a decode engine and back while it makes
// answers. Its streams finish or go on elsewhere; each change takes it away for a
// second and cuts nobody's answer.
func TestRoleChangeUnderLoadCutsNoStream(t *testing.T) {
	each(t, func(t *testing.T, ctx context.Context, tr *Trial, seed uint64) {
		out := runUnnoticed(t, ctx, tr, MixedLoad(seed), func(ctx context.Context) {
			pause(ctx, FaultDelay)
			engine := busiest(t, tr, tr.Bed.Engines).Name
			for _, role := range []string{"decode", "mixed"} {
				changeRole(t, ctx, tr, engine, role)
				waitRole(t, ctx, tr, engine, role)
			}
		})
		checkOrders(t, out)
	})
}

// changeRole asks until control takes the change: it refuses while an earlier
// order to the engine is unresolved.
func changeRole(t *testing.T, ctx context.Context, tr *Trial, engine, role string) {
	t.Helper()
	for tr.Bed.ChangeRole(ctx, engine, role) != nil {
		pause(ctx, 200*time.Millisecond)
		if ctx.Err() != nil {
			t.Errorf("%s was never ordered to be %s", engine, role)
			return
		}
	}
}

// waitRole waits until the engine has written down that it has the role.
func waitRole(t *testing.T, ctx context.Context, tr *Trial, engine, role string) {
	t.Helper()
	for ctx.Err() == nil {
		records, err := tr.Bed.Journals()
		if err != nil {
			t.Error(err)
			return
		}
		for _, r := range records {
			if r.Event == journal.OrderDone && r.Server == engine && string(r.Order.Role) == role {
				return
			}
		}
		pause(ctx, 100*time.Millisecond)
	}
	t.Errorf("%s never became %s", engine, role)
}

func checkOrders(t *testing.T, out *Outcome) {
	t.Helper()
	began, findings := CheckOrders(out.Records)
	t.Logf("%d orders begun in all", began)
	if began == 0 {
		t.Error("no order was begun")
	}
	for _, f := range findings {
		t.Error(f)
	}
}

// Two operators race each other for the role of an engine that carries out
// whatever it gets. The leader freezes in the middle and thaws later, when
// another one leads: what it still sends must not reach the engine as an order
// that conflicts with a newer one.
func TestUncheckedEngineGetsNoConflictingOrders(t *testing.T) {
	each(t, func(t *testing.T, ctx context.Context, tr *Trial, seed uint64) {
		engine := tr.Bed.Process("engine-b1").Name
		l := Load{Seed: seed, Duration: 8 * time.Second, StreamRate: 2}
		out := run(t, ctx, tr, l, func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, l.Duration)
			defer cancel()
			var wg conc.WaitGroup
			for i, role := range []string{"decode", "prefill", "mixed"} {
				wg.Go(func() { insist(ctx, tr, engine, role, time.Duration(100+70*i)*time.Millisecond) })
			}
			for range 2 {
				pause(ctx, 700*time.Millisecond)
				freezeLeader(t, ctx, tr, 2500*time.Millisecond)
			}
			wg.Wait()
		})
		checkOrders(t, out)
	})
}

// insist asks for a role again and again; refusals and timeouts are part of the
// race.
func insist(ctx context.Context, tr *Trial, engine, role string, every time.Duration) {
	for ctx.Err() == nil {
		try, cancel := context.WithTimeout(ctx, 2*time.Second)
		_ = tr.Bed.ChangeRole(try, engine, role)
		cancel()
		pause(ctx, every)
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
	pause(ctx, d)
}
