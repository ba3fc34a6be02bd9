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
	weightRefreshInterval = time.Second
	// minWeight keeps a full or newly started entry reachable.
	minWeight = 0.1
	// announceFanout is how many entries a server announces to, each in a different data centre
	// where there are enough of them.
	announceFanout = 3
	// minAnnounceInterval is how often a server announces itself in small fleets.
	minAnnounceInterval = time.Second
	// maxAnnounceInterval applies in large fleets. Together with the reports that entries send
	// every 2 s it leaves room for one lost report within control's lease of 5 s.
	maxAnnounceInterval = 1500 * time.Millisecond
	// maxAnnouncementsPerSecond is the announcement rate that one entry should receive. Each
	// announcement costs about 0.02% of a core, out of the 1.1% of a core that the control plane
	// may cost a node.
	maxAnnouncementsPerSecond = 16
)

// EntryWeight describes one entry to callers and servers.
type EntryWeight struct {
	Name        string
	Incarnation string
	Address     string
	PeerAddress string
	DataCentre  string
	Leaving     bool
	// CutOff is set if no server answers the entry.
	CutOff bool
	// IsAggregator is set if the entry sums up the reports of other entries.
	IsAggregator bool
	// Weight is the entry's share of callers relative to the others of its data centre.
	Weight float64
}

// refreshWeights publishes the weights again, since loads and ramp-ups change over time.
func (r *Reducer) refreshWeights() {
	if r.now-r.lastWeightRefresh >= weightRefreshInterval {
		r.lastWeightRefresh, r.dirty = r.now, true
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
		Revision: v.revision, ViewFrom: v.receivedFrom, Control: v.control,
		Leaving: r.stop.stopping, Stop: r.stop, Drained: make(map[string]bool), Servers: len(r.servers.sorted), Builds: r.servers.builds, Load: r.loadShare(),
		Aggregator: r.peers.group.aggregatorAddress(r.now), AskAggregatorFrom: r.peers.group.backoffUntil,
		LeaseExpiring: r.leaseExpiring(),
	}
	for _, e := range v.sortedEntries() {
		s.Entries = append(s.Entries, r.entryWeight(e))
	}
	for _, server := range r.servers.sorted {
		if server.pb.Drained {
			s.Drained[server.pb.Id] = true
		}
	}
	s.UnavailableUntil = r.unavailableUntil()
	s.CutOff, s.Isolated = r.cutOffPools()
	r.emit(Publish{Snapshot: s})
}

// unavailableUntil returns until when server incarnations accept no requests. Incarnations that
// accept requests are left out.
func (r *Reducer) unavailableUntil() map[string]time.Duration {
	until := make(map[string]time.Duration)
	for _, s := range r.servers.sorted {
		switch {
		case s.backpressure.Leaving:
			until[s.pb.Incarnation] = math.MaxInt64
		case s.backpressure.BackingOff(r.now):
			until[s.pb.Incarnation] = s.backpressure.BackoffUntil()
		}
	}
	return until
}

func (r *Reducer) loadShare() float64 {
	return float64(len(r.requests)) / float64(max(1, r.cfg.MaxStreams))
}

// entryWeight weights an entry by its free capacity. An entry that has restarted gets a small
// weight at first: as the least loaded entry it would otherwise attract all callers that resolve
// addresses at that time.
func (r *Reducer) entryWeight(e *entryState) EntryWeight {
	id := e.info.Identity
	load, leaving := e.info.Load, e.info.Leaving
	if id.Name == r.cfg.Identity.Name && id.Incarnation == r.cfg.Identity.Incarnation {
		load, leaving = r.loadShare(), r.stop.stopping
	}
	ramp := min(1, float64(r.now-e.since)/float64(rampTime))
	return EntryWeight{
		Name: id.Name, Incarnation: id.Incarnation, Address: id.CallerAddress,
		PeerAddress: id.PeerAddress, DataCentre: id.DataCentre, Leaving: leaving, CutOff: e.info.CutOff,
		IsAggregator: r.peers.group.aggregators[id.Name],
		Weight:       max(minWeight, (1-load)*ramp),
	}
}

// AddressesFor returns the entries for callers of a data centre, best first: those of the data
// centre by weight, then the others as a fallback. Leaving entries are left out. So are
// aggregators as long as other entries exist: the placement decisions of up to twenty entries
// wait for an aggregator's answers. Entries that are cut off from all servers are left out as long
// as others exist.
func (s *Snapshot) AddressesFor(dataCentre string) []EntryWeight {
	list := s.filterEntries(func(e EntryWeight) bool { return !e.Leaving && !e.IsAggregator && !e.CutOff })
	if len(list) == 0 {
		list = s.filterEntries(func(e EntryWeight) bool { return !e.Leaving && !e.CutOff })
	}
	if len(list) == 0 {
		list = s.filterEntries(func(e EntryWeight) bool { return !e.Leaving })
	}
	slices.SortStableFunc(list, func(a, b EntryWeight) int {
		return cmp.Or(
			cmp.Compare(localityRank(a, dataCentre), localityRank(b, dataCentre)),
			cmp.Compare(b.Weight, a.Weight),
		)
	})
	return list
}

