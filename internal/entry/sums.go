package entry

import (
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// askAgainEvery is how old a sum may be while work waits for a place.
const askAgainEvery = 100 * time.Millisecond

// groupBacklogs adds what members have reported to this aggregator's own backlogs, and
// counts the members.
func (r *Reducer) groupBacklogs(own []*pb.ServerBacklog) ([]*pb.ServerBacklog, int) {
	sums, members := r.peers.heard.SumSingleEntry(r.now)
	return withOwn(sums, own), members
}

// withOwn adds own backlogs to the sums, in order of server.
func withOwn(sums map[string]decision.Backlog, own []*pb.ServerBacklog) []*pb.ServerBacklog {
	for server, b := range backlogsOf(own) {
		sum := sums[server]
		sum.Merge(b)
		sums[server] = sum
	}
	list := make([]*pb.ServerBacklog, 0, len(sums))
	for _, server := range sortedKeys(sums) {
		list = append(list, backlogProto(server, sums[server]))
	}
	return list
}

// sumAsked answers a member that is about to choose. An entry that is no aggregator by its
// own view knows too little, and says so: the member asks another one.
func (r *Reducer) sumAsked(ev SumRequested) {
	p := &r.peers
	if !p.group.aggregates || ev.Request.GetClusterId() != r.cfg.Cluster {
		r.emit(AnswerSum{Key: ev.Key})
		return
	}
	sums, entries := p.heard.SumExcept(r.now, ev.Request.GetEntry())
	from := ev.Request.GetReadsFrom()
	if ev.Request.GetAggregator() != r.cfg.Identity.GetIncarnation() {
		from = 0
	}
	reads, next := p.group.reads.since(from)
	sum := &pb.PeerSum{
		Aggregator: r.cfg.Identity.GetName(), Incarnation: r.cfg.Identity.GetIncarnation(),
		Entries: uint32(entries + 1), Servers: withOwn(sums, r.backlogs()), Reads: reads, ReadsNext: next,
		Died: r.allDeaths(), Words: r.allLimits(), Leaving: r.allLeaving(),
	}
	if ev.Request.GetWantAlive() {
		sum.Alive = r.words()
	}
	r.emit(AnswerSum{Key: ev.Key, Sum: sum})
}

// sumHeard takes the aggregator's sum in the place of all that was heard before.
func (r *Reducer) sumHeard(ev SumReceived) {
	g := &r.peers.group
	sum := ev.Sum
	if !g.isMember() {
		return
	}
	if g.from != sum.GetAggregator() {
		r.peers.heard = decision.NewPeerReports()
		g.from = sum.GetAggregator()
	}
	g.sums++
	g.silences = 0
	r.peers.heard.Add(r.now, sum.GetAggregator(), decision.PeerReport{
		Sequence: g.sums, Entries: int(sum.GetEntries()), TTL: decision.PeerReportTTL,
		Servers: backlogsOf(sum.GetServers()),
	})
	for _, read := range sum.GetReads() {
		r.decide.picker.RecordCachedBlocks(r.now, read.GetServer(), read.GetChain())
	}
	r.heardDied(sum.GetDied(), false)
	r.heardAlive(sum.GetAlive(), ev.SentAt, false)
	r.heardLimits(sum.GetWords(), false)
	r.heardOthersLeaving(sum.GetLeaving(), false)
	r.sharedFleet = nil
	r.startWaiting()
}

// aggregatorSilent waits a little before the aggregator is asked again, and passes it by
// after some silences.
//
// Failure: an aggregator that is busy for a moment answers late. If its members went to
// another one at once, that one would be busy next, and all entries would ask in turn and
// learn nothing.
func (r *Reducer) aggregatorSilent(ev AggregatorTimedOut) {
	g := &r.peers.group
	if g.aggregatorAddress(r.now) != ev.Address {
		return
	}
	g.pauseUntil = r.now + pauseAfterSilence<<g.silences
	g.silences++
	r.dirty = true
	if g.silences < mostSilences {
		return
	}
	g.silences, g.pauseUntil = 0, 0
	if g.silentUntil == nil {
		g.silentUntil = make(map[string]time.Duration)
	}
	g.silentUntil[ev.Address] = r.now + avoidAggregator
	r.peers.changed = true
	r.emit(LogDecision{Kind: LogPeers, Reason: "the aggregator gave no answers; another one is asked", Server: ev.Address})
}

// refreshSum asks for a new sum while work waits for a place: the last one grows old, and
// what has become free is not in it.
func (r *Reducer) refreshSum() {
	g := &r.peers.group
	if r.decide.queue.Len() == 0 || r.now-g.askedAt < askAgainEvery || g.aggregator(r.now) == nil {
		return
	}
	g.askedAt = r.now
	r.emit(RequestSum{})
}
