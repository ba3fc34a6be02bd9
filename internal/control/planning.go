package control

import (
	"log/slog"
	"maps"
	"slices"
	"strconv"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
	"goldcrestseam.dev/goldcrestseam/internal/decision/roles"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
	"goldcrestseam.dev/goldcrestseam/internal/wire"
)

// planInterval is how often roles are planned; the planner's moving averages assume this
// interval.
const planInterval = time.Second

// expectedBack is how long an engine whose lease has ended counts as one that comes back. An engine
// that has crashed is back within seconds.
const expectedBack = 10 * time.Second

// modelPlan is the role planning of one model. Each new leader starts an empty one: it
// changes no role until the averages have filled again.
type modelPlan struct {
	planner *roles.Planner
	keeper  *roles.ShareKeeper
	// prefillRate and decodeRate are the highest rates that an engine of that role has
	// reported, in tokens/s: an engine with both kinds of work reports less than it is
	// capable of.
	prefillRate, decodeRate float64
}

// planRoles runs the planner of each model on the demand and orders the role changes that
// it chooses.
func (r *Reducer) planRoles() {
	interval := r.now - r.lead.demand.since
	d := r.state.declared.parsed
	if interval < planInterval || d == nil {
		return
	}
	demandByModel := r.lead.demand.byModel
	r.lead.demand = newDemandWindow(r.now)
	if r.now-r.lead.lastContactAt > isolatedAfter {
		return
	}
	for _, m := range d.Models {
		switch {
		case d.Roles.Automatic:
			r.planModel(m.Name, interval, demandByModel[m.Name])
		case d.Roles.PrefillShare > 0:
			r.maintainPrefillShare(m.Name, d.Roles.PrefillShare)
		}
	}
}

// maintainPrefillShare orders the changes that keep the declared share of a model's engines
// in the prefill role.
func (r *Reducer) maintainPrefillShare(model string, share float64) {
	plan := r.planOf(model)
	o := roles.Observation{Engines: r.engines(model, plan), Bounds: r.roleBounds(), Loaded: r.loaded()}
	for _, c := range plan.keeper.Keep(r.now, &o, share) {
		r.orderChange(&o, c)
	}
}

func (r *Reducer) planOf(model string) *modelPlan {
	plan := r.lead.plans[model]
	if plan == nil {
		plan = &modelPlan{planner: roles.NewPlanner(), keeper: roles.NewShareKeeper()}
		r.lead.plans[model] = plan
	}
	return plan
}

func (r *Reducer) planModel(model string, interval time.Duration, demand *modelDemand) {
	plan := r.planOf(model)
	if demand == nil {
		demand = &modelDemand{}
	}
	o := roles.Observation{
		Interval: interval, PrefillTokens: demand.prefill, DecodeTokens: demand.decode,
		Engines: r.engines(model, plan), Bounds: r.roleBounds(), Price: r.rolePrice(demand),
	}
	o.Rates = roles.Rates{Prefill: plan.prefillRate, Decode: plan.decodeRate}
	for _, c := range plan.planner.Plan(r.now, o) {
		r.orderChange(&o, c)
	}
}

// engines returns the model's engines as input for the planner.
func (r *Reducer) engines(model string, plan *modelPlan) []roles.Engine {
	var list []roles.Engine
	for _, sv := range r.state.sortedServers() {
		if sv.info.GetKind() != pb.ServerKind_SERVER_KIND_MODEL || sv.info.GetModel() != model {
			continue
		}
		id := sv.info.GetId()
		load, age := &pb.Load{}, time.Duration(0)
		if t := r.lead.servers[id]; t != nil {
			age = r.now - t.firstSeenAt
			if t.load != nil {
				load = t.load
			}
		}
		plan.observeRates(sv.info.GetRole(), load)
		e := roles.Engine{
			ID: id, Role: wire.Role(sv.info.GetRole()), TargetRole: wire.Role(sv.info.GetRole()),
			Age: age, SoftwareVersion: sv.info.GetSoftwareVersion(),
			PendingTokens: float64(load.GetQueuedPrefillTokens()) + decision.OutputTokenCost*float64(load.GetRunningDecodeTokens()),
		}
		if o := r.state.unresolved(id); o != nil && sv.goneMS == 0 {
			e.Changing = true
			if o.GetKind() == pb.OrderKind_ORDER_KIND_SET_ROLE {
				e.TargetRole = wire.Role(o.GetRole())
			}
		}
		e.Expected = !e.Changing && sv.goneMS != 0 && !sv.info.GetLeft() && r.wall()-sv.goneMS < expectedBack.Milliseconds()
		e.Usable = !e.Changing && !r.state.drained[id] && sv.info.GetState() == pb.ServerState_SERVER_STATE_SERVING
		list = append(list, e)
	}
	return list
}

