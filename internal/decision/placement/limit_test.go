package placement

import (
	"fmt"
	"testing"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
	"goldcrestseam.dev/goldcrestseam/internal/declaration"
	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
)

// The load of three engines rises within seconds from a few streams each to full batches, in
// which a token takes three times as long. Beside them plain services answer calls in 20 ms. No
// engine is slow. If engines are compared with their earlier times or with the plain services,
// their limits fall to 50 of 128 slots and less just when all slots are needed.
func TestRisingLoadIsNotTakenForSlowServer(t *testing.T) {
	for _, step := range []time.Duration{8 * time.Millisecond, 30 * time.Millisecond, 150 * time.Millisecond} {
		t.Run(step.String(), func(t *testing.T) {
			p, fleet := New(), &decision.Fleet{Entries: 1}
			for i := range 3 {
				s := countsOnlyEngine(i, engineapi.RoleMixed)
				s.Slots = 128
				fleet.Servers = append(fleet.Servers, s)
			}
			for i := range 5 {
				fleet.Servers = append(fleet.Servers, decision.Server{
					ID: fmt.Sprint("plain-", i), Kind: declaration.KindPlain, Services: []string{"calls"},
					Role: engineapi.RoleMixed, Usable: true, Slots: 6,
				})
			}
			p.limits.alignWith(fleet)
			now := time.Duration(0)
			for n := range 600 {
				now += 20 * time.Millisecond
				occupancy := min(1, float64(n)/200)
				tokenTime := time.Duration(float64(step) * (1 + 2*occupancy))
				p.Observe(now, fleet.Servers[n%3].ID, Result{DecodeTime: 20 * tokenTime, Tokens: 21})
				p.Observe(now, fleet.Servers[3+n%5].ID, Result{TotalTime: 20 * time.Millisecond})
				for i := range 3 {
					if slots := p.limits.get(fleet.Servers[i].ID).allowedSlots(&fleet.Servers[i]); slots < 128 {
						t.Fatalf("after %v the limit of %s is %.0f of 128 slots", now, fleet.Servers[i].ID, slots)
					}
				}
			}
		})
	}
}

// Guards against a plain server that is sent no request any more since one call took long, as the first one over a new
// connection may.
func TestPlainServerIsChosenAgainAfterOneSlowCall(t *testing.T) {
	const requests, interval = 30_000, 20 * time.Millisecond
	const slowCall, usualCall = 26 * time.Millisecond, 12 * time.Millisecond
	p, fleet := New(), &decision.Fleet{Entries: 1}
	for i := range 2 {
		fleet.Servers = append(fleet.Servers, decision.Server{
			ID: fmt.Sprint("plain-", i), Kind: declaration.KindPlain, Services: []string{"calls"}, Usable: true, Slots: 64,
		})
	}
	now, slow, chosen := time.Duration(0), fleet.Servers[0].ID, 0
	p.Observe(now, slow, Result{TotalTime: slowCall})
	for n := range requests {
		now += interval
		w := &decision.Work{RequestID: fmt.Sprint("request-", n), Kind: declaration.KindPlain, Service: "calls", Arrived: now}
		choice, ok := p.Pick(now, w, fleet)
		if !ok {
			t.Fatalf("request %d: no server has capacity", n)
		}
		if choice.Server.ID == slow {
			chosen++
		}
		p.Observe(now, choice.Server.ID, Result{TotalTime: usualCall})
	}
	if chosen == 0 {
		t.Errorf("the server is sent none of %d requests in %v", requests, now)
	}
}
