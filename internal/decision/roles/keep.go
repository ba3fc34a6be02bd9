package roles

import (
	"math"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
)

const (
	// settleTime is how long the number of engines of a build must have stood before their roles are
	// changed. Control plans once a second, and engines report about as often.
	settleTime = 2 * time.Second
	// maxSettleTime bounds the wait in fleets whose size goes on changing under load.
	maxSettleTime = 4 * time.Second
)

// ShareKeeper keeps the share of engines that only prefill at a declared value; all other engines
// run whole requests. At least one engine of each kind remains, and an engine that is the only one
// runs whole requests. Each build of the engines' software is split by itself, since its engines
// work with each other only. It is not safe for concurrent use.
//
// It is meant for fleets whose engines start in roles that do not fit the workload and whose mix
// swings faster than role changes pay off: the split for the average mix is set once, and again
// after engines joined or left.
//
// A role lasts, and how many engines are known at a moment does not: while a fleet starts, or after
// a change of leader, they come into sight one after the other. So a build is left alone until the
// number of its engines has stood for settleTime, or under load has been changing for
// maxSettleTime, and engines that are expected back count. Under load a change takes an engine
// away for seconds, so a share that is wrong by less than one engine stays.
type ShareKeeper struct{ builds map[string]fleetSize }

// fleetSize is the number of engines of one build, since when it is that, and since when it has been
// changing.
type fleetSize struct {
	engines         int
	since, changing time.Duration
}

// NewShareKeeper returns a keeper that has seen no engine.
func NewShareKeeper() *ShareKeeper { return &ShareKeeper{builds: make(map[string]fleetSize)} }

// Keep returns the changes that lead towards the share.
func (k *ShareKeeper) Keep(now time.Duration, o *Observation, share float64) []Change {
	var changes []Change
	unavailable := summarize(o).unavailable
	builds := make(map[string]fleetSize)
	for _, engines := range byVersion(o.Engines) {
		build := Observation{Engines: engines, Bounds: o.Bounds, Loaded: o.Loaded}
		if !k.settled(now, &build, builds) {
			continue
		}
		// What the other builds make unavailable counts for this one, too.
		build.Bounds.MaxUnavailable = max(1, o.Bounds.MaxUnavailable) - len(changes) - unavailable + summarize(&build).unavailable
		if build.Bounds.MaxUnavailable > 0 {
			changes = append(changes, keepShareOfBuild(&build, share)...)
		}
	}
	k.builds = builds
	return changes
}

// settled records the size of a build in next and reports whether it has stood for long enough.
func (k *ShareKeeper) settled(now time.Duration, build *Observation, next map[string]fleetSize) bool {
	engines, version := CurrentSplit(build).Size(), build.Engines[0].SoftwareVersion
	size, known := k.builds[version]
	if !known {
		size.changing = now
	}
	if !known || size.engines != engines {
		size.engines, size.since = engines, now
	}
	settled := now-size.since >= settleTime || build.Loaded && now-size.changing >= maxSettleTime
	if settled {
		size.changing = now
	}
	next[version] = size
	return settled
}

// byVersion groups engines by the build of their software, in order of their first engine.
func byVersion(engines []Engine) [][]Engine {
	var groups [][]Engine
	position := make(map[string]int)
	for _, e := range engines {
		at, known := position[e.SoftwareVersion]
		if !known {
			at = len(groups)
			position[e.SoftwareVersion], groups = at, append(groups, nil)
		}
		groups[at] = append(groups[at], e)
	}
	return groups
}

func keepShareOfBuild(o *Observation, share float64) []Change {
	split := CurrentSplit(o)
	size := split.Size()
	if size == 0 {
		return nil
	}
	exact := min(float64(size-1), max(1, share*float64(size)))
	if o.Loaded && math.Abs(float64(split.Prefill)-exact) < 1 {
		return nil
	}
	prefill := min(size-1, int(math.Round(exact)))
	target := Split{Prefill: prefill, Mixed: size - prefill}
	return ChangesTowards(o, target, "declared share of prefill", []decision.Figure{
		{Name: "target_prefill", Value: float64(target.Prefill)},
		{Name: "present_prefill", Value: float64(split.Prefill)},
		{Name: "engines", Value: float64(size)},
	})
}
