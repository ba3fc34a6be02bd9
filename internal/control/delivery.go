package control

import (
	"log/slog"
	"time"

	"google.golang.org/protobuf/proto"

	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
	"goldcrestseam.dev/goldcrestseam/internal/wire"
)

const (
	// orderTimeout bounds one sending of an order: engines answer at once,
	// carried out or not, so a longer wait only keeps a copy on its way.
	orderTimeout = time.Second
	// orderRetry is when an order without a result is sent again. An engine
	// answers the same id again without running it twice.
	orderRetry = 2 * time.Second
	// orderRunningRetry takes its place once the engine has said that it carries the
	// order out: its own announcement ends the order, and each sending has a price.
	orderRunningRetry = 8 * time.Second
	// idleMargin is how much later than the view came into force a load report
	// must be true to show that nothing runs: an entry may have sent work just
	// before, and it needs to arrive.
	idleMargin = time.Second
	// defaultDrainLimit bounds the wait for streams before any declaration.
	defaultDrainLimit = 15 * time.Minute
)

// delivery is what a leader keeps of the order to one engine.
type delivery struct {
	// orderID is the order that the rest is about.
	orderID string
	// proposing is true while an update of the order is on its way through the log.
	proposing bool
	// inForceAt is when all entries had the CHANGING view, zero before.
	inForceAt time.Duration
	// inFlight is true while a copy's answer is awaited.
	inFlight bool
	nextSend time.Duration
	// unsureAt is when a copy of any order to this engine was last given up
	// without knowing whether it arrived, zero if never.
	unsureAt time.Duration
}

// proposeOrder puts an intent into the log.
func (r *Reducer) proposeOrder(o *pb.Order, done func(*pb.ChangeRoleResponse, bool)) {
	o.State = pb.OrderState_ORDER_STATE_PREPARING
	cmd := &pb.Command{Op: &pb.Command_Order{Order: &pb.OrderUpdate{Order: o}}}
	r.propose(cmd, func(answer proto.Message, ok bool) {
		resp, _ := answer.(*pb.ChangeRoleResponse)
		if ok && resp != nil {
			r.logOrder(resp.GetOrder(), "order intended")
		}
		done(resp, ok && resp != nil)
	})
}

func (r *Reducer) logOrder(o *pb.Order, message string) {
	r.log(slog.LevelInfo, message,
		Field{"order", o.GetId()}, Field{"server", o.GetServer()}, Field{"incarnation", o.GetIncarnation()},
		Field{"kind", o.GetKind().String()}, Field{"role", o.GetRole().String()},
		Field{"version", o.GetModelVersion()}, Field{"state", o.GetState().String()},
		Field{"token_term", o.GetToken().GetTerm()}, Field{"token_sequence", o.GetToken().GetSequence()},
		Field{"reason", o.GetReason()})
}

// driveOrders takes each unresolved order a step on.
func (r *Reducer) driveOrders() {
	for _, o := range r.state.sortedOrders() {
		if !o.unresolved() || r.lead == nil {
			continue
		}
		d := r.delivery(o.proto)
		if d.proposing {
			continue
		}
		if o.proto.GetState() == pb.OrderState_ORDER_STATE_PREPARING {
			r.prepare(o, d)
			continue
		}
		r.send(o, d)
	}
}

// delivery gives what is kept for the engine. A new order starts afresh, but
// for the memory of copies whose fate is unknown.
func (r *Reducer) delivery(o *pb.Order) *delivery {
	d := r.lead.deliveries[o.GetServer()]
	if d == nil {
		d = &delivery{orderID: o.GetId()}
		r.lead.deliveries[o.GetServer()] = d
	}
	if d.orderID != o.GetId() {
		if d.inFlight {
			// A copy of the order before is still awaited.
			d.unsureAt = r.now
		}
		*d = delivery{orderID: o.GetId(), unsureAt: d.unsureAt}
	}
	return d
}

