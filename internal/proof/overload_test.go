package proof

import (
	"context"
	"testing"
	"time"
)

// Line questions come in at more than twice what the engines can do, and an
// engine dies in the middle. Many callers are told at once to come back later;
// each of these refusals says "not run", and no journal may show a run of a
// request that was refused in the end. Who was let in gets the whole answer.
func TestRefusalsAreTrueUnderOverload(t *testing.T) {
	each(t, func(t *testing.T, ctx context.Context, tr *Trial, seed uint64) {
		busy := NewBusyTrial(tr.Bed, seed, time.Second)
		out := run(t, ctx, busy, Load{Seed: seed, Duration: 3 * time.Second, Streams: 250}, inject(t, busy, "engine killed"))
		if out.Counts.RefusedNotRun == 0 {
			t.Error("nothing was refused: the load is too small to show anything")
		}
	})
}
