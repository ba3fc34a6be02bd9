package placement

import (
	"fmt"
	"testing"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
	"goldcrestseam.dev/goldcrestseam/internal/declaration"
	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
)

// The load of three engines rises within seconds from some streams each to full batches,
// in which a token takes three times as long; beside them plain services answer calls in
// 20 ms. No engine is slow, but each was held against the time that was usual before and
// against the calls: their places fell to 50 of 128 and less just when all were needed.
func TestRisingLoadIsNoSlowServer(t *testing.T) {
	for _, step := range []time.Duration{8 * time.Millisecond, 30 * time.Millisecond, 150 * time.Millisecond} {
		t.Run(step.String(), func(t *testing.T) {
			p, fleet := New(), &decision.Fleet{Entries: 1}
			for i := range 3 {
				s := countingEngine(i, engineapi.RoleMixed)
				s.Slots = 128
				fleet.Servers = append(fleet.Servers, s)
			}
			for i := range 5 {
				fleet.Servers = append(fleet.Servers, decision.Server{
					ID: fmt.Sprint("plain-", i), Kind: declaration.KindPlain, Services: []string{"calls"},
					Role: engineapi.RoleMixed, Usable: true, Slots: 6,
				})
			}
			p.limits.align(fleet)
			now := time.Duration(0)
			for n := range 600 {
				now += 20 * time.Millisecond
				fill := min(1, float64(n)/200)
				event := time.Duration(float64(step) * (1 + 2*fill))
				p.Observe(now, fleet.Servers[n%3].ID, Result{DecodeTime: 20 * event, Tokens: 21})
				p.Observe(now, fleet.Servers[3+n%5].ID, Result{TotalTime: 20 * time.Millisecond})
				for i := range 3 {
					if got := p.limits.of(fleet.Servers[i].ID).slots(&fleet.Servers[i]); got < 128 {
						t.Fatalf("after %v %s may have %.0f of 128", now, fleet.Servers[i].ID, got)
					}
				}
			}
		})
	}
}
