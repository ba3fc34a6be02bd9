package decision

import (
	"math"
	"time"
)

// PeerLoadEstimator estimates how many requests of other entries run and wait at one server
// that reports only counts. It learns from the answers that the server gives to this entry.
//
// It guards against many entries that share few servers: each entry gets a report now and
// then and knows only its own requests in between, so all of them choose the server that
// looked idle last. The older a report is, the less weight its count gets, and the server's
// average count takes its place.
type PeerLoadEstimator struct {
	// running and waiting are the other entries' requests in the last report, which came at
	// reportedAt.
	running, waiting float64
	reportedAt       time.Duration
	// meanRunning and meanWaiting are averages over the server's reports.
	meanRunning, meanWaiting float64
	reports                  int
}

const (
	// reportDecayTime is the time constant with which the last report loses weight: requests
	// come and go within a few hundred milliseconds.
	reportDecayTime = 300 * time.Millisecond
	// meanDecayTime is the time constant with which the server's average loses weight: a queue
	// of some seconds takes as long to drain.
	meanDecayTime = 2 * time.Second
	// serverReportWeight is the weight of one report in the server's averages: the last 20
	// reports have about two thirds of the weight. An entry gets some tens of reports from a
	// server within a few seconds.
	serverReportWeight = 0.05
)

// Observe takes in a report; own is the number of this entry's requests in it.
func (e *PeerLoadEstimator) Observe(now time.Duration, running, waiting, own int, fleet *FleetAverage) {
	// The report does not say which of the own requests wait, so they count in proportion.
	total := float64(running + waiting)
	peerShare := 0.0
	if total > 0 {
		peerShare = max(0, total-float64(own)) / total
	}
	e.running, e.waiting, e.reportedAt = peerShare*float64(running), peerShare*float64(waiting), now
	e.reports++
	fleet.observe(e.running, e.waiting)
	weight := max(serverReportWeight, 1/float64(e.reports))
	e.meanRunning += weight * (e.running - e.meanRunning)
	e.meanWaiting += weight * (e.waiting - e.meanWaiting)
}

// FleetAverage is the average load of the servers of one role over all of their reports. It
// is assumed for a server that has not reported recently.
type FleetAverage struct{ running, waiting float64 }

func (a *FleetAverage) observe(running, waiting float64) {
	a.running += fleetReportWeight * (running - a.running)
	a.waiting += fleetReportWeight * (waiting - a.waiting)
}

// fleetReportWeight is the weight of one report in the average of all servers: the last 50
// reports have about two thirds of the weight, the last 100 nearly nine tenths.
const fleetReportWeight = 0.02

// Estimate returns how many requests of other entries run and wait at the server now.
//
// The server's own average fades into the fleet's. A server that looked full gets no
// requests from this entry, so no answer reports its recovery: without the fading it would
// look full for ever. A server that has never reported counts as being as full as the others,
// because all entries would choose one that looks empty.
func (e *PeerLoadEstimator) Estimate(now time.Duration, fleet FleetAverage) (running, waiting float64) {
	age := max(0, (now - e.reportedAt).Seconds())
	reportShare := math.Exp(-age / reportDecayTime.Seconds())
	meanShare := (1 - reportShare) * math.Exp(-age/meanDecayTime.Seconds())
	if e.reports == 0 {
		reportShare, meanShare = 0, 0
	}
	fleetShare := 1 - reportShare - meanShare
	return reportShare*e.running + meanShare*e.meanRunning + fleetShare*fleet.running,
		reportShare*e.waiting + meanShare*e.meanWaiting + fleetShare*fleet.waiting
}
