package control

import (
	"testing"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/declaration"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// changedRoles returns how many engines of the harness have been ordered to change their role.
func (h *harness) changedRoles() int {
	n := 0
	for _, o := range h.Reducer.state.orders {
		if o.proto.GetKind() == pb.OrderKind_ORDER_KIND_SET_ROLE {
			n++
		}
	}
	return n
}

// Guards against roles that change, and stay changed, because a leader does not know for a moment of engines
// that are there: at its start, or while some have crashed and are about to return.
func TestEnginesOutOfSightForAMomentChangeNoRole(t *testing.T) {
	h := newScaleHarness(t, 9, declaration.Roles{MaxUnavailable: 100, PrefillShare: 0.67, EnginesSelfDrain: true})
	for i, a := range h.repeatedAnnouncements {
		if i < 6 {
			a.Server.Role = pb.EngineRole_ENGINE_ROLE_PREFILL
		}
	}
	h.advance(5 * time.Second)
	if n := h.changedRoles(); n != 0 {
		t.Fatalf("%d changes of a fleet that has its share", n)
	}
	all := h.repeatedAnnouncements
	h.repeatedAnnouncements = all[2:]
	h.advance(serverLease + 3*time.Second)
	h.stepDown(2)
	h.becomeLeader(3)
	h.advance(3 * time.Second)
	if n := h.changedRoles(); n != 0 {
		t.Errorf("%d changes while two engines are away for 11 s", n)
	}
	h.repeatedAnnouncements = all
	h.advance(5 * time.Second)
	if n := h.changedRoles(); n != 0 {
		t.Errorf("%d changes after they are back", n)
	}
	h.repeatedAnnouncements = all[2:]
	h.advance(serverLease + expectedBack + 5*time.Second)
	if n := h.changedRoles(); n == 0 {
		t.Error("no change 20 s after two engines were lost")
	}
}
