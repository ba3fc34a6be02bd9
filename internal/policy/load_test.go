package policy

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/declaration"
)

const seed = 1

func scenario(t *testing.T, deployment string) *Scenario {
	t.Helper()
	s, err := LoadScenario("../../deploy", deployment)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func constantFunc(v float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return v }
}

// runShape runs the production policy on a load shape; prepare may modify the simulation first.
func runShape(s *Scenario, sh shape, prepare func(*sim)) *runStats {
	g := generator{scenario: s, rng: rand.New(rand.NewPCG(seed, seed)), shape: sh}
	trace := g.generate()
	m := newSim(s, &trace, newProductionPolicy(), initialSplit(s))
	if prepare != nil {
		prepare(m)
	}
	return m.run()
}

func wantAtLeast(t *testing.T, what string, got, want float64) {
	t.Helper()
	if got < want {
		t.Errorf("%s: %.3f, want at least %.3f", what, got, want)
	}
}

func wantAtMost(t *testing.T, what string, got, want float64) {
	t.Helper()
	if got > want {
		t.Errorf("%s: %.3f, want at most %.3f", what, got, want)
	}
}

// Ninety seconds of long bulk prompts beyond the capacity of the fleet. Urgent requests must not
// be affected, and the queued bulk work must be done by its deadline.
func TestBurstOfBulkWork(t *testing.T) {
	t.Parallel()
	r := runShape(scenario(t, "qalhat"), shape{name: "burst", load: burstLoadAt, prefillShare: burstPrefillShare}, nil)
	wantAtLeast(t, "urgent requests in time", ratio(r.urgentInTime, r.urgentOffered), 0.97)
	wantAtLeast(t, "bulk requests in time", ratio(r.bulkInTime, r.bulkOffered), 0.97)
	wantAtMost(t, "urgent p95 seconds", r.urgentP95(), 1)
	wantAtMost(t, "bulk requests late", float64(r.bulkLate), 0)
}

// Work arrives at two and five times the capacity of the fleet. Goodput must stay at the level of
// full load, urgent requests must still be answered in time, and the excess must be refused
// instead of answered late.
func TestSaturation(t *testing.T) {
	t.Parallel()
	s := scenario(t, "qalhat")
	full := runShape(s, shape{name: "x1", load: constantFunc(normalLoad), prefillShare: constantFunc(0.5)}, nil)
	for _, factor := range []float64{2, 5} {
		t.Run(fmt.Sprintf("%vx", factor), func(t *testing.T) {
			t.Parallel()
			checkSaturated(t, s, factor, full.goodputValue)
		})
	}
}

func checkSaturated(t *testing.T, s *Scenario, factor, full float64) {
	t.Helper()
	r := runShape(s, shape{name: "x", load: constantFunc(factor * normalLoad), prefillShare: constantFunc(0.5)}, nil)
	wantAtLeast(t, "urgent requests in time", ratio(r.urgentInTime, r.urgentOffered), 0.97)
	wantAtLeast(t, "goodput relative to full load", r.goodputValue/full, 0.95)
	wantAtMost(t, "late share of answered bulk requests", ratio(r.bulkLate, r.bulkInTime+r.bulkLate), 0.1)
	if r.unfinished != 0 || r.refusals == 0 {
		t.Errorf("%d unfinished, %d refused", r.unfinished, r.refusals)
	}
}

// One member sends nine in ten of all requests, at twice the capacity of the fleet. The others
// request less than their share and must get nearly all of it.
func TestOneHeavyMember(t *testing.T) {
	t.Parallel()
	s := scenario(t, "qazaq")
	r := runShape(s, shape{name: "heavy", load: constantFunc(2 * normalLoad), prefillShare: constantFunc(0.5), heavyShare: 0.9}, nil)
	for _, m := range s.Members[1:] {
		c := r.members[memberClass{m.Name, declaration.ClassBulk}]
		wantAtLeast(t, m.Name+" in time", ratio(c.inTime, c.offered), 0.95)
	}
	heavy := r.members[memberClass{s.Members[0].Name, declaration.ClassBulk}]
	wantAtMost(t, "heavy member in time", ratio(heavy.inTime, heavy.offered), 0.6)
}

// One engine of each role is four times slower and reports no problem. Urgent requests must still
// be answered in time.
func TestSlowBackendServer(t *testing.T) {
	t.Parallel()
	slow := func(m *sim) {
		m.engines[0].engine.SetSlowdown(4)
		m.engines[4].engine.SetSlowdown(4)
		m.engines[8].engine.SetSlowdown(4)
	}
	r := runShape(scenario(t, "qalhat"), shape{name: "slow", load: constantFunc(5), prefillShare: constantFunc(0.5)}, slow)
	wantAtLeast(t, "urgent requests in time", ratio(r.urgentInTime, r.urgentOffered), 0.95)
	wantAtLeast(t, "bulk requests in time", ratio(r.bulkInTime, r.bulkOffered), 0.95)
}

// Long bulk requests run on every engine at nine tenths of the fleet's capacity. Urgent requests
// among them must be answered as on an idle fleet, and no bulk request may be late.
func TestLongRequestsAmongShortOnes(t *testing.T) {
	t.Parallel()
	r := runShape(scenario(t, "qazaq"), shape{name: "long", load: constantFunc(7.2), prefillShare: constantFunc(0.65)}, nil)
	wantAtLeast(t, "urgent requests in time", ratio(r.urgentInTime, r.urgentOffered), 0.98)
	wantAtMost(t, "urgent p95 seconds", r.urgentP95(), 0.8)
	wantAtMost(t, "bulk requests late", float64(r.bulkLate), 0)
	wantAtLeast(t, "bulk requests in time", ratio(r.bulkInTime, r.bulkOffered), 0.99)
}

// The simulation must give the same results each time; otherwise the effect of a changed
// threshold could not be judged.
func TestRunsAreReproducible(t *testing.T) {
	t.Parallel()
	s := scenario(t, "qalhat")
	sh := shape{name: "x", load: constantFunc(9), prefillShare: constantFunc(0.4), losses: []Loss{{3 * time.Minute, 2}}}
	a, b := runShape(s, sh, nil), runShape(s, sh, nil)
	if a.goodputValue != b.goodputValue || a.refusals != b.refusals || a.changes != b.changes {
		t.Fatalf("%v %d %d, then %v %d %d", a.goodputValue, a.refusals, a.changes, b.goodputValue, b.refusals, b.changes)
	}
}

// The production policy is compared with the others on one seed of two traces; `goldcrest-load
// policy` gives the whole table.
func TestPolicyAgainstTheBound(t *testing.T) {
	t.Parallel()
	for _, deployment := range []string{"qalhat", "qazaq"} {
		for _, name := range []string{"swing", "burst"} {
			t.Run(deployment+"/"+name, func(t *testing.T) {
				t.Parallel()
				comparePolicies(t, deployment, name)
			})
		}
	}
}

func comparePolicies(t *testing.T, deployment, name string) {
	t.Helper()
	s := scenario(t, deployment)
	trace, err := NewTrace(s, name, seed, time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range compare(s, &trace, seed) {
		if r.UpperBoundRatio > 1 {
			t.Errorf("%s exceeds the upper bound", r.Policy)
		}
		if r.Policy == PolicyProduction {
			wantAtLeast(t, "goodput", r.GoodputRatio, 0.92)
		}
	}
}
