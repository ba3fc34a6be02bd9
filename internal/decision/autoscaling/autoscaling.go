// Package autoscaling decides how many servers of a service are ordered in which data centre, and
// of which kind. Spot servers cost a fraction of on-demand servers, but all of a data centre's
// spot servers may be withdrawn at once with seconds of notice, or be unavailable.
//
// It serves fleets that are paid by the second and sized for bursts, which come and go faster
// than a server boots. The number of servers follows the target size and their kind follows the
// price. Servers are released only once their replacements are serving.
//
// docs/design/autoscaling.md describes the alternatives considered and the measurements.
package autoscaling

import (
	"math"
	"time"
)

const (
	// onDemandShare is the smallest number of on-demand servers as a share of the target size:
	// what remains while the spot servers of all data centres are gone and replacements boot.
	onDemandShare = 0.5
	// spotShare is the number of spot servers as a share of the target size. Together with
	// onDemandShare it is more than 1, so that losing the spot servers of one data centre out of
	// three leaves the target size.
	spotShare = 0.84
	// releaseDelay is how long replacements must have served before servers are released. A spot
	// server that is withdrawn at once would otherwise cost warm caches twice.
	releaseDelay = time.Second
	// unavailableBackoff is how long no servers of a kind are ordered after none were available.
	unavailableBackoff = 5 * time.Second
	// reorderDelay is how long beyond the boot time the number of servers may differ from the
	// last order before it is ordered again: an older order may have been carried out late.
	reorderDelay = 6 * time.Second
)

// Kind tells whether servers are on-demand or spot servers.
type Kind bool

// The kinds of servers.
const (
	OnDemand Kind = false
	Spot     Kind = true
)

// Bounds are the declared limits of a service.
type Bounds struct {
	// Min and Max bound the number of servers in one data centre, both kinds together.
	Min, Max int
	BootTime time.Duration
	// SpotPrice is the price of a spot server relative to an on-demand server; 0 if there are no
	// spot servers.
	SpotPrice float64
}

// DataCentre is the state of a service's servers in one data centre.
type DataCentre struct {
	Name string
	// Target is how many servers there should be, both kinds together.
	Target int
	// OnDemand and Spot are the numbers of servers that are serving.
	OnDemand, Spot int
}

// Order sets how many servers of a kind a data centre is to have.
type Order struct {
	DataCentre string
	Kind       Kind
	Servers    int
	Reason     string
}

// Planner plans the servers of one service. It is not safe for concurrent use.
type Planner struct{ dataCentres map[string]*dataCentreState }

// dataCentreState is what the planner remembers of a data centre.
type dataCentreState struct {
	orders map[Kind]*lastOrder
	// coveredSince is when some on-demand servers became unnecessary; zero while all are needed.
	coveredSince time.Duration
	// unavailableUntil is when servers of a kind may be ordered again.
	unavailableUntil map[Kind]time.Duration
}

// lastOrder is the last accepted order of a kind.
type lastOrder struct {
	servers int
	// differsSince is when the number of servers began to differ from the order, or when the
	// order was accepted.
	differsSince time.Duration
}

// NewPlanner returns a planner without history.
func NewPlanner() *Planner { return &Planner{dataCentres: make(map[string]*dataCentreState)} }

func (p *Planner) state(dataCentre string) *dataCentreState {
	c := p.dataCentres[dataCentre]
	if c == nil {
		c = &dataCentreState{orders: make(map[Kind]*lastOrder), unavailableUntil: make(map[Kind]time.Duration)}
		p.dataCentres[dataCentre] = c
	}
	return c
}

// OrderAccepted records that an order was accepted.
func (p *Planner) OrderAccepted(now time.Duration, o Order) {
	p.state(o.DataCentre).orders[o.Kind] = &lastOrder{servers: o.Servers, differsSince: now}
}

// OrderUnavailable records that no servers were available for an order.
func (p *Planner) OrderUnavailable(now time.Duration, o Order) {
	c := p.state(o.DataCentre)
	c.unavailableUntil[o.Kind] = now + unavailableBackoff
	delete(c.orders, o.Kind)
}

// Plan returns the orders to place now, in the order of the data centres.
func (p *Planner) Plan(now time.Duration, b Bounds, list []DataCentre) []Order {
	var orders []Order
	for i := range list {
		orders = append(orders, p.planDataCentre(now, b, &list[i])...)
	}
	return orders
}

// targetSize returns the target number of servers within the bounds.
func targetSize(b Bounds, d *DataCentre) int { return min(b.Max, max(b.Min, d.Target)) }

// onDemandTarget returns how many servers are to be on-demand servers while there are enough spot
// servers.
func onDemandTarget(b Bounds, d *DataCentre) int {
	if !spotIsCheaper(b) {
		return targetSize(b, d)
	}
	return shareOf(onDemandShare, targetSize(b, d))
}

// spotIsCheaper reports whether there are spot servers and they cost less than on-demand ones.
func spotIsCheaper(b Bounds) bool { return b.SpotPrice > 0 && b.SpotPrice < 1 }

// planDataCentre returns the orders for one data centre. On-demand servers replace missing spot
// servers.
func (p *Planner) planDataCentre(now time.Duration, b Bounds, d *DataCentre) []Order {
	c := p.state(d.Name)
	size := targetSize(b, d)
	spot := spotTarget(b, size)
	onDemand := c.releaseExcess(now, d, max(onDemandTarget(b, d), size-d.Spot))
	spot = min(spot, b.Max-max(onDemand, d.OnDemand))
	var out []Order
	if o, due := c.orderIfDue(now, b, d.Name, OnDemand, onDemand, d.OnDemand); due {
		out = append(out, o)
	}
	if o, due := c.orderIfDue(now, b, d.Name, Spot, spot, d.Spot); due && spot+d.Spot > 0 {
		out = append(out, o)
	}
	return out
}

// spotTarget returns how many spot servers a data centre of the given size is to have.
func spotTarget(b Bounds, total int) int {
	if !spotIsCheaper(b) {
		return 0
	}
	return shareOf(spotShare, total)
}

// shareOf returns a share of a number of servers, rounded up.
func shareOf(share float64, total int) int { return int(math.Ceil(share * float64(total))) }

// releaseExcess returns how many on-demand servers to have. It goes below the current number only
// after releaseDelay.
func (c *dataCentreState) releaseExcess(now time.Duration, d *DataCentre, wanted int) int {
	if wanted >= d.OnDemand {
		c.coveredSince = 0
		return wanted
	}
	if c.coveredSince == 0 {
		c.coveredSince = now
	}
	if now-c.coveredSince < releaseDelay {
		return d.OnDemand
	}
	return wanted
}

// orderIfDue returns the order of a kind and whether it is due: it differs from the last one, or
// the last one has not taken effect in time.
func (c *dataCentreState) orderIfDue(now time.Duration, b Bounds, dataCentre string, kind Kind, wanted, serving int) (Order, bool) {
	o := Order{DataCentre: dataCentre, Kind: kind, Servers: wanted, Reason: "the required number of servers has changed"}
	last := c.orders[kind]
	switch {
	case now < c.unavailableUntil[kind]:
		return o, false
	case last == nil && wanted == serving && kind == OnDemand:
		return o, false
	case last == nil || last.servers != wanted:
		return o, true
	case serving == wanted:
		last.differsSince = now
		return o, false
	}
	o.Reason = "the number of servers differs from the last order"
	return o, now-last.differsSince >= b.BootTime+reorderDelay
}
