package control

import (
	"testing"
	"time"
)

// Guards against late reports that come together: a report that no node confirms is sent to the next one, with a
// higher sequence, so that what a partition held back of one dead incarnation arrives within milliseconds. The live
// server has had no turn to report between them, and must keep its address.
func TestLateReportsThatComeTogetherTakeNoAddress(t *testing.T) {
	h := newHarness(t)
	live := &life{h: h, id: "life-2"}
	live.reports(5)
	h.advance(350 * time.Millisecond)
	for sequence := uint64(7); sequence <= 9; sequence++ {
		h.announce(announcementOf("a", "life-1", serving), sequence)
		h.advance(5 * time.Millisecond)
	}
	h.wantHolder("life-2", "15 ms after three late reports that a partition held back")
	for range 2 {
		h.advance(reportInterval - 350*time.Millisecond)
		live.report()
		h.wantHolder("life-2", "with its next report")
		h.advance(350 * time.Millisecond)
	}
}

// Guards against a server out of use since an incarnation that is leaving claims its address: one that leaves needs none.
func TestLateLeavingTakesNoAddress(t *testing.T) {
	h := newHarness(t)
	live := &life{h: h, id: "life-2"}
	live.reports(5)
	h.advance(holderSilence + 100*time.Millisecond)
	id := h.announce(announcementOf("a", "life-1", leaving), 7)
	if h.replies[id].Err != nil {
		t.Errorf("the late leaving is not answered: %v", h.replies[id].Err)
	}
	h.wantHolder("life-2", "after a late leaving while it was silent")
	live.report()
	h.wantHolder("life-2", "with its next report")
}

// Guards against a record of another writer that the server's own heartbeats confirm: a replica that relays the
// server's report in full once sends only the hash of its incarnation from then on, which the two share.
func TestServerAtAnotherReplicaTakesItsRecordFromAnotherWriter(t *testing.T) {
	h := newHarness(t)
	h.announce(otherWriter("life-1", serving), 100_000)
	h.advance(reportInterval)
	if id := h.announce(announcementOf("a", "life-1", serving), 1); h.replies[id].Err != nil {
		return // The replica does not take it for confirmed, and relays the next report in full.
	}
	for range 20 {
		h.advance(reportInterval)
		if len(h.heartbeat("a", "life-1")) > 0 {
			h.announce(announcementOf("a", "life-1", serving), 2)
		}
	}
	h.wantHolder("life-1", "after 24 s of its own reports, relayed by a replica")
}
