package control

import (
	"strconv"
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

// wantNextIncarnationServing restarts the server, which must be registered as usual.
func (h *harness) wantNextIncarnationServing() {
	h.t.Helper()
	h.announce(announcementOf("a", "life-2", serving), 1)
	if got := h.server("a"); got.GetIncarnation() != "life-2" || got.GetState() != serving {
		h.t.Errorf("its next incarnation: %v", got)
	}
}

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
					h.wantNextIncarnationServing()
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

// Guards against a server that left before its first announcement arrived and is registered by
// the next leader, or later than any retention in one leader's memory.
func TestServerThatLeftUnknownStaysUnknown(t *testing.T) {
	for what, pass := range map[string]func(h *harness){
		"next leader": func(h *harness) { h.changeLeader() },
		"two leaders": func(h *harness) { h.changeLeader(); h.changeLeader() },
		"31 s later":  func(h *harness) { h.advance(31 * time.Second) },
	} {
		for path, announce := range map[string]func(h *harness){"direct": announceLate, "relayed": relayLate} {
			t.Run(what+"/"+path, func(t *testing.T) {
				h := newHarness(t)
				if r := h.replies[h.leave("life-1")]; r.Err != nil {
					t.Fatal(r.Err)
				}
				pass(h)
				announce(h)
				if got := h.state("a"); got == serving {
					t.Error("a server that has left is registered as serving")
				}
				h.wantNextIncarnationServing()
			})
		}
	}
}

// Guards against a Leave that is confirmed while only the leader knows that the server left.
func TestLeaveOfAnUnknownServerIsConfirmedOnlyOnceCommitted(t *testing.T) {
	h := newHarness(t)
	h.node.commitsBlocked = true
	id := h.leave("life-1")
	if r, ok := h.replies[id]; ok {
		t.Fatalf("confirmed before the commit: %v, %v", r.Response, r.Err)
	}
	announceLate(h)
	h.stepDown(2)
	if r, ok := h.replies[id]; !ok || r.Err == nil {
		t.Fatalf("the leader stepped down: answered %v, error %v; want an error", ok, r.Err)
	}
}

// Guards against records of servers that left growing without bound, and against a confirmation
// that rests on no record.
func TestRecordsOfUnknownServersThatLeftAreBounded(t *testing.T) {
	h := newHarness(t)
	for n := range maxDeparted {
		h.leave(strconv.Itoa(n))
	}
	if r := h.replies[h.leave("one more")]; r.Err == nil {
		t.Error("confirmed without a record")
	}
	if r := h.replies[h.leave("7")]; r.Err != nil {
		t.Errorf("a repeated Leave: %v", r.Err)
	}
	h.advance(departedRetention + expireInterval + time.Second)
	if r := h.replies[h.leave("one more")]; r.Err != nil {
		t.Errorf("after the retention: %v", r.Err)
	}
}

// Guards against a Leave that is confirmed while the first announcement, still being committed,
// makes the server serve.
func TestLeaveDuringTheFirstCommitIsObeyed(t *testing.T) {
	h := newHarness(t)
	h.node.commitsBlocked = true
	announced := h.announce(announcementOf("a", "life-1", serving), 1)
	left := h.leave("life-1")
	if r, ok := h.replies[left]; ok {
		t.Fatalf("confirmed before the commit: %v, %v", r.Response, r.Err)
	}
	h.commitBlocked()
	for what, id := range map[string]uint64{"announcement": announced, "leave": left} {
		if r, ok := h.replies[id]; !ok || r.Err != nil {
			t.Errorf("%s: answered %v, error %v", what, ok, r.Err)
		}
	}
	if got := h.state("a"); got != leaving {
		t.Errorf("after its confirmed Leave: %v", got)
	}
}

// Guards against an announcement of before a role change that the next leader takes for news.
func TestOlderRoleIsNotRestoredByTheNextLeader(t *testing.T) {
	engineOf := func(role pb.EngineRole) *pb.Announcement {
		a := announcementOf("a", "life-1", serving)
		a.Server.Kind, a.Server.Services, a.Server.Model = pb.ServerKind_SERVER_KIND_MODEL, nil, "m"
		a.Server.Role = role
		return a
	}
	const before, after = pb.EngineRole_ENGINE_ROLE_MIXED, pb.EngineRole_ENGINE_ROLE_PREFILL
	h := newHarness(t)
	h.announce(engineOf(before), 4)
	h.announce(engineOf(after), 5)
	h.announce(engineOf(after), 9)
	h.changeLeader()
	h.announce(engineOf(before), 4)
	if got := h.server("a").GetRole(); got != after {
		t.Errorf("after a late announcement: %v", got)
	}
	h.announce(engineOf(before), 10)
	if got := h.server("a").GetRole(); got != before {
		t.Errorf("after a newer announcement: %v", got)
	}
}
