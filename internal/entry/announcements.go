package entry

import (
	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
)

func (r *Reducer) announced(ev Announced) {
	a := ev.Announcement
	s := r.servers.incarnation(a.ID, a.Incarnation)
	if s == nil {
		r.report.announce(a, nil)
		r.servers.keepPending(a)
		return
	}
	r.report.announce(a, s.pb)
	r.applyServerState(s, a.State, a.Load, true)
}

// maxPendingServers bounds the servers whose announcements are kept before the view contains
// them.
const maxPendingServers = 4096

func (t *serverTable) keepPending(a engineapi.Announcement) {
	if _, known := t.pending[a.ID]; known || len(t.pending) < maxPendingServers {
		t.pending[a.ID] = a
	}
}

func (r *Reducer) serverReported(ev ServerReported) {
	s := r.servers.incarnation(ev.Server, ev.Incarnation)
	if s == nil {
		return
	}
	answeredAfter := r.now
	if ev.FromResponse {
		r.applyBackpressure(s, ev.SentAt, ev.Backpressure)
		answeredAfter = ev.SentAt
	}
	r.serverLives(s, answeredAfter)
	if ev.State != "" {
		r.applyServerState(s, ev.State, ev.Load, ev.HasLoad)
	}
}

func (r *Reducer) applyServerState(s *server, state engineapi.State, load engineapi.Load, hasLoad bool) {
	if state != s.ownState {
		r.logServer(s, "reported state "+string(state))
	}
	s.observeState(state, r.now)
	if hasLoad {
		s.setLoad(load, r.now)
	}
	r.dispatchWaiting()
}

func (r *Reducer) probeFailed(ev ProbeFailed) {
	s := r.servers.incarnation(ev.Server, ev.Incarnation)
	if s == nil {
		return
	}
	s.fail(r.now)
	if ev.Answered {
		s.aliveAt = r.now
		return
	}
	s.noAnswer(r.now)
}

// sendProbes probes servers for their state: those that failed and, while the view is stale, all
// that could serve, so that requests can be placed without control.
//
// If there are more servers than may be probed at once, they take turns. Otherwise the first
// ones by id would be probed again and again, and without control the others would get no
// requests.
func (r *Reducer) sendProbes() {
	if r.now-r.lastProbe < probeInterval {
		return
	}
	r.lastProbe = r.now
	remaining, partition, servers := maxProbes, r.peers.group.partition(r.now), r.servers.sorted
	due := make([]bool, len(servers))
	for i, s := range servers {
		due[i] = r.shouldProbe(s, &partition)
	}
	first := r.nextProbe
	for n := range servers {
		i := (first + n) % len(servers)
		if !due[i] {
			continue
		}
		if remaining == 0 {
			break
		}
		remaining--
		r.nextProbe = i + 1
		s := servers[i]
		r.emit(Probe{
			Server: s.pb.Id, Incarnation: s.pb.Incarnation, Address: s.pb.Address,
			Services: s.pb.Services, Model: s.pb.Model,
		})
	}
}

func (r *Reducer) logServer(s *server, reason string) {
	r.emit(LogDecision{Kind: LogServer, Server: s.pb.Id, Version: s.pb.SoftwareVersion, Reason: reason, Figures: []Figure{
		{Name: "running_here", Value: float64(len(s.running))},
		{Name: "failures", Value: float64(s.failures)},
	}})
}
