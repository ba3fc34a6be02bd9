package proof

import (
	"context"
	"testing"

	"goldcrestseam.dev/goldcrestseam/internal/testbed"
)

// inject waits until streams are under way and lets the fault happen.
func inject(t *testing.T, tr *Trial, name string) func(context.Context) {
	return func(ctx context.Context) {
		pause(ctx, FaultDelay)
		if err := FaultByName(name).Inject(ctx, tr); err != nil {
			t.Error(err)
		}
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
		runUnnoticed(t, ctx, tr, MixedLoad(seed), inject(t, tr, "engine killed"))
	})
}

// An accountant's connection ends in the middle of an answer: the entry was
// killed. The caller asks another entry of its list to go on and gets the rest.
func TestEntryKilledMidStream(t *testing.T) {
	each(t, func(t *testing.T, ctx context.Context, tr *Trial, seed uint64) {
		out := run(t, ctx, tr, MixedLoad(seed), inject(t, tr, "entry killed"))
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
		run(t, ctx, tr, MixedLoad(seed), inject(t, tr, "engine and entry killed"))
	})
}

// An engine's VM freezes: its connections stay open and nothing comes any more.
// The streams go on elsewhere; when it thaws, its late tokens go nowhere.
func TestEngineFrozenAndThawed(t *testing.T) {
	each(t, func(t *testing.T, ctx context.Context, tr *Trial, seed uint64) {
		runUnnoticed(t, ctx, tr, MixedLoad(seed), inject(t, tr, "engine frozen"))
	})
}

// A device on the path loses track of the open connections to every engine.
// They stay open and silent for good, new ones work. No stream may wait for
// them: the entry opens fresh ones and goes on there.
func TestOpenConnectionsGoSilent(t *testing.T) {
	each(t, func(t *testing.T, ctx context.Context, _ *Trial, seed uint64) {
		tr := NewTrial(forwardedBed(t, ctx), seed)
		runUnnoticed(t, ctx, tr, MixedLoad(seed), inject(t, tr, "open connections silent"))
	})
}

// The control replica that leads is killed in the middle of load, and comes
// back. Streams and lookups don't notice; once-only calls wait for the next
// leader and still run once.
func TestControlLeaderKilled(t *testing.T) {
	each(t, func(t *testing.T, ctx context.Context, tr *Trial, seed uint64) {
		runUnnoticed(t, ctx, tr, MixedLoad(seed), inject(t, tr, "control leader killed"))
	})
}
