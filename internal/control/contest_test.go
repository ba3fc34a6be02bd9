package control

import (
	"testing"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/incarnation"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// reportInterval is how often the platform's servers report.
const reportInterval = 1200 * time.Millisecond

// life is a server incarnation that goes on reporting.
type life struct {
	h        *harness
	id       string
	sequence uint64
}

// report sends the next report of the life and returns the call's id.
func (l *life) report() uint64 {
	l.sequence++
	return l.h.announce(announcementOf("a", l.id, serving), l.sequence)
}

// reports sends n reports, each one interval after what came before.
func (l *life) reports(n int) {
	for range n {
		l.h.advance(reportInterval)
		l.report()
	}
}

func (h *harness) wantHolder(want, when string) {
	h.t.Helper()
	got := h.server("a")
	if got.GetIncarnation() != want || got.GetState() != serving || len(got.GetServices()) != 1 || got.GetServices()[0] != "portal" {
		h.t.Errorf("%s: %v; want %s", when, got, want)
	}
}

// otherWriter returns a report for an incarnation, with a service that no manifest names.
func otherWriter(id string, state pb.ServerState) *pb.Announcement {
	a := announcementOf("a", id, state)
	a.Server.Services = []string{"elsewhere"}
	return a
}

// Guards against a late report of an incarnation that control had not known: it would take the
// address from the live server, whose reports had no effect then.
func TestLateReportOfUnknownIncarnationTakesNoAddress(t *testing.T) {
	for what, pass := range map[string]func(h *harness){
		"same leader": func(*harness) {},
		"next leader": func(h *harness) { h.changeLeader() },
	} {
		t.Run(what, func(t *testing.T) {
			h := newHarness(t)
			live := &life{h: h, id: "life-2"}
			live.report()
			pass(h)
			h.advance(350 * time.Millisecond)
			for _, late := range []*pb.Announcement{announcementOf("a", "life-1", serving), announcementOf("a", "life-1", leaving)} {
				if id := h.announce(late, 1); h.replies[id].Err != nil {
					t.Errorf("the late report is not answered: %v", h.replies[id].Err)
				}
				h.wantHolder("life-2", "after a late report")
			}
			live.reports(10)
			h.wantHolder("life-2", "12 s later")
		})
	}
}

// Guards against a late report that finds the live server silent for a moment: what it does is
// undone in seconds, by the reports that go on.
func TestWrongClaimIsTakenBackInSeconds(t *testing.T) {
	paths := map[string]func(l *life){
		"direct": func(l *life) { l.reports(2) },
		"replica": func(l *life) {
			for range 2 {
				l.h.advance(reportInterval)
				l.h.heartbeat("a", l.id)
			}
		},
		"entry": func(l *life) {
			for range 2 {
				l.h.advance(reportInterval)
				l.h.report(announcementOf("a", l.id, serving))
			}
		},
	}
	for path, report := range paths {
		t.Run(path, func(t *testing.T) {
			h := newHarness(t)
			live := &life{h: h, id: "life-2"}
			live.report()
			h.advance(3 * time.Second)
			h.announce(announcementOf("a", "life-1", serving), 1)
			h.wantHolder("life-1", "after a late report to a silent record")
			report(live)
			h.wantHolder("life-2", "after two reports of the live server")
			h.announce(announcementOf("a", "life-1", serving), 2)
			live.reports(5)
			h.wantHolder("life-2", "6 s later")
		})
	}
}

// Guards against requests under the id of a server that was replaced, the other way round: a new
// incarnation holds the address at once if the earlier one was silent for as long as a restart
// takes, with its second report otherwise, and late reports don't bring the earlier one back.
func TestReplacedServerStaysReplaced(t *testing.T) {
	for _, back := range []time.Duration{300 * time.Millisecond, holderSilence, 4 * time.Second, serverLease + time.Second} {
		for _, late := range []int{0, 1, 3} {
			h := newHarness(t)
			earlier, next := &life{h: h, id: "life-1"}, &life{h: h, id: "life-2"}
			earlier.report()
			h.advance(back)
			next.report()
			if back >= holderSilence {
				h.wantHolder("life-2", "with its first report")
			}
			for range late {
				h.advance(100 * time.Millisecond)
				next.report()
				h.advance(200 * time.Millisecond)
				earlier.report()
			}
			next.reports(2)
			h.wantHolder("life-2", "with two more reports")
			if id := h.announce(announcementOf("a", "life-1", leaving), 90); h.replies[id].Err != nil {
				t.Errorf("a late report of leaving: %v", h.replies[id].Err)
			}
			next.reports(5)
			h.wantHolder("life-2", "in the end")
		}
	}
}

// Guards against a server that serves again after its leaving was confirmed while another
// incarnation was taken for the holder of its address.
func TestLeavingBesideAWrongClaimIsFinal(t *testing.T) {
	for what, leave := range map[string]func(l *life) uint64{
		"announced": func(l *life) uint64 {
			l.sequence++
			return l.h.announce(announcementOf("a", l.id, leaving), l.sequence)
		},
		"left": func(l *life) uint64 { return l.h.leave(l.id) },
		"relayed": func(l *life) uint64 {
			l.h.report(announcementOf("a", l.id, leaving))
			return 0
		},
	} {
		t.Run(what, func(t *testing.T) {
			h := newHarness(t)
			live := &life{h: h, id: "life-2"}
			live.report()
			h.advance(3 * time.Second)
			h.announce(announcementOf("a", "life-1", serving), 1)
			if id := leave(live); id != 0 && h.replies[id].Err != nil {
				t.Fatalf("not confirmed: %v", h.replies[id].Err)
			}
			h.changeLeader()
			live.reports(5)
			if got := h.server("a"); got.GetIncarnation() == "life-2" && got.GetState() == serving {
				t.Error("serves after its leaving was confirmed")
			}
		})
	}
}

// Guards against late reports of an incarnation that is known to have started earlier: however
// many come, they take no address.
func TestIncarnationThatStartedEarlierTakesNoAddress(t *testing.T) {
	h := newHarness(t)
	earlier, next := &life{h: h, id: incarnation.ID("i-1", 1000)}, &life{h: h, id: incarnation.ID("i-1", 2000)}
	next.report()
	earlier.reports(4)
	h.wantHolder(next.id, "after four late reports")
	next.reports(1)
	h.wantHolder(next.id, "after its own next one")
}

// Guards against a leaving that is forgotten once the next incarnation has the address.
func TestReplacedServerThatLeftStaysAway(t *testing.T) {
	h := newHarness(t)
	earlier := &life{h: h, id: "life-1"}
	earlier.report()
	h.leave("life-1")
	h.announce(announcementOf("a", "life-2", serving), 1)
	h.wantHolder("life-2", "with its first report")
	earlier.reports(6)
	if got := h.server("a"); got.GetIncarnation() == "life-1" && got.GetState() == serving {
		t.Error("serves after its leaving was confirmed")
	}
}

// Guards against one report of another writer for a server's own id, which would take the server
// out of use until its own count of reports has passed the other's.
func TestReportOfAnotherWriterChangesNoServer(t *testing.T) {
	const sequence = 100_000
	for what, send := range map[string]func(h *harness){
		"a service that nobody knows": func(h *harness) { h.announce(otherWriter("life-1", serving), sequence) },
		"that it leaves":              func(h *harness) { h.announce(otherWriter("life-1", leaving), sequence) },
		"its own service":             func(h *harness) { h.announce(announcementOf("a", "life-1", serving), sequence) },
	} {
		t.Run(what, func(t *testing.T) {
			h := newHarness(t)
			live := &life{h: h, id: "life-1"}
			live.reports(3)
			send(h)
			h.wantHolder("life-1", "after the report of another writer")
			live.reports(10)
			h.wantHolder("life-1", "12 s later")
			id := h.announce(announcementOf("a", "life-1", leaving), live.sequence+1)
			if got := h.state("a"); got != leaving || h.replies[id].Err != nil {
				t.Errorf("its own leaving: %v, error %v", got, h.replies[id].Err)
			}
		})
	}
}

// The other writer is there first, so that the server's own report contradicts what is known.
func TestServerTakesItsRecordFromAnotherWriter(t *testing.T) {
	h := newHarness(t)
	h.announce(otherWriter("life-1", serving), 100_000)
	live := &life{h: h, id: "life-1"}
	live.reports(2)
	h.wantHolder("life-1", "after two reports of its own")
	live.reports(10)
	h.wantHolder("life-1", "12 s later")
}
