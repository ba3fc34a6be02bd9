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
	// orderTimeout bounds one attempt to send an order. Engines answer at once, whether or
	// not they have carried the order out, so a longer timeout would only keep a copy in
	// flight.
	orderTimeout = time.Second
	// orderRetry is the interval after which an order without a result is sent again. An
	// engine answers a repeated id without running the order twice.
	orderRetry = 2 * time.Second
	// orderRunningRetry replaces orderRetry once the engine has answered that it is
	// carrying the order out: its next announcement completes the order, so frequent
	// retries would only cost messages.
	orderRunningRetry = 8 * time.Second
	// idleReportMargin is how long after all entries applied the CHANGING view a load
	// measurement must be taken to prove that the engine is idle: an entry may have sent a
	// request just before, and the request needs time to arrive.
	idleReportMargin = time.Second
	// defaultDrainLimit bounds the wait for streams to end while no declaration exists.
	defaultDrainLimit = 15 * time.Minute
)

// delivery is the leader's state of sending an order to one engine.
type delivery struct {
	// orderID is the order that the other fields refer to.
	orderID string
	// proposing is true while an update of the order is being replicated.
	proposing bool
	// viewAppliedAt is when all entries had applied the CHANGING view; zero before that.
	viewAppliedAt time.Duration
	// inFlight is true while a sent copy has not been answered.
	inFlight bool
	nextSend time.Duration
	// unknownOutcomeAt is when a copy of any order to this engine was last given up without
	// knowing whether it had arrived; zero if never.
	unknownOutcomeAt time.Duration
}

