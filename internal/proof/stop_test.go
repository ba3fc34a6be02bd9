package proof

import (
	"context"
	"testing"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/standin/journal"
	"goldcrestseam.dev/goldcrestseam/internal/testbed"
)

const (
	// stopTimeout is far more than a planned stop takes; one that takes longer hangs.
	stopTimeout = 90 * time.Second
	// newWorkLimit is the time after a server starts to leave beyond which no entry
	// may send it new work.
	newWorkLimit = 2 * time.Second
)

func stopGracefully(t *testing.T, p *testbed.Process) {
	if !p.Stop(stopTimeout) {
		t.Errorf("%s did not stop within the timeout", p.Name)
	}
}

// An operator stops an entry for an update while it relays streams. Every caller
// must get the rest of its stream without a resume, and callers with an old list of
// entries must be served.
func TestPlannedStopOfAnEntryCutsNothing(t *testing.T) {
	forEachSeed(t, func(t *testing.T, ctx context.Context, tr *Trial, seed uint64) {
		runWithoutResumes(t, ctx, tr, MixedLoad(seed), func(ctx context.Context) {
			sleep(ctx, FaultDelay)
			stopGracefully(t, tr.Bed.Entries[0])
		})
	})
}

// Callers cache the list of entries for its time to live and connect to an entry
// that is stopping. It must serve them until the last list with its address has
// expired: no request may need a second attempt.
func TestStoppingEntryServesCallersWithOldLists(t *testing.T) {
	forEachSeed(t, func(t *testing.T, ctx context.Context, tr *Trial, seed uint64) {
		out := runTrial(t, ctx, tr, Load{Seed: seed, Duration: 3 * time.Second, LookupRate: 80}, func(ctx context.Context) {
			sleep(ctx, FaultDelay)
			stopGracefully(t, tr.Bed.Entries[0])
		})
		for _, d := range out.Results {
			if d.Result.Attempts > 1 {
				t.Errorf("%s %s: %d attempts, %v", d.Class, d.Mark, d.Result.Attempts, d.Result.Err)
			}
		}
	})
}

// An engine with streams in progress stops as planned: it announces that it leaves,
// finishes its streams and exits. No stream may be interrupted, and no entry may
// send it new work after two seconds.
func TestPlannedStopOfAnEngineCutsNothing(t *testing.T) {
	forEachSeed(t, func(t *testing.T, ctx context.Context, tr *Trial, seed uint64) {
		out := runWithoutResumes(t, ctx, tr, MixedLoad(seed), func(ctx context.Context) {
			sleep(ctx, FaultDelay)
			stopGracefully(t, busiestProcess(t, tr, tr.Bed.Engines))
		})
		checkNoNewWork(t, out.Records)
	})
}

// All control replicas are killed, so that every entry's view becomes stale, and an
// engine leaves. Its own announcement reaches at most three entries. Even so, no
// entry may send it new work after two seconds.
func TestLeavingServerGetsNoNewWorkFromCutOffEntries(t *testing.T) {
	forEachSeed(t, func(t *testing.T, ctx context.Context, tr *Trial, seed uint64) {
		out := runTrial(t, ctx, tr, Load{Seed: seed, Duration: 5500 * time.Millisecond, StreamRate: 20}, func(ctx context.Context) {
			sleep(ctx, FaultDelay)
			for _, c := range tr.Bed.Control {
				c.Kill()
			}
			stopGracefully(t, busiestProcess(t, tr, tr.Bed.Engines))
		})
		checkNoNewWork(t, out.Records)
	})
}

// checkNoNewWork fails the test on calls that reached a server more than
// newWorkLimit after it started to leave. Every attempt that reaches a server counts
// as new work.
func checkNoNewWork(t *testing.T, records []journal.Record) {
	t.Helper()
	leavingSince := make(map[string]int64)
	for _, r := range records {
		if r.Event == journal.ServerLeaving {
			leavingSince[r.Incarnation] = r.UnixNS
		}
	}
	if len(leavingSince) == 0 {
		t.Error("no server started to leave")
	}
	for _, r := range records {
		since, ok := leavingSince[r.Incarnation]
		if ok && r.Event == journal.RequestReceived && r.UnixNS > since+newWorkLimit.Nanoseconds() {
			t.Errorf("%s got %s %v after it started to leave", r.Server, r.RequestID, time.Duration(r.UnixNS-since))
		}
	}
}
