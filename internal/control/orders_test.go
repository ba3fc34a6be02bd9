package control

import (
	"testing"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

func (h *harness) changeRole(server string, role pb.EngineRole, request string) *pb.Order {
	h.t.Helper()
	return call[*pb.ChangeRoleResponse](h, &pb.ChangeRoleRequest{
		ClusterId: cluster, Server: server, Role: role, RequestId: request,
	}).GetOrder()
}

// completeLast lets the engine answer the last order as carried out.
func (h *harness) completeLast(a *pb.Announcement) {
	h.complete(a, h.orders[len(h.orders)-1].Order.ID)
}

// complete lets the engine answer the order with that id as carried out.
func (h *harness) complete(a *pb.Announcement, id string) {
	for _, o := range h.orders {
		if o.Order.ID == id {
			a.OrderToken = &pb.FencingToken{Term: o.Order.Token.Term, Sequence: o.Order.Token.Sequence}
		}
	}
	a.OrderId = id
	answer := engineapi.OrderAnswer{ID: id, Result: engineapi.OrderDone}
	h.step(OrderAnswered{Server: a.GetServer().GetId(), Answer: answer})
}

const (
	prefill = pb.EngineRole_ENGINE_ROLE_PREFILL
	decode  = pb.EngineRole_ENGINE_ROLE_DECODE
)

// An engine runs a long request when its role is changed. The order must wait until every
// entry has stopped sending requests there and the running request has ended, or the change
// would cut it off.
func TestOrderWaitsForEntriesAndStreams(t *testing.T) {
	h := newHarness(t)
	h.addEntry("e1")
	lagging := h.addEntry("e2")
	a := h.engine("checks-1")
	h.advance(2 * time.Second)
	a.Load.Running = 1
	h.advance(2 * time.Second)
	if o := h.changeRole("checks-1", prefill, "op1"); o.GetState() != pb.OrderState_ORDER_STATE_PREPARING {
		t.Fatalf("intent: %v", o)
	}
	if got := h.server("checks-1").GetState(); got != pb.ServerState_SERVER_STATE_CHANGING {
		t.Fatalf("the view shows %v", got)
	}
	h.advance(10 * time.Second)
	if len(h.orders) != 0 {
		t.Fatal("sent while a stream runs")
	}
	a.Load.Running = 0
	h.advance(5 * time.Second)
	if len(h.orders) != 1 || h.orders[0].Order.ID != "op1" {
		t.Fatalf("after the stream's end: %v", h.orders)
	}
	h.completeLast(a)
	if got := h.server("checks-1"); got.GetRole() != prefill || got.GetState() != pb.ServerState_SERVER_STATE_SERVING {
		t.Fatalf("after the order: %v", got)
	}
	// An entry that still uses the old view delays the next order until its view lease has
	// expired.
	lagging.silent = true
	h.changeRole("checks-1", decode, "op2")
	h.advance(500 * time.Millisecond)
	if h.appliedByAllEntries(h.State().orders["checks-1"].proto.GetToken().GetSequence()) {
		t.Error("applied by all entries though one may use the old view")
	}
	a.Server.Role = prefill
	h.advance(10 * time.Second)
	if len(h.orders) != 2 {
		t.Errorf("%d orders were sent in total, want 2", len(h.orders))
	}
}

// Two operators order different roles of one engine, one of them twice after a lost answer,
// and others order more engines of the model. Each engine may have one unresolved order, no
// more engines than roles.max_away may change, and a repeated call must get its own order
// again.
func TestOneOrderAtATime(t *testing.T) {
	h := newHarness(t)
	h.apply(withObjects(testDeclaration(1, 0, "ann", "a"), "roles", `{"max_away":2}`))
	a := h.engine("checks-1")
	h.engine("checks-2")
	h.engine("checks-3")
	first := h.changeRole("checks-1", prefill, "op1")
	for i, want := range []pb.OrderState{
		pb.OrderState_ORDER_STATE_REFUSED, pb.OrderState_ORDER_STATE_PREPARING, pb.OrderState_ORDER_STATE_REFUSED,
	} {
		server := []string{"checks-1", "checks-2", "checks-3"}[i]
		if o := h.changeRole(server, decode, "other-"+server); o.GetState() != want {
			t.Errorf("order to %s: %v, want %v", server, o, want)
		}
	}
	repeated := h.changeRole("checks-1", prefill, "op1")
	if repeated.GetId() != first.GetId() || repeated.GetToken().GetSequence() != first.GetToken().GetSequence() {
		t.Errorf("resent: %v, first %v", repeated, first)
	}
	h.advance(5 * time.Second)
	h.complete(a, "op1")
	if repeated := h.changeRole("checks-1", prefill, "op1"); repeated.GetState() != pb.OrderState_ORDER_STATE_DONE {
		t.Errorf("resent after its end: %v", repeated)
	}
	h.advance(5 * time.Second)
	if n := h.sentTo("checks-1"); n != 1 {
		t.Errorf("%d orders were sent to checks-1, want 1", n)
	}
}

// sentTo counts the orders that were sent to a server.
func (h *harness) sentTo(server string) int {
	n := 0
	for _, o := range h.orders {
		if o.Server == server {
			n++
		}
	}
	return n
}

// The leader fails with an order in flight, and an operator asks the next leader for the
// opposite role. The unresolved order must be sent first, under its old token. For an
// engine that ignores tokens, the opposite order must then wait until no copy from the old
// leader can arrive any more.
func TestSuccessorFinishesTheOrderFirst(t *testing.T) {
	for _, server := range []string{"checks-1", "ignores-1"} {
		t.Run(server, func(t *testing.T) {
			h := newHarness(t)
			h.apply(testDeclaration(1, 0, "ann", "a"))
			a := h.engine(server)
			h.changeRole(server, prefill, "op1")
			h.advance(5 * time.Second)
			sent := h.orders[0]
			h.stepDown(2)
			h.becomeLeader(3)
			ledSince := h.clock
			if o := h.changeRole(server, decode, "op2"); o.GetState() != pb.OrderState_ORDER_STATE_REFUSED {
				t.Fatalf("before the first is resolved: %v", o)
			}
			h.advance(time.Second)
			resent := h.orders[len(h.orders)-1]
			if resent.Order.ID != sent.Order.ID || resent.Order.Token != sent.Order.Token {
				t.Fatalf("resent %+v, sent %+v", resent.Order, sent.Order)
			}
			h.completeLast(a)
			a.Server.Role = prefill
			count := len(h.orders)
			h.changeRole(server, decode, "op3")
			h.advance(ledSince + h.cfg.OrderPause - h.clock - time.Second)
			early := len(h.orders) > count
			if early != (server == "checks-1") {
				t.Errorf("next order sent within the pause: %v", early)
			}
			h.advance(5 * time.Second)
			if len(h.orders) == count {
				t.Error("next order was never sent")
			}
		})
	}
}

// A copy of an order gets no answer, so it may still be in the network. An engine that
// ignores tokens must not get the next order before the configured pause has passed.
func TestUnansweredOrderDelaysTheNext(t *testing.T) {
	h := newHarness(t)
	h.apply(testDeclaration(1, 0, "ann", "a"))
	a := h.engine("ignores-1")
	h.changeRole("ignores-1", prefill, "op1")
	h.advance(5 * time.Second)
	h.step(OrderUnanswered{Server: "ignores-1", OrderID: "op1"})
	h.advance(orderRetry + 100*time.Millisecond)
	h.completeLast(a)
	a.Server.Role = prefill
	count := len(h.orders)
	h.changeRole("ignores-1", decode, "op2")
	h.advance(h.cfg.OrderPause - orderRetry - 2*time.Second)
	if len(h.orders) != count {
		t.Fatal("the next order was sent while a copy may be in flight")
	}
	h.advance(5 * time.Second)
	if len(h.orders) == count {
		t.Error("the next order was never sent")
	}
}

// An engine crashes during a change and returns under a new incarnation with its old role.
// The order for the old incarnation must be abandoned and issued again to the new one.
func TestCrashInTheMiddleOfAChange(t *testing.T) {
	h := newHarness(t)
	h.apply(testDeclaration(1, 0, "ann", "a"))
	a := h.engine("checks-1")
	h.changeRole("checks-1", prefill, "op1")
	h.advance(5 * time.Second)
	a.Server.Incarnation = "i2"
	h.advance(10 * time.Second)
	last := h.orders[len(h.orders)-1].Order
	if last.ID != "op1~1" || last.Incarnation != "i2" || last.Role != engineapi.RolePrefill {
		t.Fatalf("last order %+v", last)
	}
	// A late announcement of the old incarnation must change nothing.
	old := h.engine("checks-1")
	h.repeatedAnnouncements = h.repeatedAnnouncements[:1]
	if h.server("checks-1").GetIncarnation() != "i2" {
		t.Errorf("the old incarnation %s is in force again", old.GetServer().GetIncarnation())
	}
}

// The declaration sets a new model version: the engines must load it one after the other,
// as many at once as roles.max_away allows.
func TestDeclaredVersionIsRolledOut(t *testing.T) {
	h := newHarness(t)
	fleet := []*pb.Announcement{h.engine("checks-1"), h.engine("checks-2"), h.engine("checks-3")}
	h.apply(testDeclaration(1, 0, "ann", "a"))
	h.apply(withObjects(testDeclaration(2, 1, "ann", "a"), "model", `{"name":"m","version":"v2"}`))
	for loaded := 0; loaded < len(fleet); {
		h.advance(100 * time.Millisecond)
		if changing := h.State().changingEngines("m"); changing > 1 {
			t.Fatalf("%d engines change at once, at most 1", changing)
		}
		if h.clock > 3*time.Hour {
			t.Fatal("the version was not rolled out within 3 h")
		}
		if len(h.orders) > loaded {
			a := fleet[loaded]
			h.completeLast(a)
			a.Server.ModelVersion = "v2"
			loaded++
		}
	}
	h.advance(5 * time.Second)
	if len(h.orders) != len(fleet) {
		t.Errorf("%d orders for %d engines", len(h.orders), len(fleet))
	}
}
