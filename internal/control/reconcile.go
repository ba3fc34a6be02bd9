package control

import (
	"strconv"
	"strings"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/declaration"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// maxReissues bounds how often an order is issued again to an engine that keeps crashing
// while it carries the order out.
const maxReissues = 3

// demandWindow sums the demand since the last planning, by model.
type demandWindow struct {
	since   time.Duration
	byModel map[string]*modelDemand
}

// modelDemand is the demand for one model, in tokens.
type modelDemand struct {
	prefill, decode float64
	// byProfile is the demand of each profile, in tokens.
	byProfile map[string]float64
}

func newDemandWindow(now time.Duration) demandWindow {
	return demandWindow{since: now, byModel: make(map[string]*modelDemand)}
}

func (w *demandWindow) add(d *pb.Demand) {
	o := w.byModel[d.GetModel()]
	if o == nil {
		o = &modelDemand{byProfile: make(map[string]float64)}
		w.byModel[d.GetModel()] = o
	}
	prefill, decode := float64(d.GetPrefillTokens()), float64(d.GetDecodeTokens())
	o.prefill += prefill
	o.decode += decode
	o.byProfile[d.GetProfile()] += prefill + decode
}

// reconcileEngines issues the orders that are needed because of the declaration, an
// engine's crash during a change, or a shift of the demand between prefill and decode.
func (r *Reducer) reconcileEngines() {
	for _, sv := range r.state.sortedServers() {
		if r.canOrder(sv) {
			r.reconcileEngine(sv)
		}
	}
	r.planRoles()
}

// canOrder reports whether the state would accept an intent for the engine.
func (r *Reducer) canOrder(sv *server) bool {
	id := sv.info.GetId()
	d := r.lead.deliveries[id]
	return sv.info.GetKind() == pb.ServerKind_SERVER_KIND_MODEL &&
		sv.info.GetState() == pb.ServerState_SERVER_STATE_SERVING &&
		r.state.unresolved(id) == nil && (d == nil || !d.proposing) &&
		r.state.changingEngines(sv.info.GetModel()) < r.state.maxUnavailable()
}

// reconcileEngine issues at most one order that the engine still needs.
func (r *Reducer) reconcileEngine(sv *server) {
	if o := r.reissue(sv); o != nil {
		r.issueOrder(o)
		return
	}
	for _, o := range r.declaredOrders(sv) {
		if r.state.requests.find(o.GetId()) == nil {
			r.issueOrder(o)
			return
		}
	}
}

// reissue returns a copy of an order that the engine's crash interrupted, for the engine's
// new incarnation, or nil.
func (r *Reducer) reissue(sv *server) *pb.Order {
	o := r.state.orders[sv.info.GetId()]
	if o == nil || o.proto.GetState() != pb.OrderState_ORDER_STATE_ABANDONED || carriedOut(o.proto, sv.info) {
		return nil
	}
	base, n := splitReissue(o.proto.GetId())
	if n >= maxReissues {
		return nil
	}
	reissued := &pb.Order{
		Id: base + "~" + strconv.Itoa(n+1), Server: o.proto.GetServer(),
		Kind: o.proto.GetKind(), Role: o.proto.GetRole(), Model: o.proto.GetModel(),
		ModelVersion: o.proto.GetModelVersion(), Adapter: o.proto.GetAdapter(),
		Reason: "again after a restart of the engine: " + base,
	}
	return reissued
}

// splitReissue splits an order's id into the id of the original order and the number of
// reissues.
func splitReissue(id string) (string, int) {
	base, count, ok := strings.Cut(id, "~")
	n, err := strconv.Atoi(count)
	if !ok || err != nil {
		return id, 0
	}
	return base, n
}

func carriedOut(o *pb.Order, info *pb.BackendServer) bool {
	switch o.GetKind() {
	case pb.OrderKind_ORDER_KIND_SET_ROLE:
		return info.GetRole() == o.GetRole()
	case pb.OrderKind_ORDER_KIND_LOAD_MODEL:
		return info.GetModelVersion() == o.GetModelVersion()
	case pb.OrderKind_ORDER_KIND_LOAD_ADAPTER:
		for _, a := range info.GetAdapters() {
			if a == o.GetAdapter() {
				return true
			}
		}
	}
	return false
}

// declaredOrders returns the orders that bring the engine to its declared state: first the
// model's version, then its adapters. An id contains the engine's incarnation, the target
// and the revision that set it. So a refused order is not repeated forever, but a target
// that is declared again gets a new order.
func (r *Reducer) declaredOrders(sv *server) []*pb.Order {
	if r.state.declared.parsed == nil {
		return nil
	}
	m := r.state.declared.parsed.Model(sv.info.GetModel())
	if m == nil {
		return nil
	}
	var list []*pb.Order
	revision := strconv.FormatUint(r.state.declared.modelRevision(m.Name), 10)
	suffix := revision + "/" + sv.info.GetId() + "/" + sv.info.GetIncarnation()
	load := &pb.Order{
		Id: "model/" + m.Name + "/" + m.Version + "/" + suffix, Server: sv.info.GetId(),
		Kind: pb.OrderKind_ORDER_KIND_LOAD_MODEL, Model: m.Name, ModelVersion: m.Version,
		Reason: "declared version",
	}
	if m.Version != declaration.AnyVersion && !carriedOut(load, sv.info) {
		list = append(list, load)
	}
	for _, a := range m.Adapters {
		adapter := &pb.Order{
			Id: "adapter/" + m.Name + "/" + a + "/" + suffix, Server: sv.info.GetId(),
			Kind: pb.OrderKind_ORDER_KIND_LOAD_ADAPTER, Model: m.Name, Adapter: a,
			Reason: "declared adapter",
		}
		if !carriedOut(adapter, sv.info) {
			list = append(list, adapter)
		}
	}
	return list
}

// issueOrder proposes an order that the leader itself decided on.
func (r *Reducer) issueOrder(o *pb.Order) {
	o.Incarnation = r.state.servers[o.GetServer()].info.GetIncarnation()
	d := r.lead.deliveries[o.GetServer()]
	if d == nil {
		d = &delivery{}
		r.lead.deliveries[o.GetServer()] = d
	}
	d.proposing = true
	r.proposeOrder(o, func(*pb.ChangeRoleResponse, bool) { d.proposing = false })
}
