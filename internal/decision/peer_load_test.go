package decision

import (
	"testing"
	"time"
)

// An engine is full in its last answer and gets no more requests from this entry. The
// others' requests finish after some seconds, but no answer says so. If entries kept the last
// counts for half a minute, one engine would get all the work meanwhile.
func TestFullServerIsTriedAgain(t *testing.T) {
	var o PeerLoadEstimator
	var fleet FleetAverage
	for i := range 200 {
		o.Observe(time.Duration(i)*10*time.Millisecond, 28, 64, 2, &fleet)
	}
	full := 2 * time.Second
	if running, waiting := o.Estimate(full, FleetAverage{}); running+waiting < 80 {
		t.Fatalf("92 requests just reported, estimate %.1f", running+waiting)
	}
	if running, waiting := o.Estimate(full+10*time.Second, FleetAverage{}); running+waiting > 2 {
		t.Fatalf("estimate %.1f ten seconds after the last report, want 2 at most", running+waiting)
	}
}

// A report counts the entry's own requests too; only the rest belongs to other entries.
func TestOwnRequestsAreNotOthers(t *testing.T) {
	var o PeerLoadEstimator
	var fleet FleetAverage
	o.Observe(0, 6, 2, 4, &fleet)
	if running, waiting := o.Estimate(0, FleetAverage{}); running != 3 || waiting != 1 {
		t.Fatalf("requests of other entries: %.1f running, %.1f waiting; want 3 and 1", running, waiting)
	}
	o.Observe(0, 1, 0, 3, &fleet)
	if running, waiting := o.Estimate(0, FleetAverage{}); running != 0 || waiting != 0 {
		t.Fatalf("more own requests than reported: others %.1f running, %.1f waiting; want none", running, waiting)
	}
}

// The estimate moves from the last report to the average: an old count of a busy moment must
// not keep all entries away.
func TestOldReportFadesToTheAverage(t *testing.T) {
	var o PeerLoadEstimator
	var fleet FleetAverage
	for i := range 1000 {
		o.Observe(time.Duration(i)*10*time.Millisecond, 2, 0, 0, &fleet)
	}
	now := 10 * time.Second
	o.Observe(now, 40, 0, 0, &fleet)
	later, _ := o.Estimate(now+time.Second, FleetAverage{})
	if later > 6 {
		t.Fatalf("estimate %.1f a second after a report of 40, want 6 at most", later)
	}
}

// An engine that has never reported must not look empty beside full ones: with hundreds of
// engines there is always one, and all entries would choose it.
func TestUnreportedServerIsAssumedAverage(t *testing.T) {
	var o, unreported PeerLoadEstimator
	var fleet FleetAverage
	for i := range 500 {
		o.Observe(time.Duration(i)*time.Millisecond, 3, 5, 0, &fleet)
	}
	running, waiting := unreported.Estimate(time.Minute, fleet)
	if running < 2.5 || waiting < 4.5 {
		t.Fatalf("an engine without a report: %.1f running, %.1f waiting; the others have 3 and 5", running, waiting)
	}
}
