package proof

import (
	"context"
	"testing"
	"time"
)

// overloadEngineCounts are the numbers of engines that serve in successive rounds,
// until they can't carry the load. The rate of requests depends on the speed of the
// machine; the number of engines does not.
var overloadEngineCounts = []int{9, 5, 3, 2}

// failureDetectionTime is how long entries may still consider a killed engine alive.
const failureDetectionTime = 3 * time.Second

// Urgent requests arrive at more than twice the engines' capacity, and an engine is
// killed meanwhile. Many requests are refused at once with outcome "not run"; no
// journal may show a run of a request that was refused in the end. Every admitted
// request must get its complete answer.
func TestRefusalsAreTrueUnderOverload(t *testing.T) {
	forEachSeed(t, func(t *testing.T, ctx context.Context, tr *Trial, seed uint64) {
		for _, engines := range overloadEngineCounts {
			killEnginesDownTo(tr, engines)
			overloaded := NewTrialWithRetryLimit(tr.Bed, seed, time.Second)
			out := runTrial(t, ctx, overloaded, Load{Seed: seed, Duration: 3 * time.Second, StreamRate: 250}, injectFault(t, overloaded, "engine killed"))
			if out.Counts.RefusedNotRun > 0 || t.Failed() {
				return
			}
			t.Logf("%d engines carried the load without refusals", engines)
		}
		t.Error("no request was refused: the load is too small for this test")
	})
}

// killEnginesDownTo kills running engines until only keep are left.
func killEnginesDownTo(tr *Trial, keep int) {
	running, killed := 0, false
	for _, e := range tr.Bed.Engines {
		switch {
		case !e.Running():
		case running < keep:
			running++
		default:
			e.Kill()
			killed = true
		}
	}
	if killed {
		time.Sleep(failureDetectionTime)
	}
}
