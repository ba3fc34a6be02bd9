package queue

import (
	"math"
	"time"
)

// Time constant of the drain rate, and how long a profile must have waited
// before the rate counts: less is a handful of dossiers.
const (
	drainTime    = 30 * time.Second
	drainTrusted = 10 * time.Second
)

// drain measures at what rate a profile's work leaves the queue while there is
// always some waiting. Servers' rates alone say too much: other profiles, other
// entries, full memory and interference between prefill and decode all take
// their part, and this rate has them in it.
type drain struct {
	waiting bool
	since   time.Duration
	at      time.Duration
	cost    float64
}

// begin notes that work waits.
func (d *drain) begin(now time.Duration) {
	if !d.waiting {
		*d = drain{waiting: true, since: now, at: now}
	}
}

// served notes that work of that cost left; empty that nothing waits any more.
func (d *drain) served(now time.Duration, cost float64, empty bool) {
	if empty {
		d.waiting = false
		return
	}
	d.cost = d.decayed(now) + cost
	d.at = now
}

func (d *drain) decayed(now time.Duration) float64 {
	return d.cost * math.Exp(-(now-d.at).Seconds()/drainTime.Seconds())
}

// rate is tokens/s as Work.Cost weighs them; false when nothing waits or not for
// long enough.
func (d *drain) rate(now time.Duration) (float64, bool) {
	if !d.waiting || now-d.since < drainTrusted {
		return 0, false
	}
	full := drainTime.Seconds() * (1 - math.Exp(-(now-d.since).Seconds()/drainTime.Seconds()))
	return d.decayed(now) / full, true
}
