package entry

import (
	"testing"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// Guards against missing or repeated log lines when an engine prefills more slowly than others
// and when it recovers. The lines explain why the engine got less work for a while.
func TestSlowEngineIsLoggedOnce(t *testing.T) {
	w := newDeadlineHarness(t)
	w.view(serving(2)...)
	s := w.r.servers.byID["engine-0"]
	lines := func(prefillDuration time.Duration) []LogDecision {
		var list []LogDecision
		for range 60 {
			w.r.effects = nil
			w.r.speeds.prefillEstimate(s).Observe(w.r.now, 1000, prefillDuration, &s.slowness)
			w.r.logSlowness(s)
			list = append(list, effectsOf[LogDecision](w.r.effects)...)
		}
		return list
	}
	if slow := lines(30 * time.Second); len(slow) != 1 || slow[0].Server != "engine-0" {
		t.Errorf("while it was slow: %+v", slow)
	}
	if recovered := lines(time.Millisecond); len(recovered) != 1 {
		t.Errorf("after it recovered: %+v", recovered)
	}
}

// Guards against missing or repeated log lines when other entries start or stop reporting, which
// changes how backlogs are estimated.
func TestLostPeersAreLogged(t *testing.T) {
	w := newDeadlineHarness(t)
	w.viewWithPeers(1, serving(1)...)
	w.step(PeerReported{Request: &pb.PeerReport{ClusterId: "test", Entry: "entry-b0", Incarnation: "p1", Sequence: 1}})
	peers := func() []LogDecision {
		var list []LogDecision
		for _, l := range effectsOf[LogDecision](w.step(Tick{})) {
			if l.Kind == LogPeers {
				list = append(list, l)
			}
		}
		return list
	}
	if got := peers(); len(got) != 1 || got[0].Figures[0].Value != 1 {
		t.Errorf("the peer reports: %+v", got)
	}
	w.advance(2 * time.Second)
	if got := peers(); len(got) != 1 || got[0].Figures[0].Value != 0 {
		t.Errorf("the peer stopped reporting: %+v", got)
	}
	if got := peers(); len(got) != 0 {
		t.Errorf("logged again: %+v", got)
	}
}
