package control

import (
	"testing"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

func (w *world) changeRole(server string, role pb.EngineRole, request string) *pb.Order {
	w.t.Helper()
	return ask[*pb.ChangeRoleResponse](w, &pb.ChangeRoleRequest{
		ClusterId: cluster, Server: server, Role: role, RequestId: request,
	}).GetOrder()
}

// done lets the engine answer the last order as carried out.
func (w *world) done(a *pb.Announcement) {
	w.answer(a, w.orders[len(w.orders)-1].Order.ID)
}

// answer lets the engine answer the order with that id as carried out.
func (w *world) answer(a *pb.Announcement, id string) {
	for _, o := range w.orders {
		if o.Order.ID == id {
			a.OrderToken = &pb.FencingToken{Term: o.Order.Token.Term, Sequence: o.Order.Token.Sequence}
		}
	}
	a.OrderId = id
	answer := engineapi.OrderAnswer{ID: id, Result: engineapi.OrderDone}
	w.step(OrderAnswered{Server: a.GetServer().GetId(), Answer: answer})
}

const (
	prefill = pb.EngineRole_ENGINE_ROLE_PREFILL
	decode  = pb.EngineRole_ENGINE_ROLE_DECODE
)

// An engine runs a dossier when its role is changed. The order must wait until
// every entry has stopped sending there and the dossier has ended, or the change
// would cut it off.
func TestOrderWaitsForEntriesAndStreams(t *testing.T) {
	w := newWorld(t)
	w.addEntry("e1")
	slow := w.addEntry("e2")
	a := w.engine("checks-1")
	w.advance(2 * time.Second)
	a.Load.Running = 1
	w.advance(2 * time.Second)
	if o := w.changeRole("checks-1", prefill, "op1"); o.GetState() != pb.OrderState_ORDER_STATE_PREPARING {
		t.Fatalf("intent: %v", o)
	}
	if got := w.server("checks-1").GetState(); got != pb.ServerState_SERVER_STATE_CHANGING {
		t.Fatalf("the view shows %v", got)
	}
	w.advance(10 * time.Second)
	if len(w.orders) != 0 {
		t.Fatal("sent while a stream runs")
	}
	a.Load.Running = 0
	w.advance(5 * time.Second)
	if len(w.orders) != 1 || w.orders[0].Order.ID != "op1" {
		t.Fatalf("after the stream's end: %v", w.orders)
	}
	w.done(a)
	if got := w.server("checks-1"); got.GetRole() != prefill || got.GetState() != pb.ServerState_SERVER_STATE_SERVING {
		t.Fatalf("after the order: %v", got)
	}
	// An entry that still acts on the old view holds the next order up until
	// its view lease has run out.
	slow.silent = true
	w.changeRole("checks-1", decode, "op2")
	w.advance(500 * time.Millisecond)
	if w.inForce(w.State().orders["checks-1"].proto.GetToken().GetSequence()) {
		t.Error("in force though an entry may act on the old view")
	}
	a.Server.Role = prefill
	w.advance(10 * time.Second)
	if len(w.orders) != 2 {
		t.Errorf("%d orders went out in the end, want 2", len(w.orders))
	}
}

// Two operators order different roles of one engine, one of them twice after a
// lost answer, and others order more engines of the model. One order is under way
// for each engine, no more engines than roles.max_away, and a resent call gets
// its own order again.
func TestOneOrderAtATime(t *testing.T) {
	w := newWorld(t)
	w.apply(with(declare(1, 0, "ann", "a"), "roles", `{"max_away":2}`))
	a := w.engine("checks-1")
	w.engine("checks-2")
	w.engine("checks-3")
	first := w.changeRole("checks-1", prefill, "op1")
	for i, want := range []pb.OrderState{
		pb.OrderState_ORDER_STATE_REFUSED, pb.OrderState_ORDER_STATE_PREPARING, pb.OrderState_ORDER_STATE_REFUSED,
	} {
		server := []string{"checks-1", "checks-2", "checks-3"}[i]
		if o := w.changeRole(server, decode, "other-"+server); o.GetState() != want {
			t.Errorf("order to %s: %v, want %v", server, o, want)
		}
	}
	again := w.changeRole("checks-1", prefill, "op1")
	if again.GetId() != first.GetId() || again.GetToken().GetSequence() != first.GetToken().GetSequence() {
		t.Errorf("resent: %v, first %v", again, first)
	}
	w.advance(5 * time.Second)
	w.answer(a, "op1")
	if again := w.changeRole("checks-1", prefill, "op1"); again.GetState() != pb.OrderState_ORDER_STATE_DONE {
		t.Errorf("resent after its end: %v", again)
	}
	w.advance(5 * time.Second)
	if n := w.sentTo("checks-1"); n != 1 {
		t.Errorf("%d orders went to it", n)
	}
}

// sentTo counts the orders that went to a server.
func (w *world) sentTo(server string) int {
	n := 0
	for _, o := range w.orders {
		if o.Server == server {
			n++
		}
	}
	return n
}

// The leader is lost with an order on its way, and an operator asks the next one
// for the opposite role. The unresolved order goes first, under its old token.
// For an engine that ignores tokens the opposite one then waits until no copy of
// the old leader's can arrive any more.
func TestSuccessorFinishesTheOrderFirst(t *testing.T) {
	for _, server := range []string{"checks-1", "ignores-1"} {
		t.Run(server, func(t *testing.T) {
			w := newWorld(t)
			w.apply(declare(1, 0, "ann", "a"))
			a := w.engine(server)
			w.changeRole(server, prefill, "op1")
			w.advance(5 * time.Second)
			sent := w.orders[0]
			w.follow(2)
			w.lead(3)
			took := w.clock
			if o := w.changeRole(server, decode, "op2"); o.GetState() != pb.OrderState_ORDER_STATE_REFUSED {
				t.Fatalf("before the first is resolved: %v", o)
			}
			w.advance(time.Second)
			again := w.orders[len(w.orders)-1]
			if again.Order.ID != sent.Order.ID || again.Order.Token != sent.Order.Token {
				t.Fatalf("resent %+v, sent %+v", again.Order, sent.Order)
			}
			w.done(a)
			a.Server.Role = prefill
			count := len(w.orders)
			w.changeRole(server, decode, "op3")
			w.advance(took + w.cfg.OrderPause - w.clock - time.Second)
			early := len(w.orders) > count
			if early != (server == "checks-1") {
				t.Errorf("next order sent within the pause: %v", early)
			}
			w.advance(5 * time.Second)
			if len(w.orders) == count {
				t.Error("next order never went out")
			}
		})
	}
}

// A copy of an order gets no answer: it may lie in the network. An engine that
// ignores tokens must not get the next order before the stated pause is over.
func TestUnansweredCopyHoldsTheNextOrderBack(t *testing.T) {
	w := newWorld(t)
	w.apply(declare(1, 0, "ann", "a"))
	a := w.engine("ignores-1")
	w.changeRole("ignores-1", prefill, "op1")
	w.advance(5 * time.Second)
	w.step(OrderUnanswered{Server: "ignores-1", OrderID: "op1"})
	w.advance(orderRetry + 100*time.Millisecond)
	w.done(a)
	a.Server.Role = prefill
	count := len(w.orders)
	w.changeRole("ignores-1", decode, "op2")
	w.advance(w.cfg.OrderPause - orderRetry - 2*time.Second)
	if len(w.orders) != count {
		t.Fatal("the next order went out while a copy may be on its way")
	}
	w.advance(5 * time.Second)
	if len(w.orders) == count {
		t.Error("the next order never went out")
	}
}

// An engine crashes in the middle of a change and comes back under a new
// incarnation with its old role. The order for the old life is abandoned and
// given again to the new one.
func TestCrashInTheMiddleOfAChange(t *testing.T) {
	w := newWorld(t)
	w.apply(declare(1, 0, "ann", "a"))
	a := w.engine("checks-1")
	w.changeRole("checks-1", prefill, "op1")
	w.advance(5 * time.Second)
	a.Server.Incarnation = "i2"
	w.advance(10 * time.Second)
	last := w.orders[len(w.orders)-1].Order
	if last.ID != "op1~1" || last.Incarnation != "i2" || last.Role != engineapi.RolePrefill {
		t.Fatalf("last order %+v", last)
	}
	// An announcement of the old life that an entry relays late changes nothing.
	old := w.engine("checks-1")
	w.announced = w.announced[:1]
	if w.server("checks-1").GetIncarnation() != "i2" {
		t.Errorf("the old life %s is back", old.GetServer().GetIncarnation())
	}
}

// The declaration names a new model version: the engines load it one after the
// other, as many at once as roles.max_away allows.
func TestDeclaredVersionRolls(t *testing.T) {
	w := newWorld(t)
	fleet := []*pb.Announcement{w.engine("checks-1"), w.engine("checks-2"), w.engine("checks-3")}
	w.apply(declare(1, 0, "ann", "a"))
	w.apply(with(declare(2, 1, "ann", "a"), "model", `{"name":"m","version":"v2"}`))
	for loaded := 0; loaded < len(fleet); {
		w.advance(100 * time.Millisecond)
		if away := w.State().away("m"); away > 1 {
			t.Fatalf("%d engines away at once", away)
		}
		if w.clock > 3*time.Hour {
			t.Fatal("the fleet never got the version")
		}
		if len(w.orders) > loaded {
			a := fleet[loaded]
			w.done(a)
			a.Server.ModelVersion = "v2"
			loaded++
		}
	}
	w.advance(5 * time.Second)
	if len(w.orders) != len(fleet) {
		t.Errorf("%d orders for %d engines", len(w.orders), len(fleet))
	}
}
