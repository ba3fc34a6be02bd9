package entry

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

const (
	// unsureBefore is how long before control's word runs out entries begin to tell each other
	// of servers' own words: two polls of control have failed by then.
	unsureBefore = 700 * time.Millisecond
	// deathToldFor is how long a death is told to those that ask.
	deathToldFor = 2 * time.Second
	// peerDeathFor is how long a server gets no new work for a death that another entry has
	// seen. One that is alive after all is tried again then, by one entry for all others.
	peerDeathFor = 3 * time.Second
	// probeAfter is how old the last word of a server may be before an aggregator asks it.
	probeAfter = 200 * time.Millisecond
)

// liveness is what entries in groups tell each other of servers.
//
// It answers an absence of control before hundreds of entries. Each of them would have to
// ask each server by itself twice a second, and find each crashed one by a failed attempt of
// its own. Together they hear most servers some times a second in the answers to their
// requests; an aggregator asks only for the rest.
//
// Invariant: a word passed on counts from when its server gave it, as far as ages tell, and
// never longer than one that was heard directly (confirmFor). A server's word that it leaves
// is final for its incarnation.
type liveness struct {
	// deaths are those that were seen lately, the oldest first.
	deaths []death
	// unsure is what was published last of unsure.
	unsure bool
}

// death is the end of a life of a server; told is set once other entries were told.
type death struct {
	server string
	hash   uint64
	at     time.Duration
	told   bool
}

// unsure tells whether control's word has run out or soon will.
func (r *Reducer) unsure() bool { return r.now >= r.view.leaseUntil-unsureBefore }

// noteUnsure publishes that control's word is about to run out, or is in force again.
func (r *Reducer) noteUnsure() {
	if unsure := r.unsure(); unsure != r.peers.live.unsure {
		r.peers.live.unsure, r.dirty = unsure, true
	}
}

// noteDeath keeps a death that this entry or a member has seen, to be told at once.
func (r *Reducer) noteDeath(server string, hash uint64, at time.Duration) {
	p := &r.peers
	if !p.group.formed {
		return
	}
	for _, d := range p.live.deaths {
		if d.server == server && d.hash == hash {
			return
		}
	}
	p.live.deaths = append(p.live.deaths, death{server: server, hash: hash, at: at})
	p.sent = true
}

// expireDeaths drops those that are told no more.
func (l *liveness) expireDeaths(now time.Duration) {
	old := 0
	for old < len(l.deaths) && now-l.deaths[old].at >= deathToldFor {
		old++
	}
	l.deaths = l.deaths[old:]
}

// newDeaths gives those that no report has told of yet.
func (r *Reducer) newDeaths() []*pb.ServerDied {
	var list []*pb.ServerDied
	for i := range r.peers.live.deaths {
		if d := &r.peers.live.deaths[i]; !d.told {
			d.told = true
			list = append(list, d.proto(r.now))
		}
	}
	return list
}

// allDeaths gives those of the last moments.
func (r *Reducer) allDeaths() []*pb.ServerDied {
	list := make([]*pb.ServerDied, 0, len(r.peers.live.deaths))
	for i := range r.peers.live.deaths {
		list = append(list, r.peers.live.deaths[i].proto(r.now))
	}
	return list
}

func (d *death) proto(now time.Duration) *pb.ServerDied {
	return &pb.ServerDied{Server: d.server, IncarnationHash: d.hash, AgeMs: uint32((now - d.at).Milliseconds())}
}

// heardDied keeps new work off servers that other entries saw die. pass tells that others
// are to be told.
func (r *Reducer) heardDied(list []*pb.ServerDied, pass bool) {
	for _, told := range list {
		at := r.now - ageOf(told.GetAgeMs())
		if pass {
			r.noteDeath(told.GetServer(), told.GetIncarnationHash(), at)
		}
		s := r.servers.lifeByHash(told.GetServer(), told.GetIncarnationHash())
		if s == nil || s.aliveAt >= at || s.coolUntil >= at+peerDeathFor {
			continue
		}
		s.coolUntil = at + peerDeathFor
		r.sharedFleet = nil
		r.logServer(s, "another entry saw it die")
	}
}

// newWords gives the servers' own words that no report has told of yet, while control's word
// runs out.
func (r *Reducer) newWords() []*pb.ServerAlive {
	if !r.unsure() {
		return nil
	}
	var list []*pb.ServerAlive
	for _, s := range r.servers.sorted {
		if s.wordIsNew && s.confirmed(r.now) && !s.wants.Leaving {
			s.wordIsNew = false
			list = append(list, s.aliveProto(r.now))
		}
	}
	return list
}

// words gives all servers' own words that still count.
func (r *Reducer) words() []*pb.ServerAlive {
	var list []*pb.ServerAlive
	for _, s := range r.servers.sorted {
		if s.confirmed(r.now) && !s.wants.Leaving {
			list = append(list, s.aliveProto(r.now))
		}
	}
	return list
}

func (s *server) aliveProto(now time.Duration) *pb.ServerAlive {
	return &pb.ServerAlive{
		Server: s.pb.Id, IncarnationHash: s.lifeHash(), AgeMs: uint32((now - s.ownAt).Milliseconds()),
	}
}

// heardAlive takes words that other entries heard of servers, which were sent at that time
// or later. pass tells that others are to be told.
func (r *Reducer) heardAlive(list []*pb.ServerAlive, sent time.Duration, pass bool) {
	for _, told := range list {
		s := r.servers.lifeByHash(told.GetServer(), told.GetIncarnationHash())
		at := sent - ageOf(told.GetAgeMs())
		if s == nil || at <= s.ownAt {
			continue
		}
		s.ownState, s.ownAt, s.wordIsNew = engineapi.StateServing, at, pass
		r.sharedFleet = nil
	}
}

func ageOf(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }

// lifeHash stands for the server's life in what entries tell each other.
func (s *server) lifeHash() uint64 { return xxhash.Sum64String(s.pb.Incarnation) }

// lifeByHash gives the server if the incarnation in force has that hash, else nil.
func (t *serverTable) lifeByHash(id string, hash uint64) *server {
	s := t.byID[id]
	if s == nil || s.lifeHash() != hash {
		return nil
	}
	return s
}

// probes tells whether this entry asks the server for its own word. Without groups each
// entry asks all. In groups an aggregator asks those that were dealt to it and gave no word
// lately; a member asks only while no aggregator tells it.
//
// All servers are dealt, also those that are not asked: another aggregator may not know that
// one of them failed, and would deal those after it to others than this one does.
func (r *Reducer) probes(s *server, deal *dealer) bool {
	g := &r.peers.group
	own := deal.groupOf(s.pb) == deal.own
	switch {
	case s.wants.Leaving, s.wants.BackingOff(r.now):
		return false
	case s.failures > 0:
		return true
	case !r.stale():
		return false
	case g.aggregates:
		return own && r.now-s.ownAt >= probeAfter
	case g.isMember():
		return g.aggregator(r.now) == nil || r.now < g.pauseUntil
	default:
		return true
	}
}
