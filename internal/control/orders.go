package control

import (
	"cmp"
	"slices"

	"google.golang.org/protobuf/proto"

	"goldcrestseam.dev/goldcrestseam/internal/declaration"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// maxRequests is how many operators' calls are remembered for resends.
const maxRequests = 1024

// order is the newest order to one engine. It stays after its end, since the
// next one must know whether a copy of it may still be on its way.
type order struct {
	proto      *pb.Order
	wasSent    bool
	createdMS  int64
	resolvedMS int64
	// previousTerm is the term of the order before it to the same engine, zero
	// if that one was never sent.
	previousTerm uint64
}

func (o *order) unresolved() bool {
	st := o.proto.GetState()
	return st == pb.OrderState_ORDER_STATE_PREPARING || st == pb.OrderState_ORDER_STATE_SENT
}

// sentTerm is the newest term in which a copy of this order or of the one before
// it was sent, zero if neither was.
func (o *order) sentTerm() uint64 {
	if o.wasSent {
		return o.proto.GetToken().GetTerm()
	}
	return o.previousTerm
}

// unresolved gives the server's order whose end is not known, or nil.
func (s *State) unresolved(server string) *pb.Order {
	if o := s.orders[server]; o != nil && o.unresolved() {
		return o.proto
	}
	return nil
}

// applyOrder takes a new intent or the next state of the unresolved one.
func (s *State) applyOrder(term uint64, u *pb.Order) *pb.ChangeRoleResponse {
	if u.GetState() == pb.OrderState_ORDER_STATE_PREPARING {
		return s.newOrder(term, u)
	}
	o := s.orders[u.GetServer()]
	if o == nil || !o.unresolved() || o.proto.GetId() != u.GetId() {
		return &pb.ChangeRoleResponse{Order: u}
	}
	s.moveOrder(o, u)
	return &pb.ChangeRoleResponse{Order: proto.CloneOf(o.proto)}
}

// newOrder accepts an intent or answers it as REFUSED with the reason.
//
// Failure: two operators, or an operator and the automatic change, order
// different things of one engine, or a new leader orders while the old one's
// order is on its way. Intents stand in one log, and while one is unresolved no
// other is accepted for that engine.
func (s *State) newOrder(term uint64, u *pb.Order) *pb.ChangeRoleResponse {
	if known := s.requests.find(u.GetId()); known != nil && known.GetOrder() != nil {
		return &pb.ChangeRoleResponse{Order: proto.CloneOf(known.GetOrder())}
	}
	if why := s.orderRefusal(u); why != "" {
		refused := proto.CloneOf(u)
		refused.State, refused.Reason = pb.OrderState_ORDER_STATE_REFUSED, why
		return &pb.ChangeRoleResponse{Order: refused}
	}
	o := &order{proto: proto.CloneOf(u), createdMS: s.nowMS}
	// Term and index of the intent grow from order to order, whoever leads.
	o.proto.Token = &pb.FencingToken{Term: term, Sequence: s.index}
	if before := s.orders[u.GetServer()]; before != nil {
		o.previousTerm = before.sentTerm()
	}
	s.orders[u.GetServer()] = o
	s.requests.remember(&pb.OperatorRequest{Id: u.GetId(), Server: u.GetServer(), Order: o.proto})
	s.touchServer(u.GetServer())
	return &pb.ChangeRoleResponse{Order: proto.CloneOf(o.proto)}
}

func (s *State) orderRefusal(u *pb.Order) string {
	sv := s.servers[u.GetServer()]
	switch {
	case u.GetId() == "":
		return "the order has no id"
	case sv == nil || sv.told.GetState() == pb.ServerState_SERVER_STATE_GONE:
		return "no such backend server is alive"
	case sv.told.GetKind() != pb.ServerKind_SERVER_KIND_MODEL:
		return "it is not a model engine"
	case sv.told.GetIncarnation() != u.GetIncarnation():
		return "the engine has restarted since"
	case sv.told.GetState() != pb.ServerState_SERVER_STATE_SERVING:
		return "the engine does not serve"
	case s.unresolved(u.GetServer()) != nil:
		return "order " + s.orders[u.GetServer()].proto.GetId() + " to it is unresolved"
	case s.away(sv.told.GetModel()) >= s.maxAway():
		return "as many engines of its model are away as roles.max_away allows"
	}
	return ""
}

// away counts the engines of a model that an unresolved order takes away.
func (s *State) away(model string) int {
	n := 0
	for id, o := range s.orders {
		sv := s.servers[id]
		if sv == nil || !o.unresolved() || sv.told.GetState() == pb.ServerState_SERVER_STATE_GONE {
			continue
		}
		if sv.told.GetModel() == model {
			n++
		}
	}
	return n
}

func (s *State) maxAway() int {
	if s.declared.parsed == nil {
		return declaration.DefaultMaxAway
	}
	return orDefault(s.declared.parsed.Roles.MaxAway, declaration.DefaultMaxAway)
}

// moveOrder takes the unresolved order one state on. SENT never goes back.
func (s *State) moveOrder(o *order, u *pb.Order) {
	o.proto.State = u.GetState()
	if u.GetReason() != "" && u.GetState() != pb.OrderState_ORDER_STATE_SENT {
		o.proto.Reason = u.GetReason()
	}
	switch u.GetState() {
	case pb.OrderState_ORDER_STATE_SENT:
		o.wasSent = true
		return
	case pb.OrderState_ORDER_STATE_DONE:
		s.takeResult(o.proto)
	}
	o.resolvedMS = s.nowMS
	s.touchServer(o.proto.GetServer())
}

// takeResult puts what the order changed into the view, so that it does not
// show the old role until the next announcement.
func (s *State) takeResult(done *pb.Order) {
	sv := s.servers[done.GetServer()]
	if sv == nil || sv.told.GetIncarnation() != done.GetIncarnation() {
		return
	}
	switch done.GetKind() {
	case pb.OrderKind_ORDER_KIND_SET_ROLE:
		sv.told.Role = done.GetRole()
		s.roleChanges++
	case pb.OrderKind_ORDER_KIND_LOAD_MODEL:
		sv.told.Model, sv.told.ModelVersion = done.GetModel(), done.GetModelVersion()
	case pb.OrderKind_ORDER_KIND_LOAD_ADAPTER:
		if !slices.Contains(sv.told.Adapters, done.GetAdapter()) {
			sv.told.Adapters = append(sv.told.Adapters, done.GetAdapter())
		}
	}
}

// abandonOrder ends the unresolved order to a server whose incarnation it was
// for is gone: nothing of it can be carried out by that life any more.
func (s *State) abandonOrder(told *pb.BackendServer) {
	o := s.orders[told.GetId()]
	if o == nil || !o.unresolved() {
		return
	}
	if o.proto.GetIncarnation() == told.GetIncarnation() {
		return
	}
	o.proto.State = pb.OrderState_ORDER_STATE_ABANDONED
	o.resolvedMS = s.nowMS
}

// sortedOrders gives the newest order of each engine, by engine.
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

// requestLog remembers operators' calls by their request id.
type requestLog struct {
	byID map[string]*pb.OperatorRequest
	ids  []string
}

func newRequestLog() requestLog {
	return requestLog{byID: make(map[string]*pb.OperatorRequest)}
}

// find gives the call with that id; calls without an id are never found.
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
