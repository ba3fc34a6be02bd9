package entry

import (
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// sumRefreshInterval is how old a sum may be while work waits for a server.
const sumRefreshInterval = 100 * time.Millisecond

// groupBacklogs adds the backlogs reported by group members to this aggregator's own, and counts
// the members.
func (r *Reducer) groupBacklogs(own []*pb.ServerBacklog) ([]*pb.ServerBacklog, int) {
	sums, groupMembers := r.peers.reports.SumSingleEntry(r.now)
	return addBacklogs(sums, own), groupMembers
}

// addBacklogs adds own backlogs to the sums, in order of server.
func addBacklogs(sums map[string]decision.Backlog, own []*pb.ServerBacklog) []*pb.ServerBacklog {
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

// sumRequested answers a group member that is about to choose a server. An entry that is not an
// aggregator in its own view knows too little and says so. The member then asks another one.
func (r *Reducer) sumRequested(ev SumRequested) {
	p := &r.peers
	if !p.group.isAggregator || ev.Request.GetClusterId() != r.cfg.Cluster {
		r.emit(AnswerSum{Key: ev.Key})
		return
	}
	sums, entries := p.reports.SumExcept(r.now, ev.Request.GetEntry())
	from := ev.Request.GetReadsFrom()
	if ev.Request.GetAggregator() != r.cfg.Identity.GetIncarnation() {
		from = 0
	}
	prefixes, next := p.group.prefixes.since(from)
	sum := &pb.PeerSum{
		Aggregator: r.cfg.Identity.GetName(), Incarnation: r.cfg.Identity.GetIncarnation(),
		Entries: uint32(entries + 1), Servers: addBacklogs(sums, r.ownBacklogs()), Reads: prefixes, ReadsNext: next,
		Died: r.recentDeaths(), Words: r.allLimits(), Leaving: r.allLeaving(),
	}
	if ev.Request.GetWantAlive() {
		sum.Alive = r.allAlive()
	}
	r.emit(AnswerSum{Key: ev.Key, Sum: sum})
}

// sumReceived replaces everything received before by the aggregator's sum.
func (r *Reducer) sumReceived(ev SumReceived) {
	g := &r.peers.group
	sum := ev.Sum
	if !g.isGroupMember() {
		return
	}
	if g.sumSource != sum.GetAggregator() {
		r.peers.reports = decision.NewPeerReports()
		g.sumSource = sum.GetAggregator()
	}
	g.sumCount++
	g.timeouts = 0
	r.peers.reports.Add(r.now, sum.GetAggregator(), decision.PeerReport{
		Sequence: g.sumCount, Entries: int(sum.GetEntries()), TTL: decision.PeerReportTTL,
		Servers: backlogsOf(sum.GetServers()),
	})
	for _, prefix := range sum.GetReads() {
		r.decisions.picker.RecordCachedBlocks(r.now, prefix.GetServer(), prefix.GetChain())
	}
	r.applyPeerDeaths(sum.GetDied(), false)
	r.applyPeerAlive(sum.GetAlive(), ev.SentAt, false)
	r.applyPeerLimits(sum.GetWords(), false)
	r.applyPeerLeaving(sum.GetLeaving(), false)
	r.sharedFleet = nil
	r.dispatchWaiting()
}

// aggregatorTimedOut backs off before the aggregator is asked again, and avoids it after several
// timeouts.
//
// An aggregator that is busy for a moment answers late. If its members moved to another one at
// once, that one would be overloaded next, and all entries would ask one after the other without
// learning anything.
func (r *Reducer) aggregatorTimedOut(ev AggregatorTimedOut) {
	g := &r.peers.group
	if g.aggregatorAddress(r.now) != ev.Address {
		return
	}
	g.backoffUntil = r.now + firstTimeoutBackoff<<g.timeouts
	g.timeouts++
	r.dirty = true
	if g.timeouts < maxTimeouts {
		return
	}
	g.timeouts, g.backoffUntil = 0, 0
	if g.avoidUntil == nil {
		g.avoidUntil = make(map[string]time.Duration)
	}
	g.avoidUntil[ev.Address] = r.now + aggregatorAvoidance
	r.peers.changePending = true
	r.emit(LogDecision{Kind: LogPeers, Reason: "aggregator did not answer; asking another one", Server: ev.Address})
}

// refreshSum requests a new sum while work waits for a server. The last sum lacks the capacity
// that has become free since.
func (r *Reducer) refreshSum() {
	g := &r.peers.group
	if r.decisions.queue.Len() == 0 || r.now-g.sumRequestedAt < sumRefreshInterval || g.aggregator(r.now) == nil {
		return
	}
	g.sumRequestedAt = r.now
	r.emit(RequestSum{})
}
