// Package autoscaling decides how many servers of a service are ordered where, and of which
// kind: spot servers cost a part of the others, and all of a data centre may be taken away at
// once after seconds of notice, or not be to be had.
//
// It answers a fleet that is paid for by the second and sized for its bursts, which come and
// go faster than a server boots: the number follows the size that is aimed at, the kind
// follows the price. Servers are given back only once those that take their places serve.
//
// docs/design/autoscaling.md has the ways weighed and the figures.
package autoscaling

import (
	"math"
	"time"
)

const (
	// steadyShare is how many servers that are no spot servers there are at least, as a part of
	// the size that is aimed at: what is left while all spot servers of all data centres are
	// gone and others boot.
	steadyShare = 0.5
	// spotShare is how many spot servers are ordered besides, as the same part. Together with
	// steadyShare it is more than 1: the loss of one data centre's spot servers of three leaves
	// the size that is aimed at.
	spotShare = 0.84
	// giveBackAfter is how long the servers that take their places must have served before
	// servers are given back: a spot server that goes again at once has cost caches twice.
	giveBackAfter = time.Second
	// scarceFor is how long no servers of a kind are ordered where none were to be had.
	scarceFor = 5 * time.Second
	// orderAgainAfter is how long beyond their boot the servers may differ from what was
	// ordered before that is ordered again: an older order may have been carried out late.
	orderAgainAfter = 6 * time.Second
)

// Kind tells spot servers from others.
type Kind bool

// The kinds.
const (
	OnDemand Kind = false
	Spot     Kind = true
)

// Bounds are what is declared of a service.
type Bounds struct {
	// Min and Max bound the servers of one data centre, of both kinds together.
	Min, Max int
	BootTime time.Duration
	// SpotPrice is the price of a spot server as a part of another one's; 0: there are none.
	SpotPrice float64
}

// DataCentre is what is known of a service's servers in one.
type DataCentre struct {
	Name string
	// Target is how many there should be, of both kinds together.
	Target int
	// OnDemand and Spot are those that serve.
	OnDemand, Spot int
}

// Order says how many servers of a kind a data centre is to have.
type Order struct {
	DataCentre string
	Kind       Kind
	Servers    int
	Reason     string
}

// Planner plans for one service. It is not safe for concurrent use.
type Planner struct{ centres map[string]*centre }

// centre is what a planner remembers of a data centre.
type centre struct {
	orders map[Kind]*ordered
	// coveredAt is since when the servers that serve are enough without those that would be
	// given back; zero while they are not.
	coveredAt time.Duration
	// scarceUntil is until when none of a kind are ordered.
	scarceUntil map[Kind]time.Duration
}

// ordered is the last order of a kind.
type ordered struct {
	servers int
	// since is when the servers began to differ from it, or when it was taken.
	since time.Duration
}

// NewPlanner gives a planner that knows of no order.
func NewPlanner() *Planner { return &Planner{centres: make(map[string]*centre)} }

func (p *Planner) of(name string) *centre {
	c := p.centres[name]
	if c == nil {
		c = &centre{orders: make(map[Kind]*ordered), scarceUntil: make(map[Kind]time.Duration)}
		p.centres[name] = c
	}
	return c
}

// OrderAccepted notes that an order was taken.
func (p *Planner) OrderAccepted(now time.Duration, o Order) {
	p.of(o.DataCentre).orders[o.Kind] = &ordered{servers: o.Servers, since: now}
}

// OrderUnavailable notes that there are no servers to be had for an order.
func (p *Planner) OrderUnavailable(now time.Duration, o Order) {
	c := p.of(o.DataCentre)
	c.scarceUntil[o.Kind] = now + scarceFor
	delete(c.orders, o.Kind)
}

// Plan gives the orders to give now, in order of data centre.
func (p *Planner) Plan(now time.Duration, b Bounds, list []DataCentre) []Order {
	var orders []Order
	for i := range list {
		orders = append(orders, p.planCentre(now, b, &list[i])...)
	}
	return orders
}

// sizeOf is how many servers a data centre is to have.
func sizeOf(b Bounds, d *DataCentre) int { return min(b.Max, max(b.Min, d.Target)) }

// steadyFor is how many of them are no spot servers while there are spot servers enough.
func steadyFor(b Bounds, d *DataCentre) int {
	if !hasSpot(b) {
		return sizeOf(b, d)
	}
	return part(steadyShare, sizeOf(b, d))
}

// hasSpot tells whether there are spot servers that cost less than others.
func hasSpot(b Bounds) bool { return b.SpotPrice > 0 && b.SpotPrice < 1 }

// planCentre gives the orders of a data centre: others stand in for spot servers that it lacks.
func (p *Planner) planCentre(now time.Duration, b Bounds, d *DataCentre) []Order {
	c := p.of(d.Name)
	size := sizeOf(b, d)
	spot := spotFor(b, size)
	steady := c.giveBack(now, d, max(steadyFor(b, d), size-d.Spot))
	spot = min(spot, b.Max-max(steady, d.OnDemand))
	var out []Order
	if o, due := c.order(now, b, d.Name, OnDemand, steady, d.OnDemand); due {
		out = append(out, o)
	}
	if o, due := c.order(now, b, d.Name, Spot, spot, d.Spot); due && spot+d.Spot > 0 {
		out = append(out, o)
	}
	return out
}

// spotFor is how many spot servers a data centre of so many servers has.
func spotFor(b Bounds, total int) int {
	if !hasSpot(b) {
		return 0
	}
	return part(spotShare, total)
}

// part is a part of so many servers, rounded up.
func part(share float64, total int) int { return int(math.Ceil(share * float64(total))) }

// giveBack is how many servers that are no spot servers there should be: fewer than there are
// only after giveBackAfter.
func (c *centre) giveBack(now time.Duration, d *DataCentre, steady int) int {
	if steady >= d.OnDemand {
		c.coveredAt = 0
		return steady
	}
	if c.coveredAt == 0 {
		c.coveredAt = now
	}
	if now-c.coveredAt < giveBackAfter {
		return d.OnDemand
	}
	return steady
}

// order gives the order of a kind if it is due: it differs from the last one, or has not
// come about.
func (c *centre) order(now time.Duration, b Bounds, name string, kind Kind, servers, serve int) (Order, bool) {
	o := Order{DataCentre: name, Kind: kind, Servers: servers, Reason: "another number is needed"}
	last := c.orders[kind]
	switch {
	case now < c.scarceUntil[kind]:
		return o, false
	case last == nil && servers == serve && kind == OnDemand:
		return o, false
	case last == nil || last.servers != servers:
		return o, true
	case serve == servers:
		last.since = now
		return o, false
	}
	o.Reason = "the servers are not those that were ordered"
	return o, now-last.since >= b.BootTime+orderAgainAfter
}
