package entry

import (
	"testing"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// On call asks why one engine got less for a while: a line says that it read slower, and
// one that it did so no more, each once.
func TestSlowEngineIsLoggedOnce(t *testing.T) {
	w := relayedWorld(t)
	w.view(serving(2)...)
	s := w.r.servers.byID["engine-0"]
	lines := func(took time.Duration) []LogDecision {
		var list []LogDecision
		for range 60 {
			w.r.effects = nil
			w.r.speeds.prefillEstimate(s).Observe(w.r.now, 1000, took, &s.slowness)
			w.r.logSlowness(s)
			list = append(list, pick[LogDecision](w.r.effects)...)
		}
		return list
	}
	if slow := lines(30 * time.Second); len(slow) != 1 || slow[0].Server != "engine-0" {
		t.Errorf("while it was slow: %+v", slow)
	}
	if well := lines(time.Millisecond); len(well) != 1 {
		t.Errorf("after it recovered: %+v", well)
	}
}

// Reports of the others stop: a line says that estimates count from now on.
func TestLostPeersAreLogged(t *testing.T) {
	w := relayedWorld(t)
	w.viewWithPeers(1, serving(1)...)
	w.step(PeerReported{Request: &pb.PeerReport{ClusterId: "test", Entry: "entry-b0", Incarnation: "p1", Sequence: 1}})
	peers := func() []LogDecision {
		var list []LogDecision
		for _, l := range pick[LogDecision](w.step(Tick{})) {
			if l.Kind == LogPeers {
				list = append(list, l)
			}
		}
		return list
	}
	if got := peers(); len(got) != 1 || got[0].Figures[0].Value != 1 {
		t.Errorf("the peer reports: %+v", got)
	}
	w.after(2 * time.Second)
	if got := peers(); len(got) != 1 || got[0].Figures[0].Value != 0 {
		t.Errorf("the peer is silent: %+v", got)
	}
	if got := peers(); len(got) != 0 {
		t.Errorf("said again: %+v", got)
	}
}
