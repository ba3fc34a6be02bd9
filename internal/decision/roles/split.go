package roles

import (
	"math"

	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
)

// Split is how many engines have each role.
type Split struct{ Prefill, Mixed, Decode int }

// Size is the number of engines.
func (s Split) Size() int { return s.Prefill + s.Mixed + s.Decode }

// ChangesTo is how many engines must change to get from s to o of the same size.
func (s Split) ChangesTo(o Split) int {
	return max(0, o.Prefill-s.Prefill) + max(0, o.Mixed-s.Mixed) + max(0, o.Decode-s.Decode)
}

func (s *Split) count(role engineapi.Role, by int) {
	switch role {
	case engineapi.RolePrefill:
		s.Prefill += by
	case engineapi.RoleDecode:
		s.Decode += by
	default:
		s.Mixed += by
	}
}

// Demand is offered work in engines' worth: 1 keeps one engine of that role
// fully busy.
type Demand struct{ Prefill, Decode float64 }

// Total is the engines' worth of both.
func (d Demand) Total() float64 { return d.Prefill + d.Decode }

// ServedDemand is how many engines' worth of d the split can serve, prefill and
// decode in the proportion of d: a request needs both. mixed is the efficiency of
// mixed engines.
func ServedDemand(s Split, d Demand, mixed float64) float64 {
	if d.Total() <= 0 {
		return 0
	}
	return d.Total() * min(1, reach(s, d, mixed))
}

// reach is the largest factor by which d can be multiplied so that the split
// still serves it all. Mixed engines take what the others leave.
func reach(s Split, d Demand, mixed float64) float64 {
	prefill, band, decode := float64(s.Prefill), float64(s.Mixed)*mixed, float64(s.Decode)
	both := (prefill + band + decode) / d.Total()
	if d.Prefill > 0 {
		both = min(both, (prefill+band)/d.Prefill)
	}
	if d.Decode > 0 {
		both = min(both, (decode+band)/d.Decode)
	}
	return both
}

// steps bounds the splits that are looked at: a fleet of 675 engines has 99,000,
// which are 6 ms a plan, and one engine more or less of a role matters to none.
const steps = 32

// CandidateSplits lists the splits of size engines with the smallest share of mixed ones
// and that can serve both parts at all: all of them up to 63 engines, of larger
// fleets those in steps of a thirty-second.
func CandidateSplits(size int, minMixedShare float64) []Split {
	minMixed := min(size, int(math.Ceil(minMixedShare*float64(size)-rounding)))
	step := max(1, size/steps)
	var out []Split
	for prefill := 0; prefill <= size-minMixed; prefill += step {
		for decode := 0; decode+prefill <= size-minMixed; decode += step {
			s := Split{Prefill: prefill, Mixed: size - prefill - decode, Decode: decode}
			if s.Mixed > 0 || (prefill > 0 && decode > 0) {
				out = append(out, s)
			}
		}
	}
	return out
}

// rounding keeps a share of 1/3 of nine engines at three.
const rounding = 1e-9

// CurrentSplit is the split of the engines; those that change count with their target.
func CurrentSplit(o *Observation) Split { return survey(o).split }
