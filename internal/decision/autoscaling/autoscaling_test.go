package autoscaling

import (
	"fmt"
	"testing"
	"time"
)

// simMarket simulates the servers of a data centre in virtual time: ordered servers boot, and
// spot servers may be withdrawn.
type simMarket struct {
	bootTime time.Duration
	// spotUnavailable tells when no spot servers can be had.
	spotUnavailable func(now time.Duration) bool
	serving         map[Kind]int
	booting         []bootingServers
	// cost is in server-seconds, spot servers weighted by their price.
	cost, spotPrice float64
	orders          int
}

type bootingServers struct {
	kind    Kind
	servers int
	readyAt time.Duration
}

func (m *simMarket) order(now time.Duration, p *Planner, o Order) {
	m.orders++
	if o.Kind == Spot && m.spotUnavailable(now) && o.Servers > m.serving[Spot] {
		p.OrderUnavailable(now, o)
		return
	}
	p.OrderAccepted(now, o)
	booting := 0
	for _, c := range m.booting {
		if c.kind == o.Kind {
			booting += c.servers
		}
	}
	if missing := o.Servers - m.serving[o.Kind] - booting; missing > 0 {
		m.booting = append(m.booting, bootingServers{o.Kind, missing, now + m.bootTime})
	}
	m.serving[o.Kind] = min(m.serving[o.Kind], o.Servers)
}

func (m *simMarket) step(now, tick time.Duration) {
	var remaining []bootingServers
	for _, c := range m.booting {
		if now >= c.readyAt {
			m.serving[c.kind] += c.servers
		} else {
			remaining = append(remaining, c)
		}
	}
	m.booting = remaining
	m.cost += tick.Seconds() * (float64(m.serving[OnDemand]) + m.spotPrice*float64(m.serving[Spot]))
}

// runMarket lets a planner keep a data centre at 30 servers; it calls eachTick at every tick.
func runMarket(t *testing.T, m *simMarket, b Bounds, duration time.Duration, eachTick func(now time.Duration)) {
	const tick = 200 * time.Millisecond
	p := NewPlanner()
	for now := tick; now < duration; now += tick {
		eachTick(now)
		m.step(now, tick)
		for _, o := range p.Plan(now, b, []DataCentre{{Name: "a", Target: 30, OnDemand: m.serving[OnDemand], Spot: m.serving[Spot]}}) {
			m.order(now, p, o)
		}
		if total := m.serving[OnDemand] + m.serving[Spot]; total > b.Max {
			t.Fatalf("%v: %d servers, want at most %d", now, total, b.Max)
		}
	}
}

// atTarget reports whether the numbers of both kinds are the final ones.
func (m *simMarket) atTarget() bool {
	return m.serving[OnDemand] == shareOf(onDemandShare, 30) && m.serving[Spot] == shareOf(spotShare, 30)
}

func newSimMarket(boot time.Duration) *simMarket {
	return &simMarket{
		bootTime: boot, spotPrice: 0.25, serving: map[Kind]int{OnDemand: 30}, spotUnavailable: func(time.Duration) bool { return false },
	}
}

// Guards against releasing servers before their replacements serve, and against further orders
// once nothing changes. Spot servers are available all the time.
func TestSpotServersReplaceOnDemandServers(t *testing.T) {
	for _, boot := range []time.Duration{time.Second, 4 * time.Second, 30 * time.Second} {
		t.Run(fmt.Sprint(boot), func(t *testing.T) {
			m := newSimMarket(boot)
			runMarket(t, m, Bounds{Min: 1, Max: 60, BootTime: boot, SpotPrice: 0.25}, 10*time.Minute, func(now time.Duration) {
				if total := m.serving[OnDemand] + m.serving[Spot]; total < 30 {
					t.Fatalf("%v: %d servers, want 30", now, total)
				}
			})
			if !m.atTarget() || m.orders > 4 {
				t.Errorf("%v after %d orders", m.serving, m.orders)
			}
			// A fifth less than the same servers cost without spot servers.
			if maxCost := 0.8 * 30 * 600; m.cost > maxCost {
				t.Errorf("cost %.0f server-seconds, want at most %.0f", m.cost, maxCost)
			}
		})
	}
}

