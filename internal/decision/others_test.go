package decision

import (
	"testing"
	"time"
)

// An engine was full when its last answer came, and gets nothing from this entry
// since. The others' work is done after some seconds, but no answer tells so.
// Once it kept its last count for half a minute and one engine got all the work.
func TestFullServerIsTriedAgain(t *testing.T) {
	var o PeerLoadEstimator
	var fleet FleetAverage
	for i := range 200 {
		o.Observe(time.Duration(i)*10*time.Millisecond, 28, 64, 2, &fleet)
	}
	full := 2 * time.Second
	if running, waiting := o.Estimate(full, FleetAverage{}); running+waiting < 80 {
		t.Fatalf("just reported 92, estimated %.1f", running+waiting)
	}
	if running, waiting := o.Estimate(full+10*time.Second, FleetAverage{}); running+waiting > 2 {
		t.Fatalf("ten seconds later still %.1f", running+waiting)
	}
}

// A report counts what is the entry's own, too: only the rest is of others.
func TestOwnRequestsAreNotOthers(t *testing.T) {
	var o PeerLoadEstimator
	var fleet FleetAverage
	o.Observe(0, 6, 2, 4, &fleet)
	if running, waiting := o.Estimate(0, FleetAverage{}); running != 3 || waiting != 1 {
		t.Fatalf("others %.1f running, %.1f waiting; want 3 and 1", running, waiting)
	}
	o.Observe(0, 1, 0, 3, &fleet)
	if running, waiting := o.Estimate(0, FleetAverage{}); running != 0 || waiting != 0 {
		t.Fatalf("more own than reported: others %.1f, %.1f", running, waiting)
	}
}

// Between reports the estimate goes from the last one to what is usual: an old
// count of a busy moment must not keep all entries away.
func TestOldReportGivesWayToTheUsual(t *testing.T) {
	var o PeerLoadEstimator
	var fleet FleetAverage
	for i := range 1000 {
		o.Observe(time.Duration(i)*10*time.Millisecond, 2, 0, 0, &fleet)
	}
	now := 10 * time.Second
	o.Observe(now, 40, 0, 0, &fleet)
	late, _ := o.Estimate(now+time.Second, FleetAverage{})
	if late > 6 {
		t.Fatalf("a second after a busy moment still %.1f", late)
	}
}

// An engine that was never heard must not look empty beside full ones: with
// hundreds of engines there is always one, and all entries would choose it.
func TestUnheardServerIsAsFullAsTheOthers(t *testing.T) {
	var o, unheard PeerLoadEstimator
	var fleet FleetAverage
	for i := range 500 {
		o.Observe(time.Duration(i)*time.Millisecond, 3, 5, 0, &fleet)
	}
	running, waiting := unheard.Estimate(time.Minute, fleet)
	if running < 2.5 || waiting < 4.5 {
		t.Fatalf("an engine that was never heard: %.1f running, %.1f waiting; the others have 3 and 5", running, waiting)
	}
}
