package entry

import (
	"slices"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

const (
	// maxDirectPeers is how many other entries are told of backlogs one by one: each report is
	// a call to each of them. Where there are more, entries form groups.
	maxDirectPeers = 16
	// groupMembers is how many entries report to one aggregator: with more it has too little
	// processor for its members, with fewer the aggregators for each other.
	groupMembers = 20
	// mostSilences is how many questions in a row an aggregator may leave unanswered before
	// another one is asked, which the first one's members then all do: one that is merely
	// busy must not lose them, or the next is busy too.
	mostSilences = 3
	// avoidAggregator is how long such an aggregator is passed by.
	avoidAggregator = 2 * time.Second
	// pauseAfterSilence is how long nothing is asked after the first unanswered question;
	// each further one doubles it.
	pauseAfterSilence = 50 * time.Millisecond
	// longNews is how much reading members must have begun for an aggregator to tell the
	// others at once. A long prompt holds up all that comes behind it for hundreds of
	// milliseconds; of short ones none does.
	longNews = 100 * time.Millisecond
)

// group is how reports go among more entries than can tell each other directly.
//
// It answers many entries before many engines, each seeing a few requests a second: on its
// own an entry hears of an engine every few seconds, chooses blindly, and some engines
// get far more than others. In each data centre some entries, the same ones in all views, are
// aggregators: members report to one of them, aggregators tell each other the sums, and an
// entry asks its aggregator for the sum of all others just before it chooses. A report
// crosses data centres once for each aggregator there, not once for each entry.
type group struct {
	// formed is set where entries report by groups; aggregates, that this one sums up.
	formed, aggregates bool
	// aggregators holds the names of all of them.
	aggregators map[string]bool
	// others are the addresses of the other aggregators.
	others []string
	// inDataCentre are the names of the aggregators of each data centre, all those of all of
	// them in order, self the name of this entry.
	inDataCentre map[string][]string
	all          []string
	self         string
	// choices are the aggregators that this entry may report to, the best first.
	choices []aggregator
	// silentUntil is how long aggregators that gave no answers are passed by, silences how
	// many questions in a row the one in use has left unanswered, pauseUntil when it is
	// asked again.
	silentUntil map[string]time.Duration
	silences    int
	pauseUntil  time.Duration
	// reads are the parts that servers were seen to read lately, for members that ask.
	reads readLog
	// from is the aggregator of the last sum, sums counts them.
	from string
	sums uint64
	// askedAt is when the last sum was asked for because work waits.
	askedAt time.Duration
}

// aggregator is one as its members know it.
type aggregator struct{ name, address string }

// form chooses the aggregators anew. They are the first of their data centre by a hash of
// their name, so that all entries choose alike and few change when an entry comes or goes.
func (g *group) form(entries []*entryState, self *pb.EntryIdentity) {
	g.formed = len(entries) > maxDirectPeers+1
	g.aggregates, g.others, g.choices, g.all, g.self = false, nil, nil, nil, self.GetName()
	g.aggregators, g.inDataCentre = make(map[string]bool), make(map[string][]string)
	if !g.formed {
		return
	}
	byDataCentre := make(map[string][]*pb.EntryIdentity)
	for _, e := range entries {
		if id := e.info.GetIdentity(); !e.info.GetLeaving() && id.GetPeerAddress() != "" {
			byDataCentre[id.GetDataCentre()] = append(byDataCentre[id.GetDataCentre()], id)
		}
	}
	var near, far []*pb.EntryIdentity
	for _, dc := range sortedKeys(byDataCentre) {
		list := byDataCentre[dc]
		sortByHash(list, aggregatorKey)
		list = list[:(len(list)+groupMembers-1)/groupMembers]
		for _, id := range list {
			g.inDataCentre[dc] = append(g.inDataCentre[dc], id.GetName())
			g.all = append(g.all, id.GetName())
		}
		if dc == self.GetDataCentre() {
			near = list
		} else {
			far = append(far, list...)
		}
	}
	for _, id := range slices.Concat(near, far) {
		g.aggregators[id.GetName()] = true
		if id.GetName() == self.GetName() {
			g.aggregates = true
			continue
		}
		g.others = append(g.others, id.GetPeerAddress())
	}
	sortByHash(near, self.GetName())
	sortByHash(far, self.GetName())
	for _, id := range slices.Concat(near, far) {
		g.choices = append(g.choices, aggregator{id.GetName(), id.GetPeerAddress()})
	}
}

// regroup takes the groups of a new view. What was heard in another part is dropped: a sum
// and the reports in it would count twice.
func (r *Reducer) regroup() {
	g := &r.peers.group
	formed, aggregated := g.formed, g.aggregates
	g.form(r.view.sortedEntries(), r.cfg.Identity)
	if g.formed != formed || g.aggregates != aggregated {
		r.peers.heard, g.from = decision.NewPeerReports(), ""
		r.peers.changed = true
	}
}

// aggregatorKey is the key by whose hash aggregators are chosen.
const aggregatorKey = "aggregator"

// sortByHash sorts entries by the hash of their name with the key.
func sortByHash(list []*pb.EntryIdentity, key string) {
	slices.SortFunc(list, func(a, b *pb.EntryIdentity) int {
		return compareScore(EntryWeight{Name: a.GetName()}, EntryWeight{Name: b.GetName()}, key)
	})
}

// aggregator is the one that this entry reports to and asks; nil for none.
func (g *group) aggregator(now time.Duration) *aggregator {
	if !g.isMember() {
		return nil
	}
	for i, a := range g.choices {
		if now >= g.silentUntil[a.address] {
			return &g.choices[i]
		}
	}
	return nil
}

// aggregatorAddress is where it is reached; empty for none.
func (g *group) aggregatorAddress(now time.Duration) string {
	if a := g.aggregator(now); a != nil {
		return a.address
	}
	return ""
}

// isMember tells whether this entry is a member that reports to an aggregator.
func (g *group) isMember() bool { return g.formed && !g.aggregates }

func (g *group) reportTo(now time.Duration) []string {
	if g.aggregates {
		return g.others
	}
	if a := g.aggregator(now); a != nil {
		return []string{a.address}
	}
	return nil
}

// groupWait is how long after the last report the next one is due in a group.
func (p *peerBacklogs) groupWait() time.Duration {
	switch {
	case p.group.aggregates && p.news >= longNews:
		return peerReportEvery
	case p.group.aggregates && (p.sent || p.changed):
		return aggregatorReportEvery
	case p.sent:
		return sentReportEvery
	case p.changed:
		return endReportEvery
	case p.anything:
		return peerReportAgain
	default:
		return idleReportAgain
	}
}

// validFor is how long a report of these servers counts.
func (g *group) validFor(servers []*pb.ServerBacklog) time.Duration {
	if g.formed && len(servers) == 0 {
		return decision.IdlePeerReportTTL
	}
	return decision.PeerReportTTL
}
