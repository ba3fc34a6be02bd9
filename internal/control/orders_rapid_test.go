package control

import (
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
	"goldcrestseam.dev/goldcrestseam/internal/wire"
)

// orderModel is the expected state of the orders to one engine.
type orderModel struct {
	last engineapi.Order
	// ended is set once the engine has reported the last order's result, or once the
	// incarnation that it was for has been replaced.
	ended bool
	// unansweredAt is when the last copy was given up without an answer; term is the one in
	// which the last order was first sent.
	unansweredAt  time.Duration
	term          uint64
	ignoresTokens bool
}

// check verifies that an order may be sent after the orders before it.
func (m *orderModel) check(rt *rapid.T, h *harness, ledSince time.Duration, e SendOrder) {
	if e.Order.ID == m.last.ID {
		if e.Order.Token != m.last.Token {
			rt.Fatalf("%s was resent under another token", e.Order.ID)
		}
		return
	}
	switch first := m.last.ID == ""; {
	case first:
	case !m.ended:
		rt.Fatalf("%s was sent while %s is unresolved", e.Order.ID, m.last.ID)
	case !m.last.Token.Less(e.Order.Token):
		rt.Fatalf("%s has token %v after %v", e.Order.ID, e.Order.Token, m.last.Token)
	case m.ignoresTokens && m.unansweredAt != 0 && h.clock < m.unansweredAt+h.cfg.OrderPause:
		rt.Fatalf("%s was sent while a copy of %s may be in flight", e.Order.ID, m.last.ID)
	case m.ignoresTokens && m.term != h.term && h.clock < ledSince+h.cfg.OrderPause:
		rt.Fatalf("%s was sent while an earlier leader's copy of %s may be in flight", e.Order.ID, m.last.ID)
	}
	*m = orderModel{last: e.Order, ignoresTokens: m.ignoresTokens, term: h.term, unansweredAt: m.unansweredAt}
}

// Operators order roles of engines that check tokens and of engines that ignore them;
// answers are lost, engines crash, leaders change. In any sequence of events, no engine may
// get an order while another is unresolved or a copy of it may still arrive.
func TestNoConflictingOrdersUnderAnySchedule(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := newHarness(t)
		h.apply(withObjects(testDeclaration(1, 0, "ann", "a"), "roles", `{"max_away":2}`))
		models := map[string]*orderModel{}
		var fleet []*pb.Announcement
		for _, id := range []string{"checks-1", "ignores-1", "ignores-2"} {
			fleet = append(fleet, h.engine(id))
			models[id] = &orderModel{ignoresTokens: id != "checks-1"}
		}
		term, ledSince := uint64(1), h.clock
		for n := range rapid.IntRange(10, 40).Draw(rt, "steps") {
			a := rapid.SampledFrom(fleet).Draw(rt, "engine")
			m := models[a.GetServer().GetId()]
			switch rapid.IntRange(0, 5).Draw(rt, "op") {
			case 0, 1:
				role := pb.EngineRole(rapid.IntRange(1, 3).Draw(rt, "role"))
				h.changeRole(a.GetServer().GetId(), role, "op"+strconv.Itoa(n))
			case 2:
				if m.last.ID != "" && m.last.Incarnation == a.GetServer().GetIncarnation() {
					m.ended = true
					h.complete(a, m.last.ID)
					a.Server.Role = wire.RoleProto(m.last.Role)
				}
			case 3:
				if m.last.ID != "" {
					h.step(OrderUnanswered{Server: a.GetServer().GetId(), OrderID: m.last.ID})
					m.unansweredAt = h.clock
				}
			case 4:
				term++
				h.stepDown(term)
				term++
				h.becomeLeader(term)
				ledSince = h.clock
			case 5:
				a.Server.Incarnation = "life" + strconv.Itoa(n)
				a.OrderId, a.OrderToken = "", nil
				m.ended = true
				h.report(a)
			}
			for range rapid.IntRange(0, 80).Draw(rt, "later") {
				seen := len(h.orders)
				h.advance(100 * time.Millisecond)
				for _, e := range h.orders[seen:] {
					models[e.Server].check(rt, h, ledSince, e)
				}
				if changing := h.State().changingEngines("m"); changing > 2 {
					rt.Fatalf("%d engines change at once, at most 2", changing)
				}
			}
		}
	})
}
