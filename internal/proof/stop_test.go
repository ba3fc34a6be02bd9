package proof

import (
	"context"
	"testing"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/standin/journal"
	"goldcrestseam.dev/goldcrestseam/internal/testbed"
)

const (
	// stopTimeout is generous: a planned stop that takes longer hangs.
	stopTimeout = 90 * time.Second
	// leaveLimit is the promise: no new work for a leaving server after it.
	leaveLimit = 2 * time.Second
)

func stop(t *testing.T, p *testbed.Process) {
	if !p.Stop(stopTimeout) {
		t.Errorf("%s did not stop by itself", p.Name)
	}
}

// An operator restarts an entry for an update while callers read their answers
// there. Each gets the rest; callers with an old list of entries are served.
func TestPlannedStopOfAnEntryCutsNothing(t *testing.T) {
	each(t, func(t *testing.T, ctx context.Context, tr *Trial, seed uint64) {
		runUnnoticed(t, ctx, tr, MixedLoad(seed), func(ctx context.Context) {
			pause(ctx, FaultDelay)
			stop(t, tr.Bed.Entries[0])
		})
	})
}

// Members' apps keep the list of entries for as long as they were told and
// connect to an entry that an operator has just stopped. It must serve them
// until the last list with its address has run out: none may need a second try.
func TestStoppingEntryServesCallersWithOldLists(t *testing.T) {
	each(t, func(t *testing.T, ctx context.Context, tr *Trial, seed uint64) {
		out := run(t, ctx, tr, Load{Seed: seed, Duration: 3 * time.Second, LookupRate: 80}, func(ctx context.Context) {
			pause(ctx, FaultDelay)
			stop(t, tr.Bed.Entries[0])
		})
		for _, d := range out.Results {
			if d.Result.Tries > 1 {
				t.Errorf("%s %s: %d tries, %v", d.Class, d.Mark, d.Result.Tries, d.Result.Err)
			}
		}
	})
}

// An engine is withdrawn while it makes answers. It says that it leaves,
// finishes them and stops; nobody's answer is cut, and after two seconds nobody
// sends it new work.
func TestPlannedStopOfAnEngineCutsNothing(t *testing.T) {
	each(t, func(t *testing.T, ctx context.Context, tr *Trial, seed uint64) {
		out := runUnnoticed(t, ctx, tr, MixedLoad(seed), func(ctx context.Context) {
			pause(ctx, FaultDelay)
			stop(t, busiest(t, tr, tr.Bed.Engines))
		})
		checkNoNewWork(t, out.Records)
	})
}

// Control is lost as a whole, so that every entry's view is old, and an engine
// leaves. Its own word reaches three entries at most. No entry may send it new
// work after two seconds, cut off as it is.
func TestLeavingServerGetsNoNewWorkFromCutOffEntries(t *testing.T) {
	each(t, func(t *testing.T, ctx context.Context, tr *Trial, seed uint64) {
		out := run(t, ctx, tr, Load{Seed: seed, Duration: 5500 * time.Millisecond, StreamRate: 20}, func(ctx context.Context) {
			pause(ctx, FaultDelay)
			for _, c := range tr.Bed.Control {
				c.Kill()
			}
			stop(t, busiest(t, tr, tr.Bed.Engines))
		})
		checkNoNewWork(t, out.Records)
	})
}

// checkNoNewWork looks for calls that reached a server more than leaveLimit
// after it began to leave. The first attempt at a server counts as new work.
func checkNoNewWork(t *testing.T, records []journal.Record) {
	t.Helper()
	left := make(map[string]int64)
	for _, r := range records {
		if r.Event == journal.Leaving {
			left[r.Incarnation] = r.UnixNS
		}
	}
	if len(left) == 0 {
		t.Error("no server left")
	}
	for _, r := range records {
		at, ok := left[r.Incarnation]
		if ok && r.Event == journal.Received && r.UnixNS > at+leaveLimit.Nanoseconds() {
			t.Errorf("%s got %s %v after it began to leave", r.Server, r.RequestID, time.Duration(r.UnixNS-at))
		}
	}
}