// Guards against a service that is left with a fifth of its servers when all spot servers are
// withdrawn and none are available, and against an order at every tick of that time. All spot
// servers are withdrawn after one minute, for one minute.
func TestLostSpotServersAreReplaced(t *testing.T) {
	for _, boot := range []time.Duration{time.Second, 4 * time.Second, 15 * time.Second} {
		t.Run(fmt.Sprint(boot), func(t *testing.T) {
			m := newSimMarket(boot)
			m.spotUnavailable = func(now time.Duration) bool { return now >= time.Minute && now < 2*time.Minute }
			runMarket(t, m, Bounds{Min: 1, Max: 60, BootTime: boot, SpotPrice: 0.25}, 5*time.Minute, func(now time.Duration) {
				if m.spotUnavailable(now) {
					m.serving[Spot] = 0
				}
				total := m.serving[OnDemand] + m.serving[Spot]
				if deadline := time.Minute + boot + time.Second; total < 30 && (now < time.Minute || now > deadline) {
					t.Fatalf("%v: %d servers, want 30", now, total)
				}
				if m.serving[OnDemand] < shareOf(onDemandShare, 30) {
					t.Fatalf("%v: only %d on-demand servers", now, m.serving[OnDemand])
				}
			})
			if !m.atTarget() {
				t.Errorf("in the end %v", m.serving)
			}
			if m.orders > 40 {
				t.Errorf("%d orders", m.orders)
			}
		})
	}
}

// Guards against ordering spot servers where there are none, and against exceeding the maximum
// while servers of one kind replace those of the other.
func TestBoundsAreKept(t *testing.T) {
	m := newSimMarket(4 * time.Second)
	runMarket(t, m, Bounds{Min: 1, Max: 60, BootTime: 4 * time.Second}, time.Minute, func(time.Duration) {})
	if m.orders != 0 || m.serving[OnDemand] != 30 {
		t.Errorf("without spot servers: %v after %d orders", m.serving, m.orders)
	}
	m = newSimMarket(4 * time.Second)
	runMarket(t, m, Bounds{Min: 1, Max: 40, BootTime: 4 * time.Second, SpotPrice: 0.25}, 3*time.Minute, func(time.Duration) {})
	if m.serving[OnDemand] != shareOf(onDemandShare, 30) || m.serving[OnDemand]+m.serving[Spot] != 40 {
		t.Errorf("with a maximum of ten more: %v", m.serving)
	}
}

// Guards against a late order that overrides a newer one permanently.
func TestOrderIsRepeatedWhenServerCountDiffers(t *testing.T) {
	m := newSimMarket(4 * time.Second)
	runMarket(t, m, Bounds{Min: 1, Max: 60, BootTime: 4 * time.Second, SpotPrice: 0.25}, 2*time.Minute, func(now time.Duration) {
		if now == time.Minute {
			m.serving[Spot] = 3
		}
	})
	if !m.atTarget() {
		t.Errorf("in the end %v", m.serving)
	}
}

// Guards against repeating an order at every tick while servers of that kind are unavailable.
func TestUnavailableOrderIsNotRepeatedAtOnce(t *testing.T) {
	b := Bounds{Min: 1, Max: 60, BootTime: 4 * time.Second, SpotPrice: 0.25}
	for _, kind := range []Kind{OnDemand, Spot} {
		p, attempts := NewPlanner(), 0
		list := []DataCentre{{Name: "a", Target: 30, OnDemand: 1, Spot: 1}}
		for now := time.Duration(0); now < 10*time.Second; now += 200 * time.Millisecond {
			for _, o := range p.Plan(now, b, list) {
				if o.Kind != kind {
					p.OrderAccepted(now, o)
					continue
				}
				attempts++
				p.OrderUnavailable(now, o)
			}
		}
		if maxAttempts := int(10*time.Second/unavailableBackoff) + 1; attempts > maxAttempts {
			t.Errorf("spot %v: ordered %d times in 10 s, want at most %d", kind, attempts, maxAttempts)
		}
	}
}
