package decision

import (
	"math"
	"time"
)

// PeerLoadEstimator estimates how many requests of other entries run and wait at one server
// that reports counts only, on the answers that it gives this entry.
//
// It answers many entries that share few servers: each sees a report now and
// then, between them it knows only its own sends, and all choose the server that
// looked idle last. The count of a report is believed less the older it is, and
// the usual count takes its place.
type PeerLoadEstimator struct {
	// running and waiting are those of the last report, at when it came.
	running, waiting float64
	at               time.Duration
	// usualRunning and usualWaiting are averages over reports.
	usualRunning, usualWaiting float64
	reports                    int
}

const (
	// othersTime is how fast a report gets old: requests come and go within some
	// hundred milliseconds.
	othersTime = 300 * time.Millisecond
	// usualTime is how fast what is usual gets old: a queue of seconds is worked off
	// in as many.
	usualTime = 2 * time.Second
	// othersWeight is the weight of a report in the averages: some tens of reports,
	// which an entry gets of a server in a few seconds.
	othersWeight = 0.05
)

// Observe takes in a report; own is how many of the requests in it are this
// entry's.
func (o *PeerLoadEstimator) Observe(now time.Duration, running, waiting, own int, fleet *FleetAverage) {
	// Which of the own ones wait is not told: they count in proportion.
	total := float64(running + waiting)
	part := 0.0
	if total > 0 {
		part = max(0, total-float64(own)) / total
	}
	o.running, o.waiting, o.at = part*float64(running), part*float64(waiting), now
	o.reports++
	fleet.add(o.running, o.waiting)
	weight := max(othersWeight, 1/float64(o.reports))
	o.usualRunning += weight * (o.running - o.usualRunning)
	o.usualWaiting += weight * (o.waiting - o.usualWaiting)
}

// FleetAverage is what servers of one role have on average, by the reports of all of
// them: what is taken of one that has told nothing lately.
type FleetAverage struct{ running, waiting float64 }

// add takes in a report; each of some hundred counts alike.
func (u *FleetAverage) add(running, waiting float64) {
	u.running += fleetWeight * (running - u.running)
	u.waiting += fleetWeight * (waiting - u.waiting)
}

// fleetWeight is the weight of a report in the average of all servers.
const fleetWeight = 0.02

// Estimate is how many of the others' requests run and wait there now.
//
// What is usual for the server fades to what is usual for all. A server that looked
// full gets nothing from this entry, so that no answer tells it of the server's
// recovery: without the fading it would look full for ever. And one that was never
// heard must not look empty: it is as full as the others.
func (o *PeerLoadEstimator) Estimate(now time.Duration, fleet FleetAverage) (running, waiting float64) {
	age := max(0, (now - o.at).Seconds())
	fresh := math.Exp(-age / othersTime.Seconds())
	known := (1 - fresh) * math.Exp(-age/usualTime.Seconds())
	if o.reports == 0 {
		fresh, known = 0, 0
	}
	rest := 1 - fresh - known
	return fresh*o.running + known*o.usualRunning + rest*fleet.running,
		fresh*o.waiting + known*o.usualWaiting + rest*fleet.waiting
}
