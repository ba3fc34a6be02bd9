package control

import (
	"cmp"
	"slices"

	"google.golang.org/protobuf/proto"

	"goldcrestseam.dev/goldcrestseam/internal/declaration"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// maxRequests is the number of operators' calls that are remembered to answer repeats.
const maxRequests = 1024

// order is the newest order to one engine. It is kept after it is resolved, since the next
// one must know whether a copy of it may still be in flight.
type order struct {
	proto      *pb.Order
	wasSent    bool
	createdMS  int64
	resolvedMS int64
	// previousTerm is the term of the previous order to the same engine, zero if that one
	// was never sent.
	previousTerm uint64
}

func (o *order) unresolved() bool {
	st := o.proto.GetState()
	return st == pb.OrderState_ORDER_STATE_PREPARING || st == pb.OrderState_ORDER_STATE_SENT
}

// sentTerm returns the newest term in which a copy of this order or the previous one was
// sent, zero if neither was.
func (o *order) sentTerm() uint64 {
	if o.wasSent {
		return o.proto.GetToken().GetTerm()
	}
	return o.previousTerm
}

// unresolved returns the server's order without a known outcome, or nil.
func (s *State) unresolved(server string) *pb.Order {
	if o := s.orders[server]; o != nil && o.unresolved() {
		return o.proto
	}
	return nil
}

// applyOrder applies a new intent or the next state of the unresolved order.
func (s *State) applyOrder(term uint64, u *pb.Order) *pb.ChangeRoleResponse {
	if u.GetState() == pb.OrderState_ORDER_STATE_PREPARING {
		return s.newOrder(term, u)
	}
	o := s.orders[u.GetServer()]
	if o == nil || !o.unresolved() || o.proto.GetId() != u.GetId() {
		return &pb.ChangeRoleResponse{Order: u}
	}
	s.updateOrder(o, u)
	return &pb.ChangeRoleResponse{Order: proto.CloneOf(o.proto)}
}

// newOrder accepts an intent, or answers it as REFUSED with the reason.
//
// Failure: two operators, or an operator and the automatic planner, order different changes
// of one engine, or a new leader sends an order while the previous leader's order is in
// flight. All intents are in one log, and while one is unresolved no other is accepted for
// that engine.
func (s *State) newOrder(term uint64, u *pb.Order) *pb.ChangeRoleResponse {
	if known := s.requests.find(u.GetId()); known != nil && known.GetOrder() != nil {
		return &pb.ChangeRoleResponse{Order: proto.CloneOf(known.GetOrder())}
	}
	if reason := s.orderRefusal(u); reason != "" {
		refused := proto.CloneOf(u)
		refused.State, refused.Reason = pb.OrderState_ORDER_STATE_REFUSED, reason
		return &pb.ChangeRoleResponse{Order: refused}
	}
	o := &order{proto: proto.CloneOf(u), createdMS: s.nowMS}
	// The intent's term and index increase from order to order across leaders.
	o.proto.Token = &pb.FencingToken{Term: term, Sequence: s.index}
	if previous := s.orders[u.GetServer()]; previous != nil {
		o.previousTerm = previous.sentTerm()
	}
	s.orders[u.GetServer()] = o
	s.requests.remember(&pb.OperatorRequest{Id: u.GetId(), Server: u.GetServer(), Order: o.proto})
	s.bumpServerVersion(u.GetServer())
	return &pb.ChangeRoleResponse{Order: proto.CloneOf(o.proto)}
}

func (s *State) orderRefusal(u *pb.Order) string {
	sv := s.servers[u.GetServer()]
	switch {
	case u.GetId() == "":
		return "the order has no id"
	case sv == nil || sv.info.GetState() == pb.ServerState_SERVER_STATE_GONE:
		return "no such backend server is alive"
	case sv.info.GetKind() != pb.ServerKind_SERVER_KIND_MODEL:
		return "it is not a model engine"
	case sv.info.GetIncarnation() != u.GetIncarnation():
		return "the engine has restarted since"
	case sv.info.GetState() != pb.ServerState_SERVER_STATE_SERVING:
		return "the engine does not serve"
	case s.unresolved(u.GetServer()) != nil:
		return "order " + s.orders[u.GetServer()].proto.GetId() + " to it is unresolved"
	case s.changingEngines(sv.info.GetModel()) >= s.maxUnavailable():
		return "as many engines of its model are away as roles.max_away allows"
	}
	return ""
}

// changingEngines returns the number of the model's engines that have an unresolved order and
// therefore take no requests.
func (s *State) changingEngines(model string) int {
	n := 0
	for id, o := range s.orders {
		sv := s.servers[id]
		if sv == nil || !o.unresolved() || sv.info.GetState() == pb.ServerState_SERVER_STATE_GONE {
			continue
		}
		if sv.info.GetModel() == model {
			n++
		}
	}
	return n
}

func (s *State) maxUnavailable() int {
	if s.declared.parsed == nil {
		return declaration.DefaultMaxUnavailable
	}
	return orDefault(s.declared.parsed.Roles.MaxUnavailable, declaration.DefaultMaxUnavailable)
}

// updateOrder moves the unresolved order to its next state. A SENT order never returns to
// PREPARING.
func (s *State) updateOrder(o *order, u *pb.Order) {
	o.proto.State = u.GetState()
	if u.GetReason() != "" && u.GetState() != pb.OrderState_ORDER_STATE_SENT {
		o.proto.Reason = u.GetReason()
	}
	switch u.GetState() {
	case pb.OrderState_ORDER_STATE_SENT:
		o.wasSent = true
		return
	case pb.OrderState_ORDER_STATE_DONE:
		s.applyOrderResult(o.proto)
	}
	o.resolvedMS = s.nowMS
	s.bumpServerVersion(o.proto.GetServer())
}

// applyOrderResult updates the server's record with the order's result, so that the view
// does not show the old role until the next announcement.
func (s *State) applyOrderResult(done *pb.Order) {
	sv := s.servers[done.GetServer()]
	if sv == nil || sv.info.GetIncarnation() != done.GetIncarnation() {
		return
	}
	switch done.GetKind() {
	case pb.OrderKind_ORDER_KIND_SET_ROLE:
		sv.info.Role = done.GetRole()
		s.roleChanges++
	case pb.OrderKind_ORDER_KIND_LOAD_MODEL:
		sv.info.Model, sv.info.ModelVersion = done.GetModel(), done.GetModelVersion()
	case pb.OrderKind_ORDER_KIND_LOAD_ADAPTER:
		if !slices.Contains(sv.info.Adapters, done.GetAdapter()) {
			sv.info.Adapters = append(sv.info.Adapters, done.GetAdapter())
		}
	}
}

// abandonOrder ends the unresolved order to a server that has a new incarnation: the
// incarnation that the order was for can't carry it out any more.
func (s *State) abandonOrder(info *pb.BackendServer) {
	o := s.orders[info.GetId()]
	if o == nil || !o.unresolved() {
		return
	}
	if o.proto.GetIncarnation() == info.GetIncarnation() {
		return
	}
	o.proto.State = pb.OrderState_ORDER_STATE_ABANDONED
	o.resolvedMS = s.nowMS
}

// sortedOrders returns the newest order of each engine, sorted by engine.
func (s *State) sortedOrders() []*order {
	list := make([]*order, 0, len(s.orders))
	for _, o := range s.orders {
		list = append(list, o)
	}
	slices.SortFunc(list, func(a, b *order) int {
		return cmp.Compare(a.proto.GetServer(), b.proto.GetServer())
	})
	return list
}

// requestLog remembers operators' calls by request id.
type requestLog struct {
	byID map[string]*pb.OperatorRequest
	ids  []string
}

func newRequestLog() requestLog {
	return requestLog{byID: make(map[string]*pb.OperatorRequest)}
}

// find returns the call with that id; a call without an id is never found.
func (l *requestLog) find(id string) *pb.OperatorRequest {
	if id == "" {
		return nil
	}
	return l.byID[id]
}

func (l *requestLog) remember(r *pb.OperatorRequest) {
	if r.GetId() == "" {
		return
	}
	l.byID[r.GetId()] = r
	l.ids = append(l.ids, r.GetId())
	for len(l.ids) > maxRequests {
		delete(l.byID, l.ids[0])
		l.ids = slices.Delete(l.ids, 0, 1)
	}
}
