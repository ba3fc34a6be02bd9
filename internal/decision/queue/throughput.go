package queue

import (
	"math"
	"time"
)

// throughputDecayTime is the time constant of the measured throughput. An entry's part of the
// bulk work is one request every two seconds, so the measurement covers about sixty of them.
const throughputDecayTime = 2 * time.Minute

// throughput measures the rate at which a profile's work leaves the queue while some of it
// always waits. The servers' own rates would overestimate it: other profiles, other entries,
// full memory and interference between prefill and decode reduce them, and the measured rate
// includes all of that.
type throughput struct {
	waiting      bool
	waitingSince time.Duration
	updatedAt    time.Duration
	cost         float64
}

// markWaiting records that work is waiting.
func (t *throughput) markWaiting(now time.Duration) {
	if !t.waiting {
		*t = throughput{waiting: true, waitingSince: now, updatedAt: now}
	}
}

// record adds the cost of a request that has left the queue; empty tells that none waits any
// more.
func (t *throughput) record(now time.Duration, cost float64, empty bool) {
	if empty {
		t.waiting = false
		return
	}
	t.cost = t.decayed(now) + cost
	t.updatedAt = now
}

func (t *throughput) decayed(now time.Duration) float64 {
	return t.cost * math.Exp(-(now-t.updatedAt).Seconds()/throughputDecayTime.Seconds())
}

// recent returns the cost that left recently and the seconds in which it did, both with the
// same decay. The seconds are zero if nothing waits, or if t is nil because nothing ever
// has.
func (t *throughput) recent(now time.Duration) (cost, secs float64) {
	if t == nil || !t.waiting {
		return 0, 0
	}
	secs = throughputDecayTime.Seconds() * (1 - math.Exp(-(now-t.waitingSince).Seconds()/throughputDecayTime.Seconds()))
	return t.decayed(now), secs
}
