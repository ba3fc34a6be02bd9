package roles

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
)

// fleetOf returns n engines with roles as drawn.
func fleetOf(n int, r *rand.Rand) []Engine {
	list := make([]Engine, n)
	for i := range list {
		role := []engineapi.Role{engineapi.RolePrefill, engineapi.RoleMixed}[r.IntN(2)]
		list[i] = Engine{ID: fmt.Sprint("engine-", i), Role: role, TargetRole: role, Usable: true}
	}
	return list
}

// carryOut lets engines change their roles at once.
func carryOut(engines []Engine, changes []Change, times map[string]int) {
	for _, c := range changes {
		i := slices.IndexFunc(engines, func(e Engine) bool { return e.ID == c.Engine })
		engines[i].Role, engines[i].TargetRole = c.To, c.To
		times[c.Engine]++
	}
}

// Guards against roles that follow from which engines were known at a moment: while a fleet starts, its
// engines come into sight one after the other, and each share of those known so far would change roles.
func TestRolesAreNotChangedForFleetsThatAreComingIntoSight(t *testing.T) {
	const n, share = 9, 0.67
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, seed))
		engines := fleetOf(n, r)
		prefill := 0
		for _, e := range engines {
			if e.Role == engineapi.RolePrefill {
				prefill++
			}
		}
		order, known, k := r.Perm(n), 0, NewShareKeeper()
		changed := make(map[string]int)
		for now := time.Duration(0); now < 20*time.Second; now += time.Second {
			known = min(n, known+1+r.IntN(4))
			seen := make([]Engine, 0, n)
			for i := range engines {
				if slices.Contains(order[:known], i) {
					seen = append(seen, engines[i])
				}
			}
			o := Observation{Engines: seen, Bounds: Bounds{MaxUnavailable: 100}}
			carryOut(engines, k.Keep(now, &o, share), changed)
		}
		want := max(prefill-6, 6-prefill)
		total := 0
		for id, times := range changed {
			total += times
			if times > 1 {
				t.Errorf("seed %d: %s changed %d times", seed, id, times)
			}
		}
		if total != want {
			t.Errorf("seed %d: %d changes, want %d from %d engines that prefill", seed, total, want, prefill)
		}
	}
}

// Guards against role changes because of an engine that is gone for a moment, and against an engine that
// is lost for good without the others taking its role.
func TestRolesChangeForEnginesThatStayAwayOnly(t *testing.T) {
	engines := observationWith(6, 3, 0).Engines
	k := NewShareKeeper()
	changesAfter := func(now time.Duration, change func(e *Engine)) int {
		list := slices.Clone(engines)
		for _, i := range []int{7, 8} {
			change(&list[i])
		}
		return len(k.Keep(now, &Observation{Engines: list, Bounds: Bounds{MaxUnavailable: 9}}, 0.67))
	}
	expected := func(e *Engine) { e.Usable, e.Expected = false, true }
	lost := func(e *Engine) { e.Usable = false }
	changesAfter(0, func(*Engine) {})
	for now := time.Second; now < 12*time.Second; now += time.Second {
		if n := changesAfter(now, expected); n != 0 {
			t.Errorf("%v: %d changes while engines are expected back", now, n)
		}
	}
	changesAfter(12*time.Second, lost)
	if n := changesAfter(12*time.Second+settleTime, lost); n != 1 {
		t.Errorf("%d changes once they are lost for good, want 1", n)
	}
}

// Guards against a fleet that grows for long and whose roles are left as they come all the while.
func TestRolesOfAFleetThatGoesOnGrowingChange(t *testing.T) {
	k, changes := NewShareKeeper(), 0
	for n := range 10 {
		o := observationWith(0, 9+n, 0)
		o.Loaded = true
		changes += len(k.Keep(time.Duration(n)*time.Second, o, 0.67))
	}
	if changes == 0 {
		t.Error("no change within 10 s")
	}
}

// Guards against an engine that is away for seconds under load to mend a share by less than an engine.
func TestShareThatIsNearlyRightStaysUnderLoad(t *testing.T) {
	for _, c := range []struct {
		prefill, mixed, want int
	}{{4, 3, 0}, {5, 2, 0}, {3, 4, 2}, {6, 1, 1}, {0, 2, 1}} {
		o := observationWith(c.prefill, c.mixed, 0)
		o.Loaded = true
		if changes := keepSettled(o, 0.67); len(changes) != c.want {
			t.Errorf("%+v: changes %v", c, changes)
		}
	}
}
