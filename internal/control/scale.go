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

// stableSizePeriod is how long the number of servers of a data centre must stay constant to
// count as the size that operators chose: servers announce themselves about once a second.
const stableSizePeriod = 1300 * time.Millisecond

// ScaleOrder sets how many servers of a service and kind a data centre should have.
type ScaleOrder struct {
	Service, DataCentre string
	Servers             int
	Spot                bool
	// Reason is for the log.
	Reason string
}

type scaleKey struct{ service, dataCentre string }

// scaleTargets holds the target sizes of services. They are replicated, so that a new
// leader does not take the servers that remain after a failure for the target size.
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

// leaderScale is the leader's in-memory state of ordering servers.
type leaderScale struct {
	planners map[string]*autoscaling.Planner
	// observed is the last size of each data centre without a target, and since when.
	observed map[scaleKey]observedSize
}

type observedSize struct {
	servers int
	since   time.Duration
}

func newLeaderScale() leaderScale {
	return leaderScale{planners: make(map[string]*autoscaling.Planner), observed: make(map[scaleKey]observedSize)}
}

// reconcileScale orders servers for the services that declare autoscaling.
func (r *Reducer) reconcileScale() {
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
	sizes := r.countByDataCentre(s)
	var withTarget []autoscaling.DataCentre
	for _, c := range sizes {
		key := scaleKey{s.Name, c.Name}
		target := r.state.scale[key]
		if target == nil {
			r.adoptTarget(key, c.OnDemand+c.Spot)
			continue
		}
		c.Target = int(target.GetEngines())
		withTarget = append(withTarget, c)
	}
	p := r.lead.scale.planners[s.Name]
	if p == nil {
		p = autoscaling.NewPlanner()
		r.lead.scale.planners[s.Name] = p
	}
	bounds := autoscaling.Bounds{Min: s.Scale.Min, Max: s.Scale.Max, BootTime: s.Scale.BootTime, SpotPrice: s.Scale.SpotPrice}
	for _, o := range p.Plan(r.now, bounds, withTarget) {
		r.callDuty(scaleCall(s.Name, o))
	}
}

func scaleCall(service string, o autoscaling.Order) DutyCall {
	return DutyCall{
		Duty: DutyScale, Subject: service + "/" + o.DataCentre + "/" + strconv.FormatBool(bool(o.Kind)),
		Scale: ScaleOrder{Service: service, DataCentre: o.DataCentre, Servers: o.Servers, Spot: bool(o.Kind), Reason: o.Reason},
	}
}

// countByDataCentre counts the serving servers of a service by data centre. A data centre
// that has lost all of them is included if it has a target.
func (r *Reducer) countByDataCentre(s *declaration.Service) []autoscaling.DataCentre {
	var list []autoscaling.DataCentre
	for _, sv := range r.state.sortedServers() {
		info := sv.info
		if !servesService(info, s) {
			continue
		}
		i := slices.IndexFunc(list, func(c autoscaling.DataCentre) bool { return c.Name == info.GetDataCentre() })
		if i < 0 {
			list = append(list, autoscaling.DataCentre{Name: info.GetDataCentre()})
			i = len(list) - 1
		}
		switch {
		case info.GetState() != pb.ServerState_SERVER_STATE_SERVING:
		case info.GetSpot():
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

func servesService(info *pb.BackendServer, s *declaration.Service) bool {
	if info.GetKind() == pb.ServerKind_SERVER_KIND_MODEL {
		return s.Kind == declaration.KindModel && info.GetModel() == s.Model
	}
	return slices.Contains(info.GetServices(), s.Name)
}

// adoptTarget takes a data centre's number of servers as its target size once that number
// is stable.
func (r *Reducer) adoptTarget(key scaleKey, servers int) {
	observed := r.lead.scale.observed[key]
	if observed.servers != servers {
		r.lead.scale.observed[key] = observedSize{servers: servers, since: r.now}
		return
	}
	if servers == 0 || r.now-observed.since < stableSizePeriod {
		return
	}
	r.lead.scale.observed[key] = observedSize{}
	target := &pb.ScaleTarget{Service: key.service, DataCentre: key.dataCentre, Engines: uint32(servers)}
	r.log(slog.LevelInfo, "present size adopted as scale target",
		Field{"service", key.service}, Field{"data_centre", key.dataCentre}, Field{"servers", servers})
	cmd := &pb.Command{Op: &pb.Command_Scale{Scale: &pb.ScaleUpdate{Targets: []*pb.ScaleTarget{target}}}}
	r.propose(cmd, func(proto.Message, bool) {})
}

func plannerOrder(c *DutyCall) autoscaling.Order {
	return autoscaling.Order{DataCentre: c.Scale.DataCentre, Kind: autoscaling.Kind(c.Scale.Spot), Servers: c.Scale.Servers}
}

func (r *Reducer) onScaleAccepted(c *DutyCall) {
	if p := r.lead.scale.planners[c.Scale.Service]; p != nil {
		p.OrderAccepted(r.now, plannerOrder(c))
	}
}

func (r *Reducer) onScaleUnavailable(c *DutyCall) {
	if p := r.lead.scale.planners[c.Scale.Service]; p != nil {
		p.OrderUnavailable(r.now, plannerOrder(c))
	}
}
