package entry

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

const (
	// leaseExpiryMargin is how long before the view's lease ends entries begin to exchange the
	// states that servers report. By then two polls of control have failed.
	leaseExpiryMargin = 700 * time.Millisecond
	// deathReportTime is how long a server's crash is contained in sums.
	deathReportTime = 2 * time.Second
	// peerDeathCoolDown is how long a server gets no new work after another entry reported its
	// crash. If the server is alive after all, it is then tried again by one entry on behalf of
	// all others.
	peerDeathCoolDown = 3 * time.Second
	// probeSilence is how old the last report of a server's state may be before an aggregator
	// probes the server.
	probeSilence = 200 * time.Millisecond
)

// liveness is what entries in groups tell each other about servers.
//
// It serves large deployments while control is down. Otherwise each of hundreds of entries would
// probe each server twice a second, and discover each crashed server by a failed attempt of its
// own. Together the entries hear of most servers several times a second through the responses to
// their requests, and an aggregator probes only the rest.
//
// Invariant: a forwarded state counts from when the server reported it, as far as the ages tell,
// and never longer than one received directly (confirmationTime). A server's report that it is
// leaving is final for its incarnation.
type liveness struct {
	// deaths are the recent crashes, oldest first.
	deaths []death
	// publishedExpiring is the last published value of leaseExpiring.
	publishedExpiring bool
}

// death is the end of a server incarnation. reported is set once other entries were told.
type death struct {
	server   string
	hash     uint64
	at       time.Duration
	reported bool
}

// leaseExpiring reports whether the view's lease has ended or soon will.
func (r *Reducer) leaseExpiring() bool { return r.now >= r.view.leaseUntil-leaseExpiryMargin }

// updateLeaseExpiring publishes a snapshot when the lease is about to end or is valid again.
func (r *Reducer) updateLeaseExpiring() {
	if expiring := r.leaseExpiring(); expiring != r.peers.liveness.publishedExpiring {
		r.peers.liveness.publishedExpiring, r.dirty = expiring, true
	}
}

// recordDeath keeps a crash that this entry or one of its group members observed, to be reported
// at once.
func (r *Reducer) recordDeath(server string, hash uint64, at time.Duration) {
	p := &r.peers
	if !p.group.formed {
		return
	}
	for _, d := range p.liveness.deaths {
		if d.server == server && d.hash == hash {
			return
		}
	}
	p.liveness.deaths = append(p.liveness.deaths, death{server: server, hash: hash, at: at})
	p.sendPending = true
}

// expireDeaths drops crashes that need not be reported any more.
func (l *liveness) expireDeaths(now time.Duration) {
	expired := 0
	for expired < len(l.deaths) && now-l.deaths[expired].at >= deathReportTime {
		expired++
	}
	l.deaths = l.deaths[expired:]
}

// unreportedDeaths returns the crashes that no report has contained yet.
func (r *Reducer) unreportedDeaths() []*pb.ServerDied {
	var list []*pb.ServerDied
	for i := range r.peers.liveness.deaths {
		if d := &r.peers.liveness.deaths[i]; !d.reported {
			d.reported = true
			list = append(list, d.proto(r.now))
		}
	}
	return list
}

// recentDeaths returns all recent crashes.
func (r *Reducer) recentDeaths() []*pb.ServerDied {
	list := make([]*pb.ServerDied, 0, len(r.peers.liveness.deaths))
	for i := range r.peers.liveness.deaths {
		list = append(list, r.peers.liveness.deaths[i].proto(r.now))
	}
	return list
}

func (d *death) proto(now time.Duration) *pb.ServerDied {
	return &pb.ServerDied{Server: d.server, IncarnationHash: d.hash, AgeMs: uint32((now - d.at).Milliseconds())}
}