// proposeOrder proposes an intent, an order in state PREPARING.
func (r *Reducer) proposeOrder(o *pb.Order, done func(*pb.ChangeRoleResponse, bool)) {
	o.State = pb.OrderState_ORDER_STATE_PREPARING
	cmd := &pb.Command{Op: &pb.Command_Order{Order: &pb.OrderUpdate{Order: o}}}
	r.propose(cmd, func(answer proto.Message, ok bool) {
		resp, _ := answer.(*pb.ChangeRoleResponse)
		if ok && resp != nil {
			r.logOrder(resp.GetOrder(), "order intent committed")
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

// advanceOrders performs the next step of each unresolved order.
func (r *Reducer) advanceOrders() {
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
		r.sendOrder(o, d)
	}
}

// delivery returns the delivery state for the engine. A new order resets it, except for the
// time of the last copy with an unknown outcome.
func (r *Reducer) delivery(o *pb.Order) *delivery {
	d := r.lead.deliveries[o.GetServer()]
	if d == nil {
		d = &delivery{orderID: o.GetId()}
		r.lead.deliveries[o.GetServer()] = d
	}
	if d.orderID != o.GetId() {
		if d.inFlight {
			// A copy of the previous order has not been answered yet.
			d.unknownOutcomeAt = r.now
		}
		*d = delivery{orderID: o.GetId(), unknownOutcomeAt: d.unknownOutcomeAt}
	}
	return d
}

// prepare waits until the engine is idle and no copy of an earlier order can still arrive,
// then moves the order to SENT. It never interrupts a stream: if streams do not end within
// the longest declared deadline, the order is withdrawn.
func (r *Reducer) prepare(o *order, d *delivery) {
	sv := r.state.servers[o.proto.GetServer()]
	switch {
	case sv == nil || sv.info.GetState() == pb.ServerState_SERVER_STATE_GONE:
		r.proposeOrderState(o, d, pb.OrderState_ORDER_STATE_ABANDONED, "the engine is gone")
		return
	case r.wall()-o.createdMS > r.drainLimit().Milliseconds():
		r.proposeOrderState(o, d, pb.OrderState_ORDER_STATE_REFUSED, "withdrawn: its streams did not end in time")
		return
	case !r.appliedByAllEntries(o.proto.GetToken().GetSequence()):
		return
	}
	if d.viewAppliedAt == 0 {
		d.viewAppliedAt = r.now
	}
	if !r.readyForOrder(o.proto.GetServer(), d) || r.staleCopyPossible(o, d) {
		return
	}
	r.proposeOrderState(o, d, pb.OrderState_ORDER_STATE_SENT, "")
}

// readyForOrder reports whether the engine can be sent its order: it is idle, or the
// declaration says that engines finish their requests before they carry out an order.
func (r *Reducer) readyForOrder(id string, d *delivery) bool {
	if r.state.declared.parsed != nil && r.state.declared.parsed.Roles.EnginesSelfDrain {
		return true
	}
	return r.idleSince(id, d.viewAppliedAt+idleReportMargin)
}

// idleSince reports whether the engine reported no requests in a load measurement that was
// taken after since.
func (r *Reducer) idleSince(id string, since time.Duration) bool {
	t := r.lead.servers[id]
	if t == nil || t.load == nil || t.loadMeasuredAt <= since {
		return false
	}
	return t.load.GetRunning() == 0 && t.load.GetQueued() == 0
}

// staleCopyPossible reports whether a copy of an earlier order may still reach an engine
// that ignores fencing tokens.
//
// Failure: a leader is paused between its lease check and its write, or its write is
// delayed in the network. Its successor completes that order and sends the next one, which
// reverses it; then the old copy arrives and is carried out. An engine that checks tokens
// rejects the copy. For other engines the next order waits for the longest process pause
// that the settings allow for (order_pause), counted from the end of the old leader's
// authority and from this leader's last copy without an answer. The old leader's lease has
// ended when this leader is ready, so its last write began before startedAt.
func (r *Reducer) staleCopyPossible(o *order, d *delivery) bool {
	if r.state.checksFencing(o.proto.GetServer()) {
		return false
	}
	if d.unknownOutcomeAt != 0 && r.now < d.unknownOutcomeAt+r.cfg.OrderPause {
		return true
	}
	byOther := o.previousTerm != 0 && o.previousTerm != r.term
	return byOther && r.now < r.lead.startedAt+r.cfg.OrderPause
}

// drainLimit returns the longest time that a stream may last under the declared deadlines.
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

// proposeOrderState proposes the order's next state.
func (r *Reducer) proposeOrderState(o *order, d *delivery, state pb.OrderState, reason string) {
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
		r.logOrder(resp.GetOrder(), "order state changed")
		if r.lead != nil && o.proto.GetState() == pb.OrderState_ORDER_STATE_SENT {
			// Send without waiting for the next sweep: the engine gets no requests
			// meanwhile.
			r.sendOrder(o, d)
		}
	})
}

// sendOrder sends a committed order for the first time or again, while this leader holds
// its lease.
func (r *Reducer) sendOrder(o *order, d *delivery) {
	sv := r.state.servers[o.proto.GetServer()]
	if sv == nil || d.inFlight || r.now < d.nextSend || !r.hasQuorumLease() {
		return
	}
	if sv.info.GetIncarnation() != o.proto.GetIncarnation() {
		return
	}
	d.inFlight = true
	r.emit(SendOrder{
		Server: o.proto.GetServer(), Address: sv.info.GetAddress(),
		Order: r.apiOrder(o.proto), Term: r.term, LeaseUntil: r.node.LeaseUntil(), Timeout: orderTimeout,
	})
	r.logOrder(o.proto, "order sent")
}

func (r *Reducer) apiOrder(o *pb.Order) engineapi.Order {
	return engineapi.Order{
		ID: o.GetId(), Incarnation: o.GetIncarnation(), Sender: r.cfg.Sender,
		Token: wire.Token(o.GetToken()),
		Kind:  apiOrderKind(o.GetKind()), Role: wire.Role(o.GetRole()),
		Model: o.GetModel(), Version: o.GetModelVersion(), Adapter: o.GetAdapter(),
	}
}

func apiOrderKind(k pb.OrderKind) string {
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

// currentOrder returns the server's unresolved order and its delivery state if the order
// has that id.
func (r *Reducer) currentOrder(server, orderID string) (*order, *delivery) {
	o := r.state.orders[server]
	if r.lead == nil || o == nil || !o.unresolved() || o.proto.GetId() != orderID {
		return nil, nil
	}
	return o, r.delivery(o.proto)
}

func (r *Reducer) onOrderAnswered(e OrderAnswered) {
	o, d := r.currentOrder(e.Server, e.Answer.ID)
	if o == nil {
		r.onCopyAnswered(e.Server, e.Answer.ID)
		return
	}
	d.inFlight = false
	d.nextSend = r.now + orderRetry
	switch {
	case e.Answer.Result == engineapi.OrderRunning:
		d.nextSend = r.now + orderRunningRetry
	case d.proposing:
	case e.Answer.Result == engineapi.OrderDone:
		r.proposeOrderState(o, d, pb.OrderState_ORDER_STATE_DONE, "")
	default:
		r.proposeOrderState(o, d, pb.OrderState_ORDER_STATE_REFUSED, "engine: "+e.Answer.Result+" "+e.Answer.Reason)
	}
}

// onCopyAnswered records that a copy of an order that is already resolved was answered.
func (r *Reducer) onCopyAnswered(server, orderID string) {
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
		// The copy was sent in an earlier term in which this replica led.
		d = &delivery{}
		r.lead.deliveries[e.Server] = d
	}
	if !e.NotSent {
		d.unknownOutcomeAt = r.now
	}
	if d.orderID == e.OrderID {
		d.inFlight = false
		d.nextSend = r.now + orderRetry
	}
}

// onReportedRole resolves a role order when the engine announces the ordered role, for
// engines that do not report order ids.
func (r *Reducer) onReportedRole(info *pb.BackendServer) {
	o := r.state.orders[info.GetId()]
	if o == nil || o.proto.GetKind() != pb.OrderKind_ORDER_KIND_SET_ROLE || o.proto.GetRole() != info.GetRole() {
		return
	}
	if info.GetState() == pb.ServerState_SERVER_STATE_SERVING {
		r.onReportedOrder(info, o.proto.GetId())
	}
}

// onReportedOrder resolves an order when the engine reports that it was carried out.
func (r *Reducer) onReportedOrder(info *pb.BackendServer, orderID string) {
	o, d := r.currentOrder(info.GetId(), orderID)
	if o == nil || d.proposing || o.proto.GetState() != pb.OrderState_ORDER_STATE_SENT {
		return
	}
	if o.proto.GetIncarnation() == info.GetIncarnation() {
		r.proposeOrderState(o, d, pb.OrderState_ORDER_STATE_DONE, "")
	}
}
