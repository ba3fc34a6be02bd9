package roles

import (
	"fmt"
	"testing"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
)

// fleet plays engines that change at once after ChangeTime.
type fleet struct {
	o       Observation
	done    []time.Duration
	changes []Change
	now     time.Duration
	planner *Planner
	maxAway int
}

func newFleet(prefill, mixed, decode int) *fleet {
	f := &fleet{planner: NewPlanner()}
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
	f.done = make([]time.Duration, len(f.o.Engines))
	return f
}

// run offers load engines' worth of work with that share of prefill.
func (f *fleet) run(d time.Duration, load float64, share func(time.Duration) float64) {
	for end := f.now + d; f.now < end; f.now += time.Second {
		f.settle()
		f.o.PrefillTokens = load * share(f.now) * 10000
		f.o.DecodeTokens = load * (1 - share(f.now)) * 889
		for _, c := range f.planner.Plan(f.now, f.o) {
			f.begin(c)
		}
	}
}

func (f *fleet) settle() {
	away := 0
	for i := range f.o.Engines {
		e := &f.o.Engines[i]
		if e.Changing && f.now >= f.done[i] {
			e.Role, e.Changing, e.Usable = e.TargetRole, false, true
		}
		if e.Changing {
			away++
		}
	}
	f.maxAway = max(f.maxAway, away)
}

func (f *fleet) begin(c Change) {
	for i := range f.o.Engines {
		e := &f.o.Engines[i]
		if e.ID == c.Engine {
			e.TargetRole, e.Changing, e.Usable = c.To, true, false
			f.done[i] = f.now + f.o.Bounds.ChangeTime
			f.changes = append(f.changes, c)
		}
	}
}

func always(share float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return share }
}

func square(period time.Duration, low, high float64) func(time.Duration) float64 {
	return func(t time.Duration) float64 {
		if t%period < period/2 {
			return low
		}
		return high
	}
}

// Dossiers replace questions for good. Prefill falls behind by more each second
// until engines change; one at a time is away.
func TestALastingShiftChangesRoles(t *testing.T) {
	f := newFleet(2, 4, 3)
	f.run(5*time.Minute, 7.5, always(0.45))
	if len(f.changes) != 0 {
		t.Fatalf("changes without need: %v", f.changes)
	}
	f.run(5*time.Minute, 7.5, always(0.85))
	s := CurrentSplit(&f.o)
	if ServedDemand(s, Demand{Prefill: 7.5 * 0.85, Decode: 7.5 * 0.15}, 0.8) < 7.3 {
		t.Fatalf("still %+v after %d changes", s, len(f.changes))
	}
	if f.maxAway > 1 || len(f.changes) > 4 || s.Mixed < 4 {
		t.Fatalf("%d away at once, %d changes, %+v", f.maxAway, len(f.changes), s)
	}
}

// The mix swings faster than a change pays. A policy that follows has an engine
// away in every swing and always the split of the swing before.
func TestFastSwingsCauseNoFlapping(t *testing.T) {
	for _, secs := range []int{10, 20, 40, 60, 80, 90, 100} {
		period := time.Duration(secs) * time.Second
		f := newFleet(2, 4, 3)
		f.run(20*time.Minute, 7.8, square(period, 0.2, 0.8))
		if len(f.changes) > 3 {
			t.Errorf("period %v: %d changes in 20 minutes", period, len(f.changes))
		}
	}
}

// The same shift at a deployment that asks a high price for each change. It must
// wait longer, and change in the end.
func TestThePriceDelaysAChange(t *testing.T) {
	first := func(price time.Duration) time.Duration {
		f := newFleet(2, 4, 3)
		f.o.Price.PerChange = price
		f.run(15*time.Minute, 7.5, always(0.8))
		if len(f.changes) == 0 {
			return time.Hour
		}
		f2 := newFleet(2, 4, 3)
		f2.o.Price.PerChange = price
		for len(f2.changes) == 0 {
			f2.run(time.Second, 7.5, always(0.8))
		}
		return f2.now
	}
	cheap, dear, never := first(5*time.Second), first(2*time.Minute), first(time.Hour)
	if cheap >= dear || dear == time.Hour || never != time.Hour {
		t.Fatalf("first change after %v, %v and %v", cheap, dear, never)
	}
}

// The only prefill engines are lost for good. What the mixed ones can't take must
// move others, although the offered mix has not changed.
func TestLostEnginesAreReplacedByOthers(t *testing.T) {
	f := newFleet(2, 4, 3)
	f.run(2*time.Minute, 6, always(0.6))
	f.o.Engines[0].Usable, f.o.Engines[1].Usable = false, false
	f.run(5*time.Minute, 6, always(0.6))
	s := CurrentSplit(&f.o)
	if served := ServedDemand(s, Demand{Prefill: 3.6, Decode: 2.4}, 0.8); s.Size() != 7 || served < 5.9 {
		t.Fatalf("%+v serves %.2f of 6 after %v", s, served, f.changes)
	}
	if before := ServedDemand(Split{0, 4, 3}, Demand{Prefill: 3.6, Decode: 2.4}, 0.8); before > 5.5 {
		t.Fatalf("%.2f of 6 without a change: the test asks for none", before)
	}
}

func TestSplitsKeepTheBand(t *testing.T) {
	for _, s := range CandidateSplits(9, 1.0/3) {
		if s.Size() != 9 || s.Mixed < 3 {
			t.Fatalf("%+v", s)
		}
	}
	if got := len(CandidateSplits(9, 1.0/3)); got != 28 {
		t.Fatalf("%d splits", got)
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
