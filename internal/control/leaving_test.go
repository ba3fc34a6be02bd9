package control

import (
	"testing"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// changeLeader lets another replica lead, which has the committed state and nothing else.
func (h *harness) changeLeader() {
	h.t.Helper()
	h.stepDown(h.term + 1)
	restored, err := RestoreState(h.Reducer.state.Snapshot())
	if err != nil {
		h.t.Fatal(err)
	}
	h.Reducer.state = restored
	h.becomeLeader(h.term + 1)
}

// announceLate sends a direct announcement of before the leaving.
func announceLate(h *harness) { h.announce(announcementOf("a", "life-1", serving), 4) }

// relayLate lets an entry report what the server announced before the leaving.
func relayLate(h *harness) { h.report(announcementOf("a", "life-1", serving)) }

// Guards against a late announcement that undoes a confirmed leaving under the next leader.
func TestConfirmedLeavingIsFinal(t *testing.T) {
	leave := map[string]func(h *harness) uint64{
		"announced": func(h *harness) uint64 { return h.announce(announcementOf("a", "life-1", leaving), 5) },
		"left":      func(h *harness) uint64 { return h.leave("life-1") },
	}
	meanwhile := map[string]func(h *harness){
		"same leader, 10 s": func(h *harness) { h.clock += 10 * time.Second },
		"next leader":       func(h *harness) { h.changeLeader() },
		"next leader, 4 s":  func(h *harness) { h.changeLeader(); h.clock += 4 * time.Second },
		"two leaders":       func(h *harness) { h.changeLeader(); h.changeLeader() },
		"lease expired":     func(h *harness) { h.advance(serverLease + time.Second) },
		"expired, next one": func(h *harness) { h.advance(serverLease + time.Second); h.changeLeader() },
		"next one, expired": func(h *harness) { h.changeLeader(); h.advance(serverLease + time.Second) },
		"record of a build without left": func(h *harness) {
			h.Reducer.state.servers["a"].info.Left = false
			h.changeLeader()
		},
		"leaving came again": func(h *harness) { h.changeLeader(); h.announce(announcementOf("a", "life-1", leaving), 6) },
	}
	late := map[string]func(h *harness){"direct": announceLate, "relayed": relayLate}
	for left, leave := range leave {
		for what, pass := range meanwhile {
			for path, announce := range late {
				t.Run(left+"/"+what+"/"+path, func(t *testing.T) {
					h := newHarness(t)
					announceLate(h)
					if r := h.replies[leave(h)]; r.Err != nil || h.state("a") != leaving {
						t.Fatalf("confirmed: %v, state %v", r.Err, h.state("a"))
					}
					pass(h)
					announce(h)
					if got := h.state("a"); got == serving {
						t.Errorf("a late announcement undid the leaving")
					}
					h.announce(announcementOf("a", "life-2", serving), 1)
					if got := h.server("a"); got.GetIncarnation() != "life-2" || got.GetState() != serving {
						t.Errorf("the next incarnation: %v", got)
					}
				})
			}
		}
	}
}

// Guards against a server that is out of touch and comes back being taken for one that has left.
func TestServerThatIsGoneWithoutLeavingServesAgain(t *testing.T) {
	h := newHarness(t)
	announceLate(h)
	h.advance(serverLease + time.Second)
	if got := h.state("a"); got != pb.ServerState_SERVER_STATE_GONE {
		t.Fatalf("after its lease: %v", got)
	}
	h.changeLeader()
	relayLate(h)
	if got := h.state("a"); got != serving {
		t.Errorf("back in touch: %v", got)
	}
}
