package proof

import (
	"context"
	"syscall"
	"testing"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/testbed"
)

// faultAt is when faults begin: streams of the load are under way then.
const faultAt = 1500 * time.Millisecond

// mixed is the load of most trials: long streams with plain calls beside them.
func mixed(seed uint64) Load {
	return Load{Seed: seed, Duration: 5 * time.Second, Streams: 12, Bulk: 3, Once: 8, Lookups: 6}
}

func pauseFor(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func busiest(t *testing.T, tr *Trial, among []*testbed.Process) *testbed.Process {
	p, err := tr.Busiest(among)
	if err != nil {
		t.Error(err)
		return among[0]
	}
	return p
}

// A songwriter reads an answer as it comes. The engine that makes it is killed
// in the middle. The caller sees a pause and then the rest, byte for byte what
// the engine would have given.
func TestEngineKilledMidStream(t *testing.T) {
	each(t, func(t *testing.T, ctx context.Context, tr *Trial, seed uint64) {
		runUnnoticed(t, ctx, tr, mixed(seed), func(ctx context.Context) {
			pauseFor(ctx, faultAt)
			busiest(t, tr, tr.Bed.Engines).Kill()
		})
	})
}

// An accountant's connection ends in the middle of an answer: the entry was
// killed. The caller asks another entry of its list to go on and gets the rest.
func TestEntryKilledMidStream(t *testing.T) {
	each(t, func(t *testing.T, ctx context.Context, tr *Trial, seed uint64) {
		out := run(t, ctx, tr, mixed(seed), func(ctx context.Context) {
			pauseFor(ctx, faultAt)
			tr.Bed.Entries[0].Kill()
		})
		if out.Resumes() == 0 {
			t.Error("no stream was resumed: the fault met none")
		}
	})
}

// A data centre's power fails for one rack: the entry that relays an answer and
// the engine that makes it go at the same moment. The caller resumes at another
// entry, which must find another engine too.
func TestEngineAndEntryKilledAtOnce(t *testing.T) {
	each(t, func(t *testing.T, ctx context.Context, tr *Trial, seed uint64) {
		run(t, ctx, tr, mixed(seed), func(ctx context.Context) {
			pauseFor(ctx, faultAt)
			engine := busiest(t, tr, tr.Bed.Engines)
			tr.Bed.Entries[0].Signal(syscall.SIGKILL)
			engine.Signal(syscall.SIGKILL)
		})
	})
}

// An engine's VM freezes: its connections stay open and nothing comes any more.
// The streams go on elsewhere; when it thaws, its late tokens go nowhere.
func TestEngineFrozenAndThawed(t *testing.T) {
	each(t, func(t *testing.T, ctx context.Context, tr *Trial, seed uint64) {
		runUnnoticed(t, ctx, tr, mixed(seed), func(ctx context.Context) {
			pauseFor(ctx, faultAt)
			engine := busiest(t, tr, tr.Bed.Engines)
			engine.Signal(syscall.SIGSTOP)
			pauseFor(ctx, 4*time.Second)
			engine.Signal(syscall.SIGCONT)
		})
	})
}

// A device on the path loses track of the open connections to every engine.
// They stay open and silent for good, new ones work. No stream may wait for
// them: the entry opens fresh ones and goes on there.
func TestOpenConnectionsGoSilent(t *testing.T) {
	each(t, func(t *testing.T, ctx context.Context, _ *Trial, seed uint64) {
		tr := NewTrial(forwardedBed(t, ctx), seed, defaultPatience)
		runUnnoticed(t, ctx, tr, mixed(seed), func(ctx context.Context) {
			pauseFor(ctx, faultAt)
			for _, f := range tr.Bed.Forwarders {
				f.SilenceOpen()
			}
		})
	})
}

// The control replica that leads is killed in the middle of load, and comes
// back. Streams and lookups don't notice; once-only calls wait for the next
// leader and still run once.
func TestControlLeaderKilled(t *testing.T) {
	each(t, func(t *testing.T, ctx context.Context, tr *Trial, seed uint64) {
		runUnnoticed(t, ctx, tr, mixed(seed), func(ctx context.Context) {
			pauseFor(ctx, faultAt)
			leader, err := tr.Bed.Leader(ctx)
			if err != nil {
				t.Error(err)
				return
			}
			leader.Kill()
			pauseFor(ctx, 2*time.Second)
			if err := leader.Start(); err != nil {
				t.Error(err)
			}
		})
	})
}
