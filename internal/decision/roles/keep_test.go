package roles

import (
	"fmt"
	"testing"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
)

func observationWith(prefill, mixed, unavailable int) *Observation {
	o := &Observation{Bounds: Bounds{MaxUnavailable: 9}}
	add := func(n int, role engineapi.Role, usable bool) {
		for range n {
			o.Engines = append(o.Engines, Engine{
				ID: fmt.Sprint(len(o.Engines)), Role: role, TargetRole: role, Usable: usable,
			})
		}
	}
	add(prefill, engineapi.RolePrefill, true)
	add(mixed, engineapi.RoleMixed, true)
	add(unavailable, engineapi.RolePrefill, false)
	return o
}

// Engines start in arbitrary roles. The split must be set once and not be changed afterwards.
func TestPrefillShareIsKept(t *testing.T) {
	for _, c := range []struct {
		prefill, mixed, unavailable int
		share                       float64
		changes                     int
		to                          engineapi.Role
	}{
		{4, 5, 0, 0.67, 2, engineapi.RolePrefill},
		{6, 3, 0, 0.67, 0, ""},
		{8, 1, 0, 0.67, 2, engineapi.RoleMixed},
		{0, 2, 0, 0.67, 1, engineapi.RolePrefill},
		{1, 0, 0, 0.67, 1, engineapi.RoleMixed},
		{0, 1, 0, 0.67, 0, ""},
		{2, 0, 0, 1, 1, engineapi.RoleMixed},
		{5, 3, 1, 0.67, 0, ""},
	} {
		changes := keepSettled(observationWith(c.prefill, c.mixed, c.unavailable), c.share)
		if len(changes) != c.changes {
			t.Errorf("%+v: %d changes %+v", c, len(changes), changes)
			continue
		}
		for _, change := range changes {
			if change.To != c.to {
				t.Errorf("%+v: change %+v", c, change)
			}
		}
	}
}

// Guards against role changes of engines that have run for long and hold many cached prompts
// while others that have just started could change instead.
func TestYoungestEnginesChangeFirst(t *testing.T) {
	o := observationWith(0, 6, 0)
	for i := range o.Engines {
		o.Engines[i].Age = time.Duration(10-i) * time.Minute
	}
	for _, c := range keepSettled(o, 0.34) {
		if c.Engine != "5" && c.Engine != "4" {
			t.Errorf("engine %s changes its role, want the youngest", c.Engine)
		}
	}
}

// Guards against a release that leaves a build with engines of one role only, which serve nobody since
// engines of the other build don't take over their KV caches.
func TestEachSoftwareVersionHasItsOwnSplit(t *testing.T) {
	o := observationWith(6, 3, 0)
	for i := range o.Engines {
		o.Engines[i].SoftwareVersion = []string{"v1", "v2"}[i/6]
	}
	to := make(map[string]map[engineapi.Role]int)
	for _, c := range keepSettled(o, 0.67) {
		version := map[bool]string{true: "v1", false: "v2"}[c.Engine < "6"]
		if to[version] == nil {
			to[version] = make(map[engineapi.Role]int)
		}
		to[version][c.To]++
	}
	if to["v1"][engineapi.RoleMixed] != 2 || to["v2"][engineapi.RolePrefill] != 2 {
		t.Errorf("changes %v, want 2 of v1 to mixed and 2 of v2 to prefill", to)
	}
	o.Bounds.MaxUnavailable = 1
	if changes := keepSettled(o, 0.67); len(changes) != 1 {
		t.Errorf("%d changes at once, want 1", len(changes))
	}
}

// keepSettled returns the changes once the number of engines has stood for long enough.
func keepSettled(o *Observation, share float64) []Change {
	k := NewShareKeeper()
	k.Keep(0, o, share)
	return k.Keep(settleTime, o, share)
}
