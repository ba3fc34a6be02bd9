package admission

import (
	"testing"
	"time"
)

// Guards against an entry that takes what its own processor can't carry, and against one that refuses work
// after it stood still once, or while it has nothing to do.
func TestLateEntryRefusesWork(t *testing.T) {
	var l Lateness
	observe := func(list ...time.Duration) {
		for _, late := range list {
			l.Observe(late)
		}
	}
	observe(4 * time.Second)
	if l.Refuses(100) {
		t.Error("refuses after one late event")
	}
	observe(0, 0, 2*maxLateness, 2*maxLateness)
	if l.Refuses(100) {
		t.Error("refuses after two late events")
	}
	observe(2 * maxLateness)
	if !l.Refuses(leastRequests) {
		t.Error("takes work while all events are late")
	}
	if l.Refuses(leastRequests - 1) {
		t.Error("takes no work at all")
	}
	observe(0)
	if l.Refuses(100) {
		t.Error("refuses though it is on time again")
	}
}
