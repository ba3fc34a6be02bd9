package control

import (
	"strconv"
	"strings"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/declaration"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// maxReissues bounds how often an order is given again to an engine that keeps
// crashing on it.
const maxReissues = 3

// demandWindow sums what callers offered since the last look, by model.
type demandWindow struct {
	since   time.Duration
	byModel map[string]*offered
}

// offered is the work that callers offered for one model, in tokens.
type offered struct {
	prefill, decode float64
	// byProfile is the part of each profile, in tokens.
	byProfile map[string]float64
}

func newDemandWindow(now time.Duration) demandWindow {
	return demandWindow{since: now, byModel: make(map[string]*offered)}
}

func (w *demandWindow) add(d *pb.Demand) {
	o := w.byModel[d.GetModel()]
	if o == nil {
		o = &offered{byProfile: make(map[string]float64)}
		w.byModel[d.GetModel()] = o
	}
	prefill, decode := float64(d.GetPrefillTokens()), float64(d.GetDecodeTokens())
	o.prefill += prefill
	o.decode += decode
	o.byProfile[d.GetProfile()] += prefill + decode
}

// driveRoles gives the orders that the declaration, a crash in the middle of a
// change or the mix of the work call for.
func (r *Reducer) driveRoles() {
	for _, sv := range r.state.sortedServers() {
		if r.orderable(sv) {
			r.reconcile(sv)
		}
	}
	r.planRoles()
}

// orderable tells whether the state would accept an intent for the engine.
func (r *Reducer) orderable(sv *server) bool {
	id := sv.told.GetId()
	d := r.lead.deliveries[id]
	return sv.told.GetKind() == pb.ServerKind_SERVER_KIND_MODEL &&
		sv.told.GetState() == pb.ServerState_SERVER_STATE_SERVING &&
		r.state.unresolved(id) == nil && (d == nil || !d.proposing) &&
		r.state.away(sv.told.GetModel()) < r.state.maxAway()
}

// reconcile gives the engine one order that it lacks, if any.
func (r *Reducer) reconcile(sv *server) {
	if o := r.reissue(sv); o != nil {
		r.giveOrder(o)
		return
	}
	for _, o := range r.declaredOrders(sv) {
		if r.state.requests.find(o.GetId()) == nil {
			r.giveOrder(o)
			return
		}
	}
}

// reissue gives an order again that an engine's crash cut short, to its new
// incarnation.
func (r *Reducer) reissue(sv *server) *pb.Order {
	o := r.state.orders[sv.told.GetId()]
	if o == nil || o.proto.GetState() != pb.OrderState_ORDER_STATE_ABANDONED || carriedOut(o.proto, sv.told) {
		return nil
	}
	base, n := splitReissue(o.proto.GetId())
	if n >= maxReissues {
		return nil
	}
	again := &pb.Order{
		Id: base + "~" + strconv.Itoa(n+1), Server: o.proto.GetServer(),
		Kind: o.proto.GetKind(), Role: o.proto.GetRole(), Model: o.proto.GetModel(),
		ModelVersion: o.proto.GetModelVersion(), Adapter: o.proto.GetAdapter(),
		Reason: "again after a restart of the engine: " + base,
	}
	return again
}

// splitReissue splits an order's id into the first one's and the count of
// reissues.
func splitReissue(id string) (string, int) {
	base, count, ok := strings.Cut(id, "~")
	n, err := strconv.Atoi(count)
	if !ok || err != nil {
		return id, 0
	}
	return base, n
}

func carriedOut(o *pb.Order, told *pb.BackendServer) bool {
	switch o.GetKind() {
	case pb.OrderKind_ORDER_KIND_SET_ROLE:
		return told.GetRole() == o.GetRole()
	case pb.OrderKind_ORDER_KIND_LOAD_MODEL:
		return told.GetModelVersion() == o.GetModelVersion()
	case pb.OrderKind_ORDER_KIND_LOAD_ADAPTER:
		for _, a := range told.GetAdapters() {
			if a == o.GetAdapter() {
				return true
			}
		}
	}
	return false
}

// declaredOrders lists what the declaration wants of the engine beyond what it
// has: the model's version first, then its adapters. The ids name the engine's
// incarnation, the aim and the revision that asked for it, so that a refused
// order is not given over and over, but an aim that comes back is.
func (r *Reducer) declaredOrders(sv *server) []*pb.Order {
	if r.state.declared.parsed == nil {
		return nil
	}
	m := r.state.declared.parsed.Model(sv.told.GetModel())
	if m == nil {
		return nil
	}
	var list []*pb.Order
	revision := strconv.FormatUint(r.state.declared.modelRevision(m.Name), 10)
	suffix := revision + "/" + sv.told.GetId() + "/" + sv.told.GetIncarnation()
	load := &pb.Order{
		Id: "model/" + m.Name + "/" + m.Version + "/" + suffix, Server: sv.told.GetId(),
		Kind: pb.OrderKind_ORDER_KIND_LOAD_MODEL, Model: m.Name, ModelVersion: m.Version,
		Reason: "declared version",
	}
	if m.Version != declaration.AnyVersion && !carriedOut(load, sv.told) {
		list = append(list, load)
	}
	for _, a := range m.Adapters {
		adapter := &pb.Order{
			Id: "adapter/" + m.Name + "/" + a + "/" + suffix, Server: sv.told.GetId(),
			Kind: pb.OrderKind_ORDER_KIND_LOAD_ADAPTER, Model: m.Name, Adapter: a,
			Reason: "declared adapter",
		}
		if !carriedOut(adapter, sv.told) {
			list = append(list, adapter)
		}
	}
	return list
}

// giveOrder proposes an order of the leader's own.
func (r *Reducer) giveOrder(o *pb.Order) {
	o.Incarnation = r.state.servers[o.GetServer()].told.GetIncarnation()
	d := r.lead.deliveries[o.GetServer()]
	if d == nil {
		d = &delivery{}
		r.lead.deliveries[o.GetServer()] = d
	}
	d.proposing = true
	r.proposeOrder(o, func(*pb.ChangeRoleResponse, bool) { d.proposing = false })
}
