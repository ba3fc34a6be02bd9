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

// planInterval is how often roles are planned; the planner's averages are laid
// out for it.
const planInterval = time.Second

// modelPlan is the role planning of one model. It begins anew with each leader:
// a change waits until the averages have filled again.
type modelPlan struct {
	planner *roles.Planner
	// prefillRate and decodeRate are the highest that an engine of that role
	// has reported, in tokens/s: an engine with both kinds of work reports less
	// than it can.
	prefillRate, decodeRate float64
}

// planRoles lets the planner of each model look at the offered work and orders
// what it chooses.
func (r *Reducer) planRoles() {
	interval := r.now - r.lead.demand.since
	d := r.state.declared.parsed
	if interval < planInterval || d == nil {
		return
	}
	offeredNow := r.lead.demand.byModel
	r.lead.demand = newDemandWindow(r.now)
	if r.now-r.lead.heardAt > deafAfter {
		return
	}
	for _, m := range d.Models {
		switch {
		case d.Roles.Automatic:
			r.planModel(m.Name, interval, offeredNow[m.Name])
		case d.Roles.PrefillShare > 0:
			r.keepShare(m.Name, d.Roles.PrefillShare)
		}
	}
}

// keepShare orders the changes that keep the declared share of a model's engines
// at prefill.
func (r *Reducer) keepShare(model string, share float64) {
	o := roles.Observation{Engines: r.engines(model, &modelPlan{}), Bounds: r.roleBounds()}
	for _, c := range roles.KeepPrefillShare(&o, share) {
		r.orderChange(&o, c)
	}
}

func (r *Reducer) planModel(model string, interval time.Duration, work *offered) {
	plan := r.lead.plans[model]
	if plan == nil {
		plan = &modelPlan{planner: roles.NewPlanner()}
		r.lead.plans[model] = plan
	}
	if work == nil {
		work = &offered{}
	}
	o := roles.Observation{
		Interval: interval, PrefillTokens: work.prefill, DecodeTokens: work.decode,
		Engines: r.engines(model, plan), Bounds: r.roleBounds(), Price: r.rolePrice(work),
	}
	o.Rates = roles.Rates{Prefill: plan.prefillRate, Decode: plan.decodeRate}
	for _, c := range plan.planner.Plan(r.now, o) {
		r.orderChange(&o, c)
	}
}

// engines lists the model's engines as the planner sees them.
func (r *Reducer) engines(model string, plan *modelPlan) []roles.Engine {
	var list []roles.Engine
	for _, sv := range r.state.sortedServers() {
		if sv.told.GetKind() != pb.ServerKind_SERVER_KIND_MODEL || sv.told.GetModel() != model {
			continue
		}
		id := sv.told.GetId()
		load, age := &pb.Load{}, time.Duration(0)
		if w := r.lead.servers[id]; w != nil {
			age = r.now - w.since
			if w.load != nil {
				load = w.load
			}
		}
		plan.note(sv.told.GetRole(), load)
		e := roles.Engine{
			ID: id, Role: wire.Role(sv.told.GetRole()), TargetRole: wire.Role(sv.told.GetRole()),
			Age:           age,
			PendingTokens: float64(load.GetQueuedPrefillTokens()) + decision.OutputTokenCost*float64(load.GetRunningDecodeTokens()),
		}
		if o := r.state.unresolved(id); o != nil && sv.goneMS == 0 {
			e.Changing = true
			if o.GetKind() == pb.OrderKind_ORDER_KIND_SET_ROLE {
				e.TargetRole = wire.Role(o.GetRole())
			}
		}
		e.Usable = !e.Changing && !r.state.drained[id] && sv.told.GetState() == pb.ServerState_SERVER_STATE_SERVING
		list = append(list, e)
	}
	return list
}

func (p *modelPlan) note(role pb.EngineRole, load *pb.Load) {
	if role != pb.EngineRole_ENGINE_ROLE_DECODE {
		p.prefillRate = max(p.prefillRate, load.GetPrefillRate())
	}
	if role != pb.EngineRole_ENGINE_ROLE_PREFILL {
		p.decodeRate = max(p.decodeRate, load.GetDecodeRate())
	}
}

// idleAfter is how long no work must have been offered for engines to count as idle: a new
// leader has heard all entries by then.
const idleAfter = 3 * time.Second

// maxToldChanges bounds the engines that are away at once times the entries: each change is
// told to all entries, several times.
const maxToldChanges = 1700

// roleBounds bound the system's own changes: few while work is offered, and before that as
// many as all entries can be told of without harm to what else control tells them.
func (r *Reducer) roleBounds() roles.Bounds {
	d := r.state.declared.parsed.Roles
	away := r.state.maxAway()
	if loaded := d.MaxAwayLoaded; loaded > 0 {
		idle := max(loaded, maxToldChanges/max(1, len(r.state.entries)))
		if r.now < r.lead.offeredAt+idleAfter {
			idle = loaded
		}
		away = min(away, idle)
	}
	return roles.Bounds{MaxUnavailable: away, MinMixedShare: d.MinMixedShare, ChangeTime: d.ChangeTime}
}

// rolePrice weighs the profiles' prices of a change by their part of the work.
func (r *Reducer) rolePrice(work *offered) roles.ChangePrice {
	d := r.state.declared.parsed
	price := roles.ChangePrice{GoodputWeight: d.Roles.GoodputWeight, ChangeWeight: d.Roles.ChangeWeight}
	total, sum := 0.0, 0.0
	for _, name := range slices.Sorted(maps.Keys(work.byProfile)) {
		if p := d.Profile(name); p != nil {
			total += work.byProfile[name]
			sum += work.byProfile[name] * p.RoleChangePrice.Seconds()
		}
	}
	if total > 0 {
		price.PerChange = time.Duration(sum / total * float64(time.Second))
	}
	return price
}

// orderChange orders a planned change, with the figures that it was taken on.
func (r *Reducer) orderChange(o *roles.Observation, c roles.Change) {
	sv := r.state.servers[c.Engine]
	if sv == nil || !r.orderable(sv) {
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
	// Term and log index make the id one of a kind: the intent moves the index.
	id := "auto/" + c.Engine + "/" + strconv.FormatUint(r.term, 10) + "/" + strconv.FormatUint(r.state.Index(), 10)
	r.giveOrder(&pb.Order{
		Id: id, Server: c.Engine, Kind: pb.OrderKind_ORDER_KIND_SET_ROLE,
		Role: wire.RoleProto(c.To), Reason: "automatic: " + c.Reason,
	})
}
