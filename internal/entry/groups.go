package entry

import (
	"slices"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

const (
	// maxDirectPeers is the largest number of other entries that each get a backlog report
	// directly. Each report is one call to each of them, so larger deployments form groups.
	maxDirectPeers = 16
	// groupSize is how many entries report to one aggregator. With more, the aggregator lacks
	// the processor time for them. With fewer, there are too many aggregators that report to
	// each other.
	groupSize = 20
	// maxTimeouts is how many requests in a row an aggregator may leave unanswered before its
	// group members turn to another one. A lower bound would move all members away from an
	// aggregator that is merely busy, and the next one would be overloaded in turn.
	maxTimeouts = 3
	// aggregatorAvoidance is how long an aggregator that timed out is avoided.
	aggregatorAvoidance = 2 * time.Second
	// firstTimeoutBackoff is how long no sum is requested after the first timeout. It doubles
	// with each further timeout.
	firstTimeoutBackoff = 50 * time.Millisecond
	// urgentPrefillTime is how much prefill time the members must have begun for their
	// aggregator to report it to the other aggregators at once. A long prompt delays everything
	// behind it by hundreds of milliseconds. Short prompts do not.
	urgentPrefillTime = 100 * time.Millisecond
)

// group distributes backlog reports among more entries than can report to each other directly.
//
// With many entries and many engines, each engine sees only a few requests a second. An entry on
// its own would get an engine's load every few seconds and choose by old loads, so that some
// engines would get far more than others. In each data centre some entries, the same in all views, are
// therefore aggregators. The other entries report to one of them, aggregators exchange the sums,
// and an entry requests the sum of all others from its aggregator just before it chooses a
// server. Between data centres a report is sent once to each aggregator instead of once to each
// entry.
type group struct {
	// formed is set if entries report by groups, isAggregator if this entry is an aggregator.
	formed, isAggregator bool
	// aggregators holds the names of all aggregators.
	aggregators map[string]bool
	// otherAggregators are the addresses of the other aggregators.
	otherAggregators []string
	// aggregatorsByDataCentre holds the names of the aggregators of each data centre,
	// allAggregators those of all data centres in order. ownName is the name of this entry.
	aggregatorsByDataCentre map[string][]string
	allAggregators          []string
	ownName                 string
	// candidates are the aggregators that this entry may report to, best first.
	candidates []aggregator
	// avoidUntil tells until when aggregators that timed out are avoided, by address. timeouts
	// counts the requests in a row that the current one has left unanswered, backoffUntil is when
	// it may be asked again.
	avoidUntil   map[string]time.Duration
	timeouts     int
	backoffUntil time.Duration
	// prefixes are the prompt prefixes that servers were recently seen to prefill, for group
	// members that ask.
	prefixes prefixLog
	// sumSource is the aggregator of the last sum, sumCount counts the sums.
	sumSource string
	sumCount  uint64
	// sumRequestedAt is when a sum was last requested because work waits.
	sumRequestedAt time.Duration
}

// aggregator identifies an aggregator to its group members.
type aggregator struct{ name, address string }

// choose selects the aggregators for a new view. They are the first of their data centre by a
// hash of their name, so that all entries select the same ones and few change when an entry
// comes or goes.
func (g *group) choose(entries []*entryState, self *pb.EntryIdentity) {
	g.formed = len(entries) > maxDirectPeers+1
	g.isAggregator, g.otherAggregators, g.candidates, g.allAggregators, g.ownName = false, nil, nil, nil, self.GetName()
	g.aggregators, g.aggregatorsByDataCentre = make(map[string]bool), make(map[string][]string)
	if !g.formed {
		return
	}
	byDataCentre := make(map[string][]*pb.EntryIdentity)
	for _, e := range entries {
		if id := e.info.GetIdentity(); !e.info.GetLeaving() && id.GetPeerAddress() != "" {
			byDataCentre[id.GetDataCentre()] = append(byDataCentre[id.GetDataCentre()], id)
		}
	}
	var local, remote []*pb.EntryIdentity
	for _, dc := range sortedKeys(byDataCentre) {
		list := byDataCentre[dc]
		sortByHash(list, aggregatorKey)
		list = list[:(len(list)+groupSize-1)/groupSize]
		for _, id := range list {
			g.aggregatorsByDataCentre[dc] = append(g.aggregatorsByDataCentre[dc], id.GetName())
			g.allAggregators = append(g.allAggregators, id.GetName())
		}
		if dc == self.GetDataCentre() {
			local = list
		} else {
			remote = append(remote, list...)
		}
	}
	for _, id := range slices.Concat(local, remote) {
		g.aggregators[id.GetName()] = true
		if id.GetName() == self.GetName() {
			g.isAggregator = true
			continue
		}
		g.otherAggregators = append(g.otherAggregators, id.GetPeerAddress())
	}
	sortByHash(local, self.GetName())
	sortByHash(remote, self.GetName())
	for _, id := range slices.Concat(local, remote) {
		g.candidates = append(g.candidates, aggregator{id.GetName(), id.GetPeerAddress()})
	}
}

// updateGroups forms the groups of a new view. If this entry's part in them changes, it drops
// all reports received so far: a sum and the reports that it contains would count twice.
func (r *Reducer) updateGroups() {
	g := &r.peers.group
	formed, aggregated := g.formed, g.isAggregator
	g.choose(r.view.sortedEntries(), r.cfg.Identity)
	if g.formed != formed || g.isAggregator != aggregated {
		r.peers.reports, g.sumSource = decision.NewPeerReports(), ""
		r.peers.changePending = true
	}
}

// aggregatorKey is the hash key by which aggregators are selected.
const aggregatorKey = "aggregator"

// sortByHash sorts entries by the hash of their name with the key.
func sortByHash(list []*pb.EntryIdentity, key string) {
	slices.SortFunc(list, func(a, b *pb.EntryIdentity) int {
		return compareByHash(EntryWeight{Name: a.GetName()}, EntryWeight{Name: b.GetName()}, key)
	})
}

// aggregator returns the aggregator that this entry reports to and asks, nil for none.
func (g *group) aggregator(now time.Duration) *aggregator {
	if !g.isGroupMember() {
		return nil
	}
	for i, a := range g.candidates {
		if now >= g.avoidUntil[a.address] {
			return &g.candidates[i]
		}
	}
	return nil
}

// aggregatorAddress returns that aggregator's address, empty for none.
func (g *group) aggregatorAddress(now time.Duration) string {
	if a := g.aggregator(now); a != nil {
		return a.address
	}
	return ""
}

// isGroupMember reports whether this entry reports to an aggregator.
func (g *group) isGroupMember() bool { return g.formed && !g.isAggregator }

func (g *group) reportTargets(now time.Duration) []string {
	if g.isAggregator {
		return g.otherAggregators
	}
	if a := g.aggregator(now); a != nil {
		return []string{a.address}
	}
	return nil
}

// groupReportInterval is the time from the last report to the next one within groups.
func (p *peerBacklogs) groupReportInterval() time.Duration {
	switch {
	case p.group.isAggregator && p.prefillChange >= urgentPrefillTime:
		return minPeerReportInterval
	case p.group.isAggregator && (p.sendPending || p.changePending):
		return aggregatorReportInterval
	case p.sendPending:
		return sentReportInterval
	case p.changePending:
		return endReportInterval
	case p.reportedAny:
		return peerReportRepeat
	default:
		return idleReportInterval
	}
}

// reportValidity is how long a report of these servers is valid.
func (g *group) reportValidity(servers []*pb.ServerBacklog) time.Duration {
	if g.formed && len(servers) == 0 {
		return decision.IdlePeerReportTTL
	}
	return decision.PeerReportTTL
}