func (p *modelPlan) observeRates(role pb.EngineRole, load *pb.Load) {
	if role != pb.EngineRole_ENGINE_ROLE_DECODE {
		p.prefillRate = max(p.prefillRate, load.GetPrefillRate())
	}
	if role != pb.EngineRole_ENGINE_ROLE_PREFILL {
		p.decodeRate = max(p.decodeRate, load.GetDecodeRate())
	}
}

// noDemandPeriod is how long no entry must have reported demand for engines to count as
// idle: a new leader has received reports from all entries by then.
const noDemandPeriod = 3 * time.Second

// maxChangeNotifications bounds the number of engines that change at once multiplied by the
// number of entries: each change is sent to all entries several times.
const maxChangeNotifications = 1700

// loaded reports whether an entry has reported demand of late.
func (r *Reducer) loaded() bool { return r.now < r.lead.lastDemandAt+noDemandPeriod }

// roleBounds returns the limits for automatic changes: few engines at once while there is
// demand, and otherwise as many as can be announced to all entries without delaying the
// leader's other messages.
func (r *Reducer) roleBounds() roles.Bounds {
	d := r.state.declared.parsed.Roles
	limit := r.state.maxUnavailable()
	if loaded := d.MaxUnavailableUnderLoad; loaded > 0 {
		idle := max(loaded, maxChangeNotifications/max(1, len(r.state.entries)))
		if r.loaded() {
			idle = loaded
		}
		limit = min(limit, idle)
	}
	return roles.Bounds{MaxUnavailable: limit, MinMixedShare: d.MinMixedShare, ChangeTime: d.ChangeTime}
}

// rolePrice returns the price of a change: the average of the profiles' prices, weighted by
// their share of the demand.
func (r *Reducer) rolePrice(demand *modelDemand) roles.ChangePrice {
	d := r.state.declared.parsed
	price := roles.ChangePrice{GoodputWeight: d.Roles.GoodputWeight, ChangeWeight: d.Roles.ChangeWeight}
	total, sum := 0.0, 0.0
	for _, name := range slices.Sorted(maps.Keys(demand.byProfile)) {
		if p := d.Profile(name); p != nil {
			total += demand.byProfile[name]
			sum += demand.byProfile[name] * p.RoleChangePrice.Seconds()
		}
	}
	if total > 0 {
		price.PerChange = time.Duration(sum / total * float64(time.Second))
	}
	return price
}

// orderChange orders a planned change and logs the figures that it is based on.
func (r *Reducer) orderChange(o *roles.Observation, c roles.Change) {
	sv := r.state.servers[c.Engine]
	if sv == nil || !r.canOrder(sv) {
		return
	}
	fields := []Field{
		{"server", c.Engine}, {"from", string(c.From)}, {"to", string(c.To)}, {"reason", c.Reason},
		{"offered_prefill_tokens", o.PrefillTokens}, {"offered_decode_tokens", o.DecodeTokens},
	}
	for _, f := range c.Figures {
		fields = append(fields, Field{f.Name, f.Value})
	}
	r.log(slog.LevelInfo, "role change decided", fields...)
	// Term and log index make the id unique: each intent advances the index.
	id := "auto/" + c.Engine + "/" + strconv.FormatUint(r.term, 10) + "/" + strconv.FormatUint(r.state.Index(), 10)
	r.issueOrder(&pb.Order{
		Id: id, Server: c.Engine, Kind: pb.OrderKind_ORDER_KIND_SET_ROLE,
		Role: wire.RoleProto(c.To), Reason: "automatic: " + c.Reason,
	})
}