// prepare waits until the engine is idle and no earlier order can arrive any
// more, then lets the order go out. It never cuts a stream: when streams do not
// end within the longest deadline that is declared, the order is withdrawn.
func (r *Reducer) prepare(o *order, d *delivery) {
	sv := r.state.servers[o.proto.GetServer()]
	switch {
	case sv == nil || sv.told.GetState() == pb.ServerState_SERVER_STATE_GONE:
		r.moveTo(o, d, pb.OrderState_ORDER_STATE_ABANDONED, "the engine is gone")
		return
	case r.wall()-o.createdMS > r.drainLimit().Milliseconds():
		r.moveTo(o, d, pb.OrderState_ORDER_STATE_REFUSED, "withdrawn: its streams did not end in time")
		return
	case !r.inForce(o.proto.GetToken().GetSequence()):
		return
	}
	if d.inForceAt == 0 {
		d.inForceAt = r.now
	}
	if !r.drained(o.proto.GetServer(), d) || r.heldBack(o, d) {
		return
	}
	r.moveTo(o, d, pb.OrderState_ORDER_STATE_SENT, "")
}

// drained tells whether the engine can be sent its order: it is idle, or lets its
// requests finish by itself.
func (r *Reducer) drained(id string, d *delivery) bool {
	if r.state.declared.parsed != nil && r.state.declared.parsed.Roles.EnginesDrain {
		return true
	}
	return r.idleSince(id, d.inForceAt+idleMargin)
}

// idleSince tells whether the engine has reported, of a time after since, that
// it runs nothing.
func (r *Reducer) idleSince(id string, since time.Duration) bool {
	w := r.lead.servers[id]
	if w == nil || w.load == nil || w.loadAt <= since {
		return false
	}
	return w.load.GetRunning() == 0 && w.load.GetQueued() == 0
}

// heldBack tells whether a copy of an earlier order may still reach an engine
// that ignores fencing tokens.
//
// Failure: a leader is stopped between its lease check and its write, or its
// write hangs in the network. Its successor finishes that order, gives the next,
// opposite one, and then the old copy arrives and is carried out. An engine that
// checks tokens refuses it. For one that does not, the next order waits for the
// longest pause that is stated (settings order_pause) after the old leader's
// authority ended, and after an own copy that was not answered. The old leader's
// lease is over when this one is ready, so its last write began before since.
func (r *Reducer) heldBack(o *order, d *delivery) bool {
	if r.state.checksFencing(o.proto.GetServer()) {
		return false
	}
	if d.unsureAt != 0 && r.now < d.unsureAt+r.cfg.OrderPause {
		return true
	}
	byOther := o.previousTerm != 0 && o.previousTerm != r.term
	return byOther && r.now < r.lead.since+r.cfg.OrderPause
}

// drainLimit is the longest that a stream may last, by the declared deadlines.
func (r *Reducer) drainLimit() time.Duration {
	limit := defaultDrainLimit
	if r.state.declared.parsed == nil {
		return limit
	}
	for _, p := range r.state.declared.parsed.Profiles {
		limit = max(limit, p.Deadline)
	}
	return limit + time.Minute
}

// moveTo proposes the order's next state.
func (r *Reducer) moveTo(o *order, d *delivery, state pb.OrderState, reason string) {
	next := proto.CloneOf(o.proto)
	next.State, next.Reason = state, reason
	d.proposing = true
	cmd := &pb.Command{Op: &pb.Command_Order{Order: &pb.OrderUpdate{Order: next}}}
	r.propose(cmd, func(answer proto.Message, ok bool) {
		d.proposing = false
		resp, is := answer.(*pb.ChangeRoleResponse)
		if !is || !ok {
			return
		}
		r.logOrder(resp.GetOrder(), "order moved")
		if r.lead != nil && o.proto.GetState() == pb.OrderState_ORDER_STATE_SENT {
			// At once: each moment until the next sweep keeps the engine away.
			r.send(o, d)
		}
	})
}

// send sends a committed order, or sends it again, while this leader's
// authority lasts.
func (r *Reducer) send(o *order, d *delivery) {
	sv := r.state.servers[o.proto.GetServer()]
	if sv == nil || d.inFlight || r.now < d.nextSend || !r.leased() {
		return
	}
	if sv.told.GetIncarnation() != o.proto.GetIncarnation() {
		return
	}
	d.inFlight = true
	r.emit(SendOrder{
		Server: o.proto.GetServer(), Address: sv.told.GetAddress(),
		Order: r.wireOrder(o.proto), Term: r.term, LeaseUntil: r.node.LeaseUntil(), Timeout: orderTimeout,
	})
	r.logOrder(o.proto, "order sent")
}

