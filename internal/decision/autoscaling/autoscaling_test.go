package autoscaling

import (
	"fmt"
	"testing"
	"time"
)

// market is a data centre's servers in virtual time: ordered ones boot, and spot servers may
// be taken away.
type market struct {
	boot time.Duration
	// scarce tells when no spot servers are to be had.
	scarce func(now time.Duration) bool
	serve  map[Kind]int
	coming []coming
	// paid is in servers times seconds, spot servers at their price.
	paid, price float64
	orders      int
}

type coming struct {
	kind    Kind
	servers int
	at      time.Duration
}

func (m *market) order(now time.Duration, p *Planner, o Order) {
	m.orders++
	if o.Kind == Spot && m.scarce(now) && o.Servers > m.serve[Spot] {
		p.OrderUnavailable(now, o)
		return
	}
	p.OrderAccepted(now, o)
	booting := 0
	for _, c := range m.coming {
		if c.kind == o.Kind {
			booting += c.servers
		}
	}
	if more := o.Servers - m.serve[o.Kind] - booting; more > 0 {
		m.coming = append(m.coming, coming{o.Kind, more, now + m.boot})
	}
	m.serve[o.Kind] = min(m.serve[o.Kind], o.Servers)
}

func (m *market) step(now, tick time.Duration) {
	var left []coming
	for _, c := range m.coming {
		if now >= c.at {
			m.serve[c.kind] += c.servers
		} else {
			left = append(left, c)
		}
	}
	m.coming = left
	m.paid += tick.Seconds() * (float64(m.serve[OnDemand]) + m.price*float64(m.serve[Spot]))
}

// play lets a planner keep a data centre at 30 servers; at is called each tick.
func play(t *testing.T, m *market, b Bounds, length time.Duration, at func(now time.Duration)) {
	const tick = 200 * time.Millisecond
	p := NewPlanner()
	for now := tick; now < length; now += tick {
		at(now)
		m.step(now, tick)
		for _, o := range p.Plan(now, b, []DataCentre{{Name: "a", Target: 30, OnDemand: m.serve[OnDemand], Spot: m.serve[Spot]}}) {
			m.order(now, p, o)
		}
		if all := m.serve[OnDemand] + m.serve[Spot]; all > b.Max {
			t.Fatalf("%v: %d servers, %d are allowed", now, all, b.Max)
		}
	}
}

// settled tells whether the servers are those that are to be there in the end.
func (m *market) settled() bool {
	return m.serve[OnDemand] == part(steadyShare, 30) && m.serve[Spot] == part(spotShare, 30)
}

func newMarket(boot time.Duration) *market {
	return &market{
		boot: boot, price: 0.25, serve: map[Kind]int{OnDemand: 30}, scarce: func(time.Duration) bool { return false },
	}
}

// Guards against servers that are given back before others serve in their places, and against
// orders that go on once nothing changes. Load: a day without trouble.
func TestSpotServersTakeTheOthersPlaces(t *testing.T) {
	for _, boot := range []time.Duration{time.Second, 4 * time.Second, 30 * time.Second} {
		t.Run(fmt.Sprint(boot), func(t *testing.T) {
			m := newMarket(boot)
			play(t, m, Bounds{Min: 1, Max: 60, BootTime: boot, SpotPrice: 0.25}, 10*time.Minute, func(now time.Duration) {
				if all := m.serve[OnDemand] + m.serve[Spot]; all < 30 {
					t.Fatalf("%v: %d servers, 30 are aimed at", now, all)
				}
			})
			if !m.settled() || m.orders > 4 {
				t.Errorf("%v after %d orders", m.serve, m.orders)
			}
			// A fifth less than the same servers without spot servers cost.
			if most := 0.8 * 30 * 600; m.paid > most {
				t.Errorf("paid for %.0f server-seconds, at most %.0f", m.paid, most)
			}
		})
	}
}

// Guards against a service that is left with a fifth of its servers when all spot servers go
// and none are to be had, and against orders in each moment of it. Load: all spot servers are
// taken away at a minute, for a minute.
func TestLostSpotServersAreReplaced(t *testing.T) {
	for _, boot := range []time.Duration{time.Second, 4 * time.Second, 15 * time.Second} {
		t.Run(fmt.Sprint(boot), func(t *testing.T) {
			m := newMarket(boot)
			m.scarce = func(now time.Duration) bool { return now >= time.Minute && now < 2*time.Minute }
			play(t, m, Bounds{Min: 1, Max: 60, BootTime: boot, SpotPrice: 0.25}, 5*time.Minute, func(now time.Duration) {
				if m.scarce(now) {
					m.serve[Spot] = 0
				}
				all := m.serve[OnDemand] + m.serve[Spot]
				if late := time.Minute + boot + time.Second; all < 30 && (now < time.Minute || now > late) {
					t.Fatalf("%v: %d servers, 30 are aimed at", now, all)
				}
				if m.serve[OnDemand] < part(steadyShare, 30) {
					t.Fatalf("%v: %d servers are no spot servers", now, m.serve[OnDemand])
				}
			})
			if !m.settled() {
				t.Errorf("in the end %v", m.serve)
			}
			if m.orders > 40 {
				t.Errorf("%d orders", m.orders)
			}
		})
	}
}

// Guards against spot servers where there are none, and against more servers than are allowed
// while both kinds are there.
func TestBoundsAreKept(t *testing.T) {
	m := newMarket(4 * time.Second)
	play(t, m, Bounds{Min: 1, Max: 60, BootTime: 4 * time.Second}, time.Minute, func(time.Duration) {})
	if m.orders != 0 || m.serve[OnDemand] != 30 {
		t.Errorf("without spot servers: %v after %d orders", m.serve, m.orders)
	}
	m = newMarket(4 * time.Second)
	play(t, m, Bounds{Min: 1, Max: 40, BootTime: 4 * time.Second, SpotPrice: 0.25}, 3*time.Minute, func(time.Duration) {})
	if m.serve[OnDemand] != part(steadyShare, 30) || m.serve[OnDemand]+m.serve[Spot] != 40 {
		t.Errorf("with room for ten more: %v", m.serve)
	}
}

// Guards against a late order that undoes a newer one for good.
func TestOtherNumberThanOrderedIsOrderedAgain(t *testing.T) {
	m := newMarket(4 * time.Second)
	play(t, m, Bounds{Min: 1, Max: 60, BootTime: 4 * time.Second, SpotPrice: 0.25}, 2*time.Minute, func(now time.Duration) {
		if now == time.Minute {
			m.serve[Spot] = 3
		}
	})
	if !m.settled() {
		t.Errorf("in the end %v", m.serve)
	}
}

// Guards against an order that is made again in each moment while what it asks for is not to be
// had, whichever kind that is.
func TestUnavailableServersAreNotAskedForAtOnceAgain(t *testing.T) {
	b := Bounds{Min: 1, Max: 60, BootTime: 4 * time.Second, SpotPrice: 0.25}
	for _, kind := range []Kind{OnDemand, Spot} {
		p, asked := NewPlanner(), 0
		list := []DataCentre{{Name: "a", Target: 30, OnDemand: 1, Spot: 1}}
		for now := time.Duration(0); now < 10*time.Second; now += 200 * time.Millisecond {
			for _, o := range p.Plan(now, b, list) {
				if o.Kind != kind {
					p.OrderAccepted(now, o)
					continue
				}
				asked++
				p.OrderUnavailable(now, o)
			}
		}
		if most := int(10*time.Second/scarceFor) + 1; asked > most {
			t.Errorf("spot %v: asked for %d times in 10 s, at most %d", kind, asked, most)
		}
	}
}
