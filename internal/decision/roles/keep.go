package roles

import (
	"math"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
)

// KeepPrefillShare gives the changes that bring the engines to a share that only prefills;
// the others do whole requests. One engine of each kind is left at least.
//
// It answers a fleet whose engines start in roles that don't fit the work, where
// the mix swings faster than a change of role pays: the split that serves the
// usual mix is set once, and again after engines came or went.
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