func (r *Reducer) wireOrder(o *pb.Order) engineapi.Order {
	return engineapi.Order{
		ID: o.GetId(), Incarnation: o.GetIncarnation(), Sender: r.cfg.Sender,
		Token: wire.Token(o.GetToken()),
		Kind:  wireKind(o.GetKind()), Role: wire.Role(o.GetRole()),
		Model: o.GetModel(), Version: o.GetModelVersion(), Adapter: o.GetAdapter(),
	}
}

func wireKind(k pb.OrderKind) string {
	switch k {
	case pb.OrderKind_ORDER_KIND_SET_ROLE:
		return engineapi.OrderSetRole
	case pb.OrderKind_ORDER_KIND_LOAD_MODEL:
		return engineapi.OrderLoadModel
	case pb.OrderKind_ORDER_KIND_LOAD_ADAPTER:
		return engineapi.OrderLoadAdapter
	}
	return ""
}

// current gives the server's unresolved order if it has that id, with what is
// kept of it.
func (r *Reducer) current(server, orderID string) (*order, *delivery) {
	o := r.state.orders[server]
	if r.lead == nil || o == nil || !o.unresolved() || o.proto.GetId() != orderID {
		return nil, nil
	}
	return o, r.delivery(o.proto)
}

func (r *Reducer) onOrderAnswered(e OrderAnswered) {
	o, d := r.current(e.Server, e.Answer.ID)
	if o == nil {
		r.landed(e.Server, e.Answer.ID)
		return
	}
	d.inFlight = false
	d.nextSend = r.now + orderRetry
	switch {
	case e.Answer.Result == engineapi.OrderRunning:
		d.nextSend = r.now + orderRunningRetry
	case d.proposing:
	case e.Answer.Result == engineapi.OrderDone:
		r.moveTo(o, d, pb.OrderState_ORDER_STATE_DONE, "")
	default:
		r.moveTo(o, d, pb.OrderState_ORDER_STATE_REFUSED, "engine: "+e.Answer.Result+" "+e.Answer.Reason)
	}
}

// landed notes that a copy of an order that is resolved by now was answered.
func (r *Reducer) landed(server, orderID string) {
	if r.lead == nil {
		return
	}
	if d := r.lead.deliveries[server]; d != nil && d.orderID == orderID {
		d.inFlight = false
	}
}

func (r *Reducer) onOrderUnanswered(e OrderUnanswered) {
	r.log(slog.LevelWarn, "order not answered", Field{"order", e.OrderID}, Field{"server", e.Server},
		Field{"not_sent", e.NotSent}, Field{"reason", e.Reason})
	if r.lead == nil {
		return
	}
	d := r.lead.deliveries[e.Server]
	if d == nil {
		// A copy of an earlier term in which this replica led.
		d = &delivery{}
		r.lead.deliveries[e.Server] = d
	}
	if !e.NotSent {
		d.unsureAt = r.now
	}
	if d.orderID == e.OrderID {
		d.inFlight = false
		d.nextSend = r.now + orderRetry
	}
}

// onReportedRole takes an engine's word that it has the role that it was ordered
// to take, for engines that report no order ids.
func (r *Reducer) onReportedRole(told *pb.BackendServer) {
	o := r.state.orders[told.GetId()]
	if o == nil || o.proto.GetKind() != pb.OrderKind_ORDER_KIND_SET_ROLE || o.proto.GetRole() != told.GetRole() {
		return
	}
	if told.GetState() == pb.ServerState_SERVER_STATE_SERVING {
		r.onReportedOrder(told, o.proto.GetId())
	}
}

// onReportedOrder takes the engine's own report that it carried out an order.
func (r *Reducer) onReportedOrder(told *pb.BackendServer, orderID string) {
	o, d := r.current(told.GetId(), orderID)
	if o == nil || d.proposing || o.proto.GetState() != pb.OrderState_ORDER_STATE_SENT {
		return
	}
	if o.proto.GetIncarnation() == told.GetIncarnation() {
		r.moveTo(o, d, pb.OrderState_ORDER_STATE_DONE, "")
	}
}
