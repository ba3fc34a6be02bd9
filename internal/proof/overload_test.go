package proof

import (
	"context"
	"testing"
	"time"
)

// overloadEngines are how many engines serve in the rounds of the overload: each round has fewer,
// until the load is too much for them. How fast callers come depends on the machine; how
// many engines they meet does not.
var overloadEngines = []int{9, 5, 3, 2}

// engineGone is how long a killed engine may be taken for one that serves.
const engineGone = 3 * time.Second

// Line questions come in at more than twice what the engines can do, and an
// engine dies in the middle. Many callers are told at once to come back later;
// each of these refusals says "not run", and no journal may show a run of a
// request that was refused in the end. Who was let in gets the whole answer.
func TestRefusalsAreTrueUnderOverload(t *testing.T) {
	each(t, func(t *testing.T, ctx context.Context, tr *Trial, seed uint64) {
		for _, engines := range overloadEngines {
			leaveEngines(tr, engines)
			busy := NewTrialWithRetryLimit(tr.Bed, seed, time.Second)
			out := run(t, ctx, busy, Load{Seed: seed, Duration: 3 * time.Second, StreamRate: 250}, inject(t, busy, "engine killed"))
			if out.Counts.RefusedNotRun > 0 || t.Failed() {
				return
			}
			t.Logf("%d engines had time for all", engines)
		}
		t.Error("nothing was refused: the load is too small to show anything")
	})
}

// leaveEngines kills engines until so many are left.
func leaveEngines(tr *Trial, left int) {
	running, killed := 0, false
	for _, e := range tr.Bed.Engines {
		switch {
		case !e.Running():
		case running < left:
			running++
		default:
			e.Kill()
			killed = true
		}
	}
	if killed {
		time.Sleep(engineGone)
	}
}
