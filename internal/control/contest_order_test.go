package control

import (
	"testing"
	"time"
)

// Guards against late reports of an earlier incarnation that keep the address from the next one, which
// serves and reports, for as long as they go on arriving.
func TestLateReportsKeepNoAddressFromTheNextIncarnation(t *testing.T) {
	h := newHarness(t)
	earlier, next := &life{h: h, id: "life-1"}, &life{h: h, id: "life-2"}
	earlier.reports(10)
	h.advance(700 * time.Millisecond)
	for range 3 {
		next.report()
		h.advance(reportInterval / 2)
		earlier.report()
		h.advance(reportInterval / 2)
	}
	h.wantHolder("life-2", "with its third report, 2.4 s after the first, beside late reports")
}

// Guards against late reports of an incarnation that control had not known, which come one after the other
// once the live server was silent for a moment: they hold its address for as long as they go on arriving.
func TestLateReportsThatGoOnHoldNoAddress(t *testing.T) {
	h := newHarness(t)
	earlier, live := &life{h: h, id: "life-1"}, &life{h: h, id: "life-2"}
	live.reports(10)
	h.advance(3 * time.Second)
	for range 4 {
		earlier.report()
		h.advance(reportInterval / 2)
		live.report()
		h.advance(reportInterval / 2)
	}
	h.wantHolder("life-2", "after four reports of its own")
}
