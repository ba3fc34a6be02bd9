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
	h.runsAt = map[string]string{"a": next.id}
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
	h.runsAt = map[string]string{"a": live.id}
	h.advance(3 * time.Second)
	for range 4 {
		earlier.report()
		h.advance(reportInterval / 2)
		live.report()
		h.advance(reportInterval / 2)
	}
	h.wantHolder("life-2", "after four reports of its own")
}

// Guards against one late report after a moment of silence that takes servers out of use until they have
// reported twice: all servers behind a cut at once. A start that is not known to be the later one is checked.
func TestLateReportAfterSilenceIsUndoneByTheAddress(t *testing.T) {
	for what, silence := range map[string]time.Duration{"silent": 3 * time.Second, "lease expired": serverLease + time.Second} {
		t.Run(what, func(t *testing.T) {
			h := newHarness(t)
			live := &life{h: h, id: "life-2"}
			live.reports(10)
			h.advance(silence)
			h.runsAt = map[string]string{"a": live.id}
			h.announce(announcementOf("a", "life-1", serving), 5)
			live.report()
			h.wantHolder("life-2", "after its next report")
			for range 5 {
				live.reports(1)
				h.announce(announcementOf("a", "life-1", serving), 6)
				h.wantHolder("life-2", "after another late report")
			}
		})
	}
}

// Guards against an answer that comes late, of a time before the newest incarnation started: it says nothing
// about one that had not reported yet.
func TestLateAnswerOfAnAddressEndsNoLaterIncarnation(t *testing.T) {
	h := newHarness(t)
	first, second, third := &life{h: h, id: "life-1"}, &life{h: h, id: "life-2"}, &life{h: h, id: "life-3"}
	first.reports(3)
	second.report()
	third.report()
	h.step(AddressChecked{Server: "a", Candidates: []string{first.id, second.id}, Incarnation: second.id})
	third.reports(3)
	h.wantHolder("life-3", "after reports of its own")
}

// Guards against an answer of something else at the address, or none, that decides between two servers.
func TestAnswerOfAnotherServerDecidesNothing(t *testing.T) {
	for what, answer := range map[string]string{"none": "", "a third one": "life-9"} {
		t.Run(what, func(t *testing.T) {
			h := newHarness(t)
			h.runsAt = map[string]string{"a": answer}
			live := &life{h: h, id: "life-2"}
			live.report()
			h.announce(announcementOf("a", "life-1", serving), 1)
			live.reports(3)
			h.wantHolder("life-2", "after reports of its own")
			if h.checks == 0 {
				t.Error("the address was not asked")
			}
		})
	}
}

// Guards against questions to servers that nobody contests, and against one with each report of a contest.
func TestAddressIsCheckedOnlyInAContest(t *testing.T) {
	h := newHarness(t)
	live := &life{h: h, id: "life-2"}
	live.reports(20)
	if h.checks != 0 {
		t.Errorf("%d checks of a server that nobody contests", h.checks)
	}
	for n := range 20 {
		h.announce(announcementOf("a", "life-1", serving), uint64(n+1))
		h.advance(50 * time.Millisecond)
	}
	if most := int(time.Second/minCheckInterval) + 1; h.checks > most {
		t.Errorf("%d checks within a second, want at most %d", h.checks, most)
	}
}
