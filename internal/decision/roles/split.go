package roles

import (
	"math"

	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
)

// Split is how many engines have each role.
type Split struct{ Prefill, Mixed, Decode int }

// Size returns the number of engines.
func (s Split) Size() int { return s.Prefill + s.Mixed + s.Decode }

// ChangesTo returns how many engines must change their role to get from s to o, which has the
// same size.
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

// Demand is offered work in units of engines: 1 keeps one engine of that role fully busy.
type Demand struct{ Prefill, Decode float64 }

// Total returns the demand for both roles.
func (d Demand) Total() float64 { return d.Prefill + d.Decode }

// ServedDemand returns the part of d that the split can serve, in units of engines. Prefill and
// decode are served in the proportion of d, because a request needs both. mixedEfficiency is that
// of Rates.
func ServedDemand(s Split, d Demand, mixedEfficiency float64) float64 {
	if d.Total() <= 0 {
		return 0
	}
	return d.Total() * min(1, servableFactor(s, d, mixedEfficiency))
}

// servableFactor returns the largest factor by which d can be multiplied so that the split still
// serves all of it. Mixed engines serve what the others leave.
func servableFactor(s Split, d Demand, mixedEfficiency float64) float64 {
	prefill, mixedCapacity, decode := float64(s.Prefill), float64(s.Mixed)*mixedEfficiency, float64(s.Decode)
	factor := (prefill + mixedCapacity + decode) / d.Total()
	if d.Prefill > 0 {
		factor = min(factor, (prefill+mixedCapacity)/d.Prefill)
	}
	if d.Decode > 0 {
		factor = min(factor, (decode+mixedCapacity)/d.Decode)
	}
	return factor
}

// maxStepsPerRole bounds the number of splits to evaluate. A fleet of 675 engines has 99,000
// splits, which take 6 ms a plan, and one engine more or less of a role makes no difference
// there.
const maxStepsPerRole = 32

// CandidateSplits lists the splits of size engines that have at least the given share of mixed
// engines and can serve both prefill and decode. Up to 63 engines it lists all of them, for
// larger fleets those in steps of a thirty-second of the size.
func CandidateSplits(size int, minMixedShare float64) []Split {
	minMixed := min(size, int(math.Ceil(minMixedShare*float64(size)-roundingTolerance)))
	step := max(1, size/maxStepsPerRole)
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

// roundingTolerance makes a share of 1/3 of nine engines three and not four.
const roundingTolerance = 1e-9

// CurrentSplit returns the current split of the engines; those that are changing count with
// their target role.
func CurrentSplit(o *Observation) Split { return summarize(o).split }
