package roles

import (
	"math"
	"time"
)

// average is an exponentially weighted mean of demand. It is corrected for its
// start, so that the first minutes are not taken for a quiet time.
type average struct {
	time   time.Duration // time constant
	sum    Demand
	weight float64
}

func (a *average) add(d Demand, interval time.Duration) {
	keep := math.Exp(-interval.Seconds() / a.time.Seconds())
	a.sum.Prefill = keep*a.sum.Prefill + (1-keep)*d.Prefill
	a.sum.Decode = keep*a.sum.Decode + (1-keep)*d.Decode
	a.weight = keep*a.weight + (1 - keep)
}

func (a *average) value() Demand {
	if a.weight == 0 {
		return Demand{}
	}
	return Demand{a.sum.Prefill / a.weight, a.sum.Decode / a.weight}
}
