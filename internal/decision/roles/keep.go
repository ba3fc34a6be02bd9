package roles

import (
	"math"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
)

// KeepPrefillShare returns the changes that bring the share of engines that only prefill to the
// given value; all other engines run whole requests. At least one engine of each kind remains.
//
// It is meant for fleets whose engines start in roles that do not fit the workload and whose mix
// swings faster than role changes pay off: the split for the average mix is set once, and again
// after engines joined or left.
func KeepPrefillShare(o *Observation, share float64) []Change {
	split := CurrentSplit(o)
	size := split.Size()
	if size < 2 {
		return nil
	}
	prefill := min(size-1, max(1, int(math.Round(share*float64(size)))))
	target := Split{Prefill: prefill, Mixed: size - prefill}
	return ChangesTowards(o, target, "declared share of prefill", []decision.Figure{
		{Name: "target_prefill", Value: float64(target.Prefill)},
		{Name: "present_prefill", Value: float64(split.Prefill)},
		{Name: "engines", Value: float64(size)},
	})
}
