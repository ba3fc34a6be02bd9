package control

import (
	"cmp"
	"log/slog"
	"slices"
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	"goldcrestseam.dev/goldcrestseam/internal/decision/autoscaling"
	"goldcrestseam.dev/goldcrestseam/internal/declaration"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// scaleSettle is how long the number of servers of a data centre must stand still for it to
// count as the size that operators gave it: servers announce themselves about once a second.
const scaleSettle = 1300 * time.Millisecond

// ScaleOrder says how many servers of a service and kind a data centre is to have.
type ScaleOrder struct {
	Service, DataCentre string
	Servers             int
	Spot                bool
	// Reason is for the log.
	Reason string
}

type scaleKey struct{ service, dataCentre string }

// scaleTargets are how many servers services are to have; they are replicated, so that a new
// leader does not take what is left after a loss for the size that is aimed at.
type scaleTargets map[scaleKey]*pb.ScaleTarget

func (t scaleTargets) apply(update *pb.ScaleUpdate) {
	for _, target := range update.GetTargets() {
		t[scaleKey{target.GetService(), target.GetDataCentre()}] = target
	}
}

func (t scaleTargets) sorted() []*pb.ScaleTarget {
	list := make([]*pb.ScaleTarget, 0, len(t))
	for _, target := range t {
		list = append(list, target)
	}
	slices.SortFunc(list, func(a, b *pb.ScaleTarget) int {
		return cmp.Or(cmp.Compare(a.GetService(), b.GetService()), cmp.Compare(a.GetDataCentre(), b.GetDataCentre()))
	})
	return list
}

// scaleLead is what only a leader keeps of ordering servers.
type scaleLead struct {
	planners map[string]*autoscaling.Planner
	// seen are the last numbers of servers without a target, and since when.
	seen map[scaleKey]seenServers
}

type seenServers struct {
	servers int
	since   time.Duration
}

func newScaleLead() scaleLead {
	return scaleLead{planners: make(map[string]*autoscaling.Planner), seen: make(map[scaleKey]seenServers)}
}

// driveScale orders servers of the services that are declared so.
func (r *Reducer) driveScale() {
	d := r.state.declared.parsed
	if !r.cfg.Duties.OrderServers || d == nil {
		return
	}
	for i := range d.Services {
		if s := &d.Services[i]; s.Scale != nil {
			r.scaleService(s)
		}
	}
}

func (r *Reducer) scaleService(s *declaration.Service) {
	centres := r.centresOf(s)
	var wanted []autoscaling.DataCentre
	for _, c := range centres {
		key := scaleKey{s.Name, c.Name}
		target := r.state.scale[key]
		if target == nil {
			r.learnTarget(key, c.OnDemand+c.Spot)
			continue
		}
		c.Target = int(target.GetEngines())
		wanted = append(wanted, c)
	}
	p := r.lead.scale.planners[s.Name]
	if p == nil {
		p = autoscaling.NewPlanner()
		r.lead.scale.planners[s.Name] = p
	}
	bounds := autoscaling.Bounds{Min: s.Scale.Min, Max: s.Scale.Max, BootTime: s.Scale.Boot, SpotPrice: s.Scale.SpotPrice}
	for _, o := range p.Plan(r.now, bounds, wanted) {
		r.callDuty(scaleCall(s.Name, o))
	}
}

func scaleCall(service string, o autoscaling.Order) DutyCall {
	return DutyCall{
		Duty: DutyScale, Subject: service + "/" + o.DataCentre + "/" + strconv.FormatBool(bool(o.Kind)),
		Scale: ScaleOrder{Service: service, DataCentre: o.DataCentre, Servers: o.Servers, Spot: bool(o.Kind), Reason: o.Reason},
	}
}

// centresOf counts a service's servers that serve, by data centre; one that has lost all of
// them is there as well.
func (r *Reducer) centresOf(s *declaration.Service) []autoscaling.DataCentre {
	var list []autoscaling.DataCentre
	for _, sv := range r.state.sortedServers() {
		told := sv.told
		if !serves(told, s) {
			continue
		}
		i := slices.IndexFunc(list, func(c autoscaling.DataCentre) bool { return c.Name == told.GetDataCentre() })
		if i < 0 {
			list = append(list, autoscaling.DataCentre{Name: told.GetDataCentre()})
			i = len(list) - 1
		}
		switch {
		case told.GetState() != pb.ServerState_SERVER_STATE_SERVING:
		case told.GetSpot():
			list[i].Spot++
		default:
			list[i].OnDemand++
		}
	}
	for _, target := range r.state.scale.sorted() {
		known := slices.ContainsFunc(list, func(c autoscaling.DataCentre) bool { return c.Name == target.GetDataCentre() })
		if target.GetService() == s.Name && !known {
			list = append(list, autoscaling.DataCentre{Name: target.GetDataCentre()})
		}
	}
	slices.SortFunc(list, func(a, b autoscaling.DataCentre) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

func serves(told *pb.BackendServer, s *declaration.Service) bool {
	if told.GetKind() == pb.ServerKind_SERVER_KIND_MODEL {
		return s.Kind == declaration.KindModel && told.GetModel() == s.Model
	}
	return slices.Contains(told.GetServices(), s.Name)
}

// learnTarget takes the number of servers that a data centre has for the size that is aimed
// at, once it stands still.
func (r *Reducer) learnTarget(key scaleKey, servers int) {
	seen := r.lead.scale.seen[key]
	if seen.servers != servers {
		r.lead.scale.seen[key] = seenServers{servers: servers, since: r.now}
		return
	}
	if servers == 0 || r.now-seen.since < scaleSettle {
		return
	}
	r.lead.scale.seen[key] = seenServers{}
	target := &pb.ScaleTarget{Service: key.service, DataCentre: key.dataCentre, Engines: uint32(servers)}
	r.log(slog.LevelInfo, "size taken for the one that is aimed at",
		Field{"service", key.service}, Field{"data_centre", key.dataCentre}, Field{"servers", servers})
	cmd := &pb.Command{Op: &pb.Command_Scale{Scale: &pb.ScaleUpdate{Targets: []*pb.ScaleTarget{target}}}}
	r.propose(cmd, func(proto.Message, bool) {})
}

func orderOf(c *DutyCall) autoscaling.Order {
	return autoscaling.Order{DataCentre: c.Scale.DataCentre, Kind: autoscaling.Kind(c.Scale.Spot), Servers: c.Scale.Servers}
}

func (r *Reducer) scaleTaken(c *DutyCall) {
	if p := r.lead.scale.planners[c.Scale.Service]; p != nil {
		p.OrderAccepted(r.now, orderOf(c))
	}
}

func (r *Reducer) scaleUnavailable(c *DutyCall) {
	if p := r.lead.scale.planners[c.Scale.Service]; p != nil {
		p.OrderUnavailable(r.now, orderOf(c))
	}
}
