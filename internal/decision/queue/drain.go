package queue

import (
	"math"
	"time"
)

// drainTime is the time constant of the drain rate: an entry's part of the bulk
// work is a dossier in two seconds, so this is some sixty of them.
const drainTime = 2 * time.Minute

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

// drained is the cost that left lately and the seconds in which it did, both with
// the same decay; zero seconds when nothing waits or, for nil, ever has.
func (d *drain) drained(now time.Duration) (cost, secs float64) {
	if d == nil || !d.waiting {
		return 0, 0
	}
	secs = drainTime.Seconds() * (1 - math.Exp(-(now-d.since).Seconds()/drainTime.Seconds()))
	return d.decayed(now), secs
}
