package roles

import (
	"fmt"
	"testing"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
)

// simFleet simulates engines that have their new role after ChangeTime.
type simFleet struct {
	o              Observation
	changeEnds     []time.Duration
	changes        []Change
	now            time.Duration
	planner        *Planner
	maxUnavailable int
}

func newFleet(prefill, mixed, decode int) *simFleet {
	f := &simFleet{planner: NewPlanner()}
	f.o = Observation{
		Interval: time.Second, Rates: Rates{Prefill: 10000, Decode: 889, MixedEfficiency: 0.8},
		Bounds: Bounds{MaxUnavailable: 1, MinMixedShare: 0.34, ChangeTime: 5 * time.Second},
		Price:  ChangePrice{PerChange: 7 * time.Second, GoodputWeight: 3, ChangeWeight: 1},
	}
	for i := range prefill + mixed + decode {
		role := engineapi.RoleMixed
		if i < prefill {
			role = engineapi.RolePrefill
		} else if i >= prefill+mixed {
			role = engineapi.RoleDecode
		}
		f.o.Engines = append(f.o.Engines, Engine{ID: fmt.Sprint("engine-", i), Role: role, TargetRole: role, Usable: true})
	}
	f.changeEnds = make([]time.Duration, len(f.o.Engines))
	return f
}

// run offers work for the given number of fully busy engines, with the given share of prefill.
func (f *simFleet) run(d time.Duration, load float64, share func(time.Duration) float64) {
	for end := f.now + d; f.now < end; f.now += time.Second {
		f.finishChanges()
		f.o.PrefillTokens = load * share(f.now) * 10000
		f.o.DecodeTokens = load * (1 - share(f.now)) * 889
		for _, c := range f.planner.Plan(f.now, f.o) {
			f.beginChange(c)
		}
	}
}

func (f *simFleet) finishChanges() {
	unavailable := 0
	for i := range f.o.Engines {
		e := &f.o.Engines[i]
		if e.Changing && f.now >= f.changeEnds[i] {
			e.Role, e.Changing, e.Usable = e.TargetRole, false, true
		}
		if e.Changing {
			unavailable++
		}
	}
	f.maxUnavailable = max(f.maxUnavailable, unavailable)
}

func (f *simFleet) beginChange(c Change) {
	for i := range f.o.Engines {
		e := &f.o.Engines[i]
		if e.ID == c.Engine {
			e.TargetRole, e.Changing, e.Usable = c.To, true, false
			f.changeEnds[i] = f.now + f.o.Bounds.ChangeTime
			f.changes = append(f.changes, c)
		}
	}
}

func constantShare(share float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return share }
}

func squareWave(period time.Duration, low, high float64) func(time.Duration) float64 {
	return func(t time.Duration) float64 {
		if t%period < period/2 {
			return low
		}
		return high
	}
}

// The mix shifts from short prompts to long ones for good, and the prefill backlog grows until
// engines change their role. Only one engine may be unavailable at a time.
func TestLastingShiftChangesRoles(t *testing.T) {
	f := newFleet(2, 4, 3)
	f.run(5*time.Minute, 7.5, constantShare(0.45))
	if len(f.changes) != 0 {
		t.Fatalf("unneeded changes: %v", f.changes)
	}
	f.run(5*time.Minute, 7.5, constantShare(0.85))
	s := CurrentSplit(&f.o)
	if ServedDemand(s, Demand{Prefill: 7.5 * 0.85, Decode: 7.5 * 0.15}, 0.8) < 7.3 {
		t.Fatalf("split %+v after %d changes", s, len(f.changes))
	}
	if f.maxUnavailable > 1 || len(f.changes) > 4 || s.Mixed < 4 {
		t.Fatalf("%d unavailable at once, %d changes, split %+v", f.maxUnavailable, len(f.changes), s)
	}
}

// The mix swings faster than a role change pays off. A policy that follows each swing has an
// engine unavailable all the time and always has the split for the previous swing.
func TestFastSwingsCauseNoFlapping(t *testing.T) {
	for _, seconds := range []int{10, 20, 40, 60, 80, 90, 100} {
		period := time.Duration(seconds) * time.Second
		f := newFleet(2, 4, 3)
		f.run(20*time.Minute, 7.8, squareWave(period, 0.2, 0.8))
		if len(f.changes) > 3 {
			t.Errorf("period %v: %d changes in 20 minutes", period, len(f.changes))
		}
	}
}

// The same shift with a higher price per change. The change must come later, but it must come
// unless the price is prohibitive.
func TestChangePriceDelaysChange(t *testing.T) {
	first := func(price time.Duration) time.Duration {
		f := newFleet(2, 4, 3)
		f.o.Price.PerChange = price
		f.run(15*time.Minute, 7.5, constantShare(0.8))
		if len(f.changes) == 0 {
			return time.Hour
		}
		f2 := newFleet(2, 4, 3)
		f2.o.Price.PerChange = price
		for len(f2.changes) == 0 {
			f2.run(time.Second, 7.5, constantShare(0.8))
		}
		return f2.now
	}
	cheap, expensive, prohibitive := first(5*time.Second), first(2*time.Minute), first(time.Hour)
	if cheap >= expensive || expensive == time.Hour || prohibitive != time.Hour {
		t.Fatalf("first change after %v, %v and %v", cheap, expensive, prohibitive)
	}
}

// The only prefill engines are lost for good. Other engines must change their role to do the
// prefill that mixed engines cannot take, although the offered mix has not changed.
func TestLostEnginesAreReplacedByRoleChanges(t *testing.T) {
	f := newFleet(2, 4, 3)
	f.run(2*time.Minute, 6, constantShare(0.6))
	f.o.Engines[0].Usable, f.o.Engines[1].Usable = false, false
	f.run(5*time.Minute, 6, constantShare(0.6))
	s := CurrentSplit(&f.o)
	if served := ServedDemand(s, Demand{Prefill: 3.6, Decode: 2.4}, 0.8); s.Size() != 7 || served < 5.9 {
		t.Fatalf("split %+v serves %.2f of 6 after %v", s, served, f.changes)
	}
	if before := ServedDemand(Split{0, 4, 3}, Demand{Prefill: 3.6, Decode: 2.4}, 0.8); before > 5.5 {
		t.Fatalf("%.2f of 6 without a change: the test requires no change", before)
	}
}

func TestCandidateSplitsKeepMinMixedShare(t *testing.T) {
	for _, s := range CandidateSplits(9, 1.0/3) {
		if s.Size() != 9 || s.Mixed < 3 {
			t.Fatalf("split %+v, want 9 engines and 3 mixed ones", s)
		}
	}
	if got := len(CandidateSplits(9, 1.0/3)); got != 28 {
		t.Fatalf("%d splits, want 28", got)
	}
}

func BenchmarkPlan(b *testing.B) {
	for _, engines := range []int{9, 90, 450, 675} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			f := newFleet(engines/4, engines-2*(engines/4), engines/4)
			f.o.PrefillTokens, f.o.DecodeTokens = float64(engines)*4500, float64(engines)*400
			f.planner.Plan(0, f.o)
			b.ReportAllocs()
			for b.Loop() {
				f.planner.Plan(0, f.o)
			}
		})
	}
}