// applyPeerDeaths keeps new work off servers that other entries saw crash. forward is set if
// this entry must report the crashes further.
func (r *Reducer) applyPeerDeaths(list []*pb.ServerDied, forward bool) {
	for _, item := range list {
		at := r.now - ageOf(item.GetAgeMs())
		if forward {
			r.recordDeath(item.GetServer(), item.GetIncarnationHash(), at)
		}
		s := r.servers.byIncarnationHash(item.GetServer(), item.GetIncarnationHash())
		if s == nil || s.aliveAt >= at || s.coolUntil >= at+peerDeathCoolDown {
			continue
		}
		s.coolUntil = at + peerDeathCoolDown
		r.sharedFleet = nil
		r.logServer(s, "another entry reported its crash")
	}
}

// unreportedAlive returns the servers that reported themselves serving and that no report has
// contained yet, while the lease is expiring.
func (r *Reducer) unreportedAlive() []*pb.ServerAlive {
	if !r.leaseExpiring() {
		return nil
	}
	var list []*pb.ServerAlive
	for _, s := range r.servers.sorted {
		if s.aliveUnreported && s.confirmed(r.now) && !s.backpressure.Leaving {
			s.aliveUnreported = false
			list = append(list, s.aliveProto(r.now))
		}
	}
	return list
}

// allAlive returns all servers whose own report of serving is recent enough to count.
func (r *Reducer) allAlive() []*pb.ServerAlive {
	var list []*pb.ServerAlive
	for _, s := range r.servers.sorted {
		if s.confirmed(r.now) && !s.backpressure.Leaving {
			list = append(list, s.aliveProto(r.now))
		}
	}
	return list
}

func (s *server) aliveProto(now time.Duration) *pb.ServerAlive {
	return &pb.ServerAlive{
		Server: s.pb.Id, IncarnationHash: s.incarnationHash(), AgeMs: uint32((now - s.ownStateAt).Milliseconds()),
	}
}

// applyPeerAlive applies reports of serving servers that other entries received. They were sent
// at sentAt or later. forward is set if this entry must report them further.
func (r *Reducer) applyPeerAlive(list []*pb.ServerAlive, sentAt time.Duration, forward bool) {
	for _, item := range list {
		s := r.servers.byIncarnationHash(item.GetServer(), item.GetIncarnationHash())
		at := sentAt - ageOf(item.GetAgeMs())
		if s == nil || at <= s.ownStateAt {
			continue
		}
		s.ownState, s.ownStateAt, s.aliveUnreported = engineapi.StateServing, at, forward
		r.sharedFleet = nil
	}
}

func ageOf(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }

// incarnationHash identifies the server's incarnation in messages between entries.
func (s *server) incarnationHash() uint64 { return xxhash.Sum64String(s.pb.Incarnation) }

// byIncarnationHash returns the server if its current incarnation has that hash, else nil.
func (t *serverTable) byIncarnationHash(id string, hash uint64) *server {
	s := t.byID[id]
	if s == nil || s.incarnationHash() != hash {
		return nil
	}
	return s
}

// shouldProbe reports whether this entry probes the server. Without groups each entry probes all
// servers. In groups an aggregator probes those assigned to it that reported no state recently.
// A group member probes only while it has no aggregator that answers.
//
// All servers are assigned, including those that are not probed. Another aggregator may not know
// that one of them failed, and would otherwise assign all servers after it differently.
func (r *Reducer) shouldProbe(s *server, partition *partition) bool {
	g := &r.peers.group
	own := partition.groupOf(s.pb) == partition.ownGroup
	switch {
	case s.backpressure.Leaving, s.backpressure.BackingOff(r.now):
		return false
	case s.failures > 0, r.reach.quiet[roleOf(s.pb).pool]:
		return true
	case !r.stale():
		return false
	case g.isAggregator:
		return own && r.now-s.ownStateAt >= probeSilence
	case g.isGroupMember():
		return g.aggregator(r.now) == nil || r.now < g.backoffUntil
	default:
		return true
	}
}