func (s *Snapshot) filterEntries(wanted func(EntryWeight) bool) []EntryWeight {
	var list []EntryWeight
	for _, e := range s.Entries {
		if wanted(e) {
			list = append(list, e)
		}
	}
	return list
}

func localityRank(e EntryWeight, dataCentre string) int {
	if e.DataCentre == dataCentre {
		return 0
	}
	return 1
}

// AnnounceAnswer tells a backend server which entries to announce to and whether to leave.
// Rendezvous hashing spreads the servers over the entries and moves few of them when an entry
// comes or goes.
func (s *Snapshot) AnnounceAnswer(serverID string) engineapi.AnnounceAnswer {
	answer := engineapi.AnnounceAnswer{
		IntervalMS: uint32(s.announceInterval().Milliseconds()), Entries: []string{}, Leave: s.Drained[serverID],
	}
	for _, e := range s.SelectEntries(serverID, announceFanout, "") {
		answer.Entries = append(answer.Entries, e.Address)
	}
	return answer
}

// announceInterval grows with the number of servers that announce to each entry.
func (s *Snapshot) announceInterval() time.Duration {
	announcements := float64(s.Servers*announceFanout) / float64(max(1, len(s.Entries)))
	interval := time.Duration(announcements / maxAnnouncementsPerSecond * float64(time.Second))
	return min(max(interval, minAnnounceInterval), maxAnnounceInterval)
}

// SelectEntries returns up to n entries that are not leaving, ordered by a rendezvous hash of
// key: first the best one of each data centre, then the rest. It skips the data centre avoid.
func (s *Snapshot) SelectEntries(key string, n int, avoid string) []EntryWeight {
	list := make([]EntryWeight, 0, len(s.Entries))
	for _, e := range s.Entries {
		if !e.Leaving && (avoid == "" || e.DataCentre != avoid) {
			list = append(list, e)
		}
	}
	slices.SortFunc(list, func(a, b EntryWeight) int {
		return compareByHash(a, b, key)
	})
	var firstPerDataCentre, rest []EntryWeight
	seen := make(map[string]bool)
	for _, e := range list {
		if seen[e.DataCentre] {
			rest = append(rest, e)
			continue
		}
		seen[e.DataCentre] = true
		firstPerDataCentre = append(firstPerDataCentre, e)
	}
	all := append(firstPerDataCentre, rest...)
	return all[:min(n, len(all))]
}

// OriginHolders returns the peer addresses of the entries that may hold where the stream with that key
// began, by a rendezvous hash: the aggregators if there are any, to which all entries have connections,
// else all entries. It leaves out the entry self and, unless they are wanted, entries that are leaving.
func (s *Snapshot) OriginHolders(key, self string, leaving bool) []string {
	grouped := slices.ContainsFunc(s.Entries, func(e EntryWeight) bool { return e.IsAggregator })
	var list []EntryWeight
	for _, e := range s.Entries {
		if e.Name != self && e.PeerAddress != "" && e.IsAggregator == grouped && (leaving || !e.Leaving) {
			list = append(list, e)
		}
	}
	slices.SortFunc(list, func(a, b EntryWeight) int { return compareByHash(a, b, key) })
	addresses := make([]string, len(list))
	for i := range list {
		addresses[i] = list[i].PeerAddress
	}
	return addresses
}

// TellsControl reports whether the entry self tells control's replicas itself where streams began. In
// large fleets the aggregators do, so that the replicas receive fewer and larger messages.
func (s *Snapshot) TellsControl(self string) bool {
	grouped := false
	for _, e := range s.Entries {
		if e.IsAggregator && e.Name == self {
			return true
		}
		grouped = grouped || e.IsAggregator
	}
	return !grouped
}

// compareByHash orders entries by the hash of their name with the key, highest first.
func compareByHash(a, b EntryWeight, key string) int {
	return cmp.Or(cmp.Compare(rendezvousHash(b, key), rendezvousHash(a, key)), cmp.Compare(a.Name, b.Name))
}

func rendezvousHash(e EntryWeight, key string) uint64 {
	return xxhash.Sum64String(e.Name + "\x00" + key)
}
