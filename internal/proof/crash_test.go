package proof

import (
	"context"
	"testing"

	"goldcrestseam.dev/goldcrestseam/internal/testbed"
)

// injectFault returns a function that waits until streams are in progress and then
// injects the fault.
func injectFault(t *testing.T, tr *Trial, name string) func(context.Context) {
	return func(ctx context.Context) {
		sleep(ctx, FaultDelay)
		if err := FaultByName(name).Inject(ctx, tr); err != nil {
			t.Error(err)
		}
	}
}

func busiestProcess(t *testing.T, tr *Trial, candidates []*testbed.Process) *testbed.Process {
	p, err := tr.Busiest(candidates)
	if err != nil {
		t.Error(err)
		return candidates[0]
	}
	return p
}

// The engine that produces a stream is killed in the middle. The caller must see
// only a pause and then the rest, byte for byte what the engine would have sent.
func TestEngineKilledMidStream(t *testing.T) {
	forEachSeed(t, func(t *testing.T, ctx context.Context, tr *Trial, seed uint64) {
		runWithoutResumes(t, ctx, tr, MixedLoad(seed), injectFault(t, tr, "engine killed"))
	})
}

// An entry is killed while it relays a stream, which closes the caller's connection.
// The caller resumes the stream at another entry and must get the rest.
func TestEntryKilledMidStream(t *testing.T) {
	forEachSeed(t, func(t *testing.T, ctx context.Context, tr *Trial, seed uint64) {
		out := runTrial(t, ctx, tr, MixedLoad(seed), injectFault(t, tr, "entry killed"))
		if out.Resumes() == 0 {
			t.Error("no stream was resumed: the killed entry relayed none")
		}
	})
}

// A rack loses power: the entry that relays a stream and the engine that produces it
// die at the same moment. The caller resumes at another entry, which must also move
// the stream to another engine.
func TestEngineAndEntryKilledAtOnce(t *testing.T) {
	forEachSeed(t, func(t *testing.T, ctx context.Context, tr *Trial, seed uint64) {
		runTrial(t, ctx, tr, MixedLoad(seed), injectFault(t, tr, "engine and entry killed"))
	})
}

// An engine's VM freezes: its connections stay open but carry no more data. The
// streams must continue on other engines, and tokens that the engine sends when it
// resumes must not reach callers.
func TestEngineFrozenAndThawed(t *testing.T) {
	forEachSeed(t, func(t *testing.T, ctx context.Context, tr *Trial, seed uint64) {
		runWithoutResumes(t, ctx, tr, MixedLoad(seed), injectFault(t, tr, "engine frozen"))
	})
}

// A network device drops its state of the open connections to every engine: they
// stay open but silent forever, while new ones work. No stream may wait for them:
// the entry must continue the streams over new connections.
func TestOpenConnectionsGoSilent(t *testing.T) {
	forEachSeed(t, func(t *testing.T, ctx context.Context, _ *Trial, seed uint64) {
		tr := NewTrial(newForwardedBed(t, ctx), seed)
		runWithoutResumes(t, ctx, tr, MixedLoad(seed), injectFault(t, tr, "open connections silent"))
	})
}

// The control leader is killed under load and restarted. Streams and lookups must
// not be affected; at-most-once calls wait for the next leader and still run once.
func TestControlLeaderKilled(t *testing.T) {
	forEachSeed(t, func(t *testing.T, ctx context.Context, tr *Trial, seed uint64) {
		runWithoutResumes(t, ctx, tr, MixedLoad(seed), injectFault(t, tr, "control leader killed"))
	})
}
