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

func constant(v float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return v }
}

// play runs our decisions on a shape; prepare may change the engines first.
func play(s *Scenario, sh shape, prepare func(*sim)) *tally {
	g := generator{scenario: s, rng: rand.New(rand.NewPCG(seed, seed)), shape: sh}
	trace := g.run()
	m := newSim(s, &trace, newOurs(), initialSplit(s))
	if prepare != nil {
		prepare(m)
	}
	return m.run()
}

func atLeast(t *testing.T, what string, got, want float64) {
	t.Helper()
	if got < want {
		t.Errorf("%s: %.3f, want at least %.3f", what, got, want)
	}
}

func atMost(t *testing.T, what string, got, want float64) {
	t.Helper()
	if got > want {
		t.Errorf("%s: %.3f, want at most %.3f", what, got, want)
	}
}

// Ninety seconds of dossiers at more than the fleet can do. Clerks must not
// notice, and the dossiers are done by their deadline from what waits.
func TestBurstOfDossiers(t *testing.T) {
	t.Parallel()
	r := play(scenario(t, "qalhat"), shape{name: "burst", load: bursts, prefillShare: burstShare}, nil)
	atLeast(t, "questions in time", part(r.urgentGood, r.urgentOffered), 0.97)
	atLeast(t, "dossiers in time", part(r.bulkGood, r.bulkOffered), 0.97)
	atMost(t, "urgent p95 seconds", r.urgentP95(), 1)
	atMost(t, "dossiers late", float64(r.bulkLate), 0)
}

// Work comes at two and five times what the fleet can do. What is answered must
// stay as much as at full load, clerks keep being answered, and the rest is
// refused instead of being late.
func TestSaturation(t *testing.T) {
	t.Parallel()
	s := scenario(t, "qalhat")
	full := play(s, shape{name: "x1", load: constant(normalLoad), prefillShare: constant(0.5)}, nil)
	for _, times := range []float64{2, 5} {
		t.Run(fmt.Sprintf("%vx", times), func(t *testing.T) {
			t.Parallel()
			saturated(t, s, times, full.goodput)
		})
	}
}

func saturated(t *testing.T, s *Scenario, times, full float64) {
	t.Helper()
	r := play(s, shape{name: "x", load: constant(times * normalLoad), prefillShare: constant(0.5)}, nil)
	atLeast(t, "questions in time", part(r.urgentGood, r.urgentOffered), 0.97)
	atLeast(t, "goodput against full load", r.goodput/full, 0.95)
	atMost(t, "late of answered dossiers", part(r.bulkLate, r.bulkGood+r.bulkLate), 0.1)
	if r.unfinished != 0 || r.refusals == 0 {
		t.Errorf("%d unfinished, %d refused", r.unfinished, r.refusals)
	}
}

// One member sends nine in ten of all requests, twice of what the fleet can do.
// The others ask for less than their share and must get nearly all of it.
func TestOneHeavyMember(t *testing.T) {
	t.Parallel()
	s := scenario(t, "qazaq")
	r := play(s, shape{name: "heavy", load: constant(2 * normalLoad), prefillShare: constant(0.5), heavy: 0.9}, nil)
	for _, m := range s.Members[1:] {
		c := r.members[memberClass{m.Name, declaration.ClassBulk}]
		atLeast(t, m.Name+" in time", part(c.good, c.offered), 0.95)
	}
	heavy := r.members[memberClass{s.Members[0].Name, declaration.ClassBulk}]
	atMost(t, "heavy member in time", part(heavy.good, heavy.offered), 0.6)
}

// One engine of each role runs four times slower and reports nothing wrong. The
// clerks' questions must not be late for it.
func TestSlowBackendServer(t *testing.T) {
	t.Parallel()
	slow := func(m *sim) {
		m.nodes[0].model.SetSlow(4)
		m.nodes[4].model.SetSlow(4)
		m.nodes[8].model.SetSlow(4)
	}
	r := play(scenario(t, "qalhat"), shape{name: "slow", load: constant(5), prefillShare: constant(0.5)}, slow)
	atLeast(t, "questions in time", part(r.urgentGood, r.urgentOffered), 0.95)
	atLeast(t, "dossiers in time", part(r.bulkGood, r.bulkOffered), 0.95)
}

// Long dossiers run on every engine at nine tenths of what the fleet can do.
// Questions among them are answered as on an idle fleet, and no dossier is late.
func TestLongWorkAmongShort(t *testing.T) {
	t.Parallel()
	r := play(scenario(t, "qazaq"), shape{name: "long", load: constant(7.2), prefillShare: constant(0.65)}, nil)
	atLeast(t, "questions in time", part(r.urgentGood, r.urgentOffered), 0.98)
	atMost(t, "urgent p95 seconds", r.urgentP95(), 0.8)
	atMost(t, "dossiers late", float64(r.bulkLate), 0)
	atLeast(t, "dossiers in time", part(r.bulkGood, r.bulkOffered), 0.99)
}

// The experiment must give the same figures each time, or no change of a
// threshold can be judged.
func TestRunsAreReproducible(t *testing.T) {
	t.Parallel()
	s := scenario(t, "qalhat")
	sh := shape{name: "x", load: constant(9), prefillShare: constant(0.4), losses: []Loss{{3 * time.Minute, 2}}}
	a, b := play(s, sh, nil), play(s, sh, nil)
	if a.goodput != b.goodput || a.refusals != b.refusals || a.changes != b.changes {
		t.Fatalf("%v %d %d, then %v %d %d", a.goodput, a.refusals, a.changes, b.goodput, b.refusals, b.changes)
	}
}

// Our policy against the others on one seed of two traces; the whole table is
// `goldcrest-load policy`.
func TestPolicyAgainstTheBound(t *testing.T) {
	t.Parallel()
	for _, deployment := range []string{"qalhat", "qazaq"} {
		for _, name := range []string{"swing", "burst"} {
			t.Run(deployment+"/"+name, func(t *testing.T) {
				t.Parallel()
				againstTheBound(t, deployment, name)
			})
		}
	}
}

func againstTheBound(t *testing.T, deployment, name string) {
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
			atLeast(t, "goodput", r.GoodputRatio, 0.92)
		}
	}
}
