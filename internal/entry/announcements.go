package entry

import (
	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
)

func (r *Reducer) announced(ev Announced) {
	a := ev.Announcement
	s := r.servers.life(a.ID, a.Incarnation)
	if s == nil {
		r.report.announce(a, nil)
		r.servers.keepEarly(a)
		return
	}
	r.report.announce(a, s.pb)
	r.heard(s, a.State, a.Load, true)
}

// maxEarly bounds the servers whose word is kept before the view names them.
const maxEarly = 4096

func (t *serverTable) keepEarly(a engineapi.Announcement) {
	if _, known := t.early[a.ID]; known || len(t.early) < maxEarly {
		t.early[a.ID] = a
	}
}

func (r *Reducer) serverSaid(ev ServerReported) {
	s := r.servers.life(ev.Server, ev.Incarnation)
	if s == nil {
		return
	}
	if ev.FromResponse {
		r.heardWord(s, ev.SentAt, ev.Backpressure)
	}
	if ev.State != "" {
		r.heard(s, ev.State, ev.Load, ev.HasLoad)
	}
}

func (r *Reducer) heard(s *server, state engineapi.State, load engineapi.Load, hasLoad bool) {
	if state != s.ownState {
		r.logServer(s, "said "+string(state))
	}
	s.hear(state, r.now)
	if hasLoad {
		s.setLoad(load, r.now)
	}
	r.startWaiting()
}

func (r *Reducer) probeFailed(ev ProbeFailed) {
	if s := r.servers.life(ev.Server, ev.Incarnation); s != nil {
		s.fail(r.now)
	}
}

// probe asks servers for their own word: those that failed, and while the view
// is stale all that could serve, so that work can go on without control.
//
// Where there are more than are asked at once they take turns. Failure: the first ones by id
// were asked again and again, and without control the others got no work.
func (r *Reducer) probe() {
	if r.now-r.lastProbe < probeEvery {
		return
	}
	r.lastProbe = r.now
	left, deal, servers := maxProbes, r.peers.group.dealer(r.now), r.servers.sorted
	asked := make([]bool, len(servers))
	for i, s := range servers {
		asked[i] = r.probes(s, &deal)
	}
	first := r.nextProbe
	for n := range servers {
		i := (first + n) % len(servers)
		if !asked[i] {
			continue
		}
		if left == 0 {
			break
		}
		left--
		r.nextProbe = i + 1
		s := servers[i]
		r.emit(Probe{
			Server: s.pb.Id, Incarnation: s.pb.Incarnation, Address: s.pb.Address,
			Services: s.pb.Services, Model: s.pb.Model,
		})
	}
}

func (r *Reducer) logServer(s *server, reason string) {
	r.emit(LogDecision{Kind: LogServer, Server: s.pb.Id, Reason: reason, Figures: []Figure{
		{Name: "running_here", Value: float64(len(s.running))},
		{Name: "failures", Value: float64(s.failures)},
	}})
}
