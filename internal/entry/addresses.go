package entry

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
)

const (
	weightsEvery = time.Second
	// minWeight keeps a full or new entry reachable.
	minWeight = 0.1
	// announceEntries is how many entries a server announces to, each in
	// another data centre where there are enough.
	announceEntries = 3
	// announceEvery is how often a server announces itself.
	announceEvery = time.Second
	// slowAnnounceEvery takes its place in large fleets. With reports every
	// 2 s it leaves room in control's lease of 5 s for one that is lost.
	slowAnnounceEvery = 1500 * time.Millisecond
	// maxHeard is how many announcements a second an entry is to hear. Each
	// costs it some 0.02% of a core, of the 1.1% that control may cost a node.
	maxHeard = 16
)

// EntryWeight is one entry as callers and servers are told of it.
type EntryWeight struct {
	Name        string
	Incarnation string
	Address     string
	PeerAddress string
	DataCentre  string
	Leaving     bool
	// IsAggregator tells that it sums up the reports of others.
	IsAggregator bool
	// Weight is its share of callers against others of its data centre.
	Weight float64
}

// refreshWeights publishes weights again as loads and ramps change.
func (r *Reducer) refreshWeights() {
	if r.now-r.lastWeights >= weightsEvery {
		r.lastWeights, r.dirty = r.now, true
	}
}

func (r *Reducer) publish() {
	if !r.dirty {
		return
	}
	r.dirty = false
	v := &r.view
	s := &Snapshot{
		Declaration: v.declaration, Members: v.members, Routes: v.routes, ViewVersion: v.version,
		Revision: v.revision, Control: v.control,
		Leaving: r.leaving, Drained: make(map[string]bool), Servers: len(r.servers.sorted), Load: r.loadShare(),
		Aggregator: r.peers.group.aggregatorAddress(r.now), AskAggregatorFrom: r.peers.group.pauseUntil,
		LeaseExpiring: r.unsure(),
	}
	for _, e := range v.sortedEntries() {
		s.Entries = append(s.Entries, r.weigh(e))
	}
	for _, server := range r.servers.sorted {
		if server.pb.Drained {
			s.Drained[server.pb.Id] = true
		}
	}
	s.UnavailableUntil = r.closedLives()
	r.emit(Publish{Snapshot: s})
}

// closedLives has until when lives of servers want nothing.
func (r *Reducer) closedLives() map[string]time.Duration {
	closed := make(map[string]time.Duration)
	for _, s := range r.servers.sorted {
		switch {
		case s.wants.Leaving:
			closed[s.pb.Incarnation] = math.MaxInt64
		case s.wants.BackingOff(r.now):
			closed[s.pb.Incarnation] = s.wants.BackoffUntil()
		}
	}
	return closed
}

func (r *Reducer) loadShare() float64 {
	return float64(len(r.requests)) / float64(max(1, r.cfg.MaxStreams))
}

// weigh gives an entry its free share. One that came back gets little at first:
// with its full weight, as the least loaded, it would draw all callers whose
// answers run out then.
func (r *Reducer) weigh(e *entryState) EntryWeight {
	id := e.info.Identity
	load, leaving := e.info.Load, e.info.Leaving
	if id.Name == r.cfg.Identity.Name && id.Incarnation == r.cfg.Identity.Incarnation {
		load, leaving = r.loadShare(), r.leaving
	}
	ramp := min(1, float64(r.now-e.since)/float64(rampTime))
	return EntryWeight{
		Name: id.Name, Incarnation: id.Incarnation, Address: id.CallerAddress,
		PeerAddress: id.PeerAddress, DataCentre: id.DataCentre, Leaving: leaving,
		IsAggregator: r.peers.group.aggregators[id.Name],
		Weight:       max(minWeight, (1-load)*ramp),
	}
}

// AddressesFor gives the entries for callers of a data centre, best first: its
// own by weight, then the others as a fallback. Leaving entries are left out, and those that
// sum up others' reports where there are others: each choice of twenty entries waits for one.
func (s *Snapshot) AddressesFor(dataCentre string) []EntryWeight {
	list := s.entriesWhere(func(e EntryWeight) bool { return !e.Leaving && !e.IsAggregator })
	if len(list) == 0 {
		list = s.entriesWhere(func(e EntryWeight) bool { return !e.Leaving })
	}
	slices.SortStableFunc(list, func(a, b EntryWeight) int {
		return cmp.Or(
			cmp.Compare(rank(a, dataCentre), rank(b, dataCentre)),
			cmp.Compare(b.Weight, a.Weight),
		)
	})
	return list
}

func (s *Snapshot) entriesWhere(wanted func(EntryWeight) bool) []EntryWeight {
	var list []EntryWeight
	for _, e := range s.Entries {
		if wanted(e) {
			list = append(list, e)
		}
	}
	return list
}

func rank(e EntryWeight, dataCentre string) int {
	if e.DataCentre == dataCentre {
		return 0
	}
	return 1
}

// AnnounceAnswer tells a backend server which entries to announce to and
// whether to leave. Rendezvous hashing spreads the servers over the entries and
// moves few when an entry comes or goes.
func (s *Snapshot) AnnounceAnswer(serverID string) engineapi.AnnounceAnswer {
	answer := engineapi.AnnounceAnswer{
		IntervalMS: uint32(s.announceInterval().Milliseconds()), Entries: []string{}, Leave: s.Drained[serverID],
	}
	for _, e := range s.SelectEntries(serverID, announceEntries, "") {
		answer.Entries = append(answer.Entries, e.Address)
	}
	return answer
}

// announceInterval grows with the servers that an entry hears.
func (s *Snapshot) announceInterval() time.Duration {
	heard := float64(s.Servers*announceEntries) / float64(max(1, len(s.Entries)))
	wanted := time.Duration(heard / maxHeard * float64(time.Second))
	return min(max(wanted, announceEvery), slowAnnounceEvery)
}

// SelectEntries gives up to n entries that stay, ordered by the hash of key: first the
// best of each data centre, then the rest; none of the data centre avoid.
func (s *Snapshot) SelectEntries(key string, n int, avoid string) []EntryWeight {
	list := make([]EntryWeight, 0, len(s.Entries))
	for _, e := range s.Entries {
		if !e.Leaving && (avoid == "" || e.DataCentre != avoid) {
			list = append(list, e)
		}
	}
	slices.SortFunc(list, func(a, b EntryWeight) int {
		return compareScore(a, b, key)
	})
	var first, rest []EntryWeight
	seen := make(map[string]bool)
	for _, e := range list {
		if seen[e.DataCentre] {
			rest = append(rest, e)
			continue
		}
		seen[e.DataCentre] = true
		first = append(first, e)
	}
	all := append(first, rest...)
	return all[:min(n, len(all))]
}

// compareScore orders entries by the hash of their name with the key, the highest first.
func compareScore(a, b EntryWeight, key string) int {
	return cmp.Or(cmp.Compare(score(b, key), score(a, key)), cmp.Compare(a.Name, b.Name))
}

func score(e EntryWeight, key string) uint64 { return xxhash.Sum64String(e.Name + "\x00" + key) }
