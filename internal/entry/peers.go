package entry

import (
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

const (
	// minPeerReportInterval is the shortest time between two reports to other entries. With a
	// report every 10, 20 or 50 ms the 90th percentile of the queue wait at engines of 75,000
	// tokens/s was 41, 59 or 109 ms. With request counts alone it was 207 ms
	// (TestPeerReportsShortenTheWait).
	minPeerReportInterval = 20 * time.Millisecond
	// peerReportFraction is how much prefill time must have begun or ended for a report, as a
	// fraction of the median time that prompts take to prefill. One more short prompt changes
	// no placement, and each report costs bandwidth between data centres. With a report for each
	// prompt, nine entries spent as much on reports as on everything else.
	peerReportFraction = 0.6
	// minPrefillChange and maxPrefillChange bound that prefill time.
	minPrefillChange = 20 * time.Millisecond
	maxPrefillChange = 150 * time.Millisecond
	// peerReportRepeat is when an unchanged report is sent again, so that it stays valid
	// (decision.PeerReportTTL) even if one or two reports are lost.
	peerReportRepeat = 300 * time.Millisecond
	// aggregatorReportInterval is the shortest time between two reports of an aggregator to the
	// other aggregators. Groups prefer servers of their own, so that delayed knowledge of other
	// groups costs little. Each aggregator receives the reports of all others, so that a short
	// interval costs much.
	aggregatorReportInterval = 100 * time.Millisecond
	// endReportInterval is how long a group member delays the report of ended requests. It is
	// sent together with the next dispatch, if there is one.
	endReportInterval = 100 * time.Millisecond
	// sentReportInterval is the shortest time between reports of new dispatches. It is short,
	// since the next entry that chooses a server must know of them.
	sentReportInterval = 5 * time.Millisecond
	// idleReportInterval is when an entry in a group repeats that it has no requests, well
	// within decision.IdlePeerReportTTL, so that a restarted aggregator learns of it.
	idleReportInterval = 2 * time.Second
)

// minPeersKnown is the fraction of the other entries that must have reported recently for their
// reports to count as complete knowledge of prompt prefixes. It is below 1 because an entry may
// stop or be cut off.
const minPeersKnown = 0.5

// peerBacklogs holds what entries report to each other about their work at backend servers.
type peerBacklogs struct {
	reports  *decision.PeerReports
	group    group
	liveness liveness
	// prefillChange is how much prefill time has begun or ended at this entry since its last
	// report. The end of a stream can wait for the next report.
	prefillChange time.Duration
	// sendPending is set if a request was dispatched or a crash observed since the last report,
	// changePending if anything else changed that peers know of.
	sendPending, changePending bool
	// reportedAny is set if the last report contained any server.
	reportedAny bool
	sequence    uint64
	reportedAt  time.Duration
	// mostKnown is set while most of the other entries report.
	mostKnown bool
	// prefixes are the shared prompt prefixes that servers were seen to prefill since the last
	// report.
	prefixes []*pb.PartsRead
}

// maxReportedPrefixes bounds the prefixes in one report. It is more than the prompts that an
// entry handles in a second.
const maxReportedPrefixes = 64

// recordPrefill records for the next report that a server has prefilled a prompt.
func (p *peerBacklogs) recordPrefill(server string, w *decision.Work) {
	if decision.ReportsPrefix(w) {
		p.recordPrefix(&pb.PartsRead{Server: server, Chain: w.Prefix[:w.SharedBlocks]})
	}
}

// recordPrefix keeps a prefilled prefix for the next report and, at an aggregator, for its group
// members.
func (p *peerBacklogs) recordPrefix(prefix *pb.PartsRead) {
	if len(p.prefixes) < maxReportedPrefixes {
		p.prefixes = append(p.prefixes, prefix)
	}
	p.group.prefixes.add(prefix)
}

func newPeerBacklogs() peerBacklogs { return peerBacklogs{reports: decision.NewPeerReports()} }

// knownFraction is the fraction of the other entries whose backlogs are known.
func (p *peerBacklogs) knownFraction(r *Reducer) float64 {
	return p.reports.Coverage(r.now, len(r.view.entries)-1)
}

// logPeersKnown logs when most of the other entries start or stop reporting.
func (r *Reducer) logPeersKnown() {
	known := r.peers.knownFraction(r)
	if mostKnown := known >= minPeersKnown; mostKnown != r.peers.mostKnown {
		r.peers.mostKnown = mostKnown
		reason := "few peers report; their backlogs are estimated from counts"
		if mostKnown {
			reason = "most peers report their backlogs"
		}
		r.emit(LogDecision{Kind: LogPeers, Reason: reason, Figures: []Figure{
			{Name: "peers_known", Value: known}, {Name: "peers", Value: float64(len(r.view.entries) - 1)},
		}})
	}
}

// markSent records a dispatch to a server, of which the next entry that chooses must know.
func (r *Reducer) markSent(s *server) {
	if s.pb.Kind == pb.ServerKind_SERVER_KIND_MODEL {
		r.peers.sendPending = true
	}
}

// countPrefillChange adds the prefill time of a prompt whose prefill begins or ends.
func (r *Reducer) countPrefillChange(q *request) {
	s := q.prefiller()
	if s == nil || !r.speeds.learnsFrom(s) {
		return
	}
	seconds := float64(q.prefillTokens) / r.speeds.prefillEstimate(s).Rate()
	r.peers.prefillChange += time.Duration(seconds * float64(time.Second))
}

func (r *Reducer) peerReported(ev PeerReported) {
	req := ev.Request
	if req.GetClusterId() != r.cfg.Cluster || req.GetEntry() == r.cfg.Identity.GetName() {
		return
	}
	p := &r.peers
	if p.group.isGroupMember() {
		// The sender has a different view. Its backlog arrives with the aggregator's sum.
		return
	}
	for _, prefix := range req.GetReads() {
		r.decisions.picker.RecordCachedBlocks(r.now, prefix.GetServer(), prefix.GetChain())
		if req.GetSummed() > 0 {
			p.group.prefixes.add(prefix)
			continue
		}
		if p.group.isAggregator {
			p.recordPrefix(prefix)
		}
	}
	before := p.reports.PrefillTokens(req.GetEntry())
	p.reports.Add(r.now, req.GetEntry(), decision.PeerReport{
		Incarnation: req.GetIncarnation(), Sequence: req.GetSequence(), Entries: 1 + int(req.GetSummed()),
		TTL: p.group.reportValidity(req.GetServers()), Servers: backlogsOf(req.GetServers()),
	})
	fromGroupMember := p.group.isAggregator && req.GetSummed() == 0
	r.applyPeerDeaths(req.GetDied(), fromGroupMember)
	r.applyPeerAlive(req.GetAlive(), r.now, fromGroupMember)
	r.applyPeerLimits(req.GetWords(), fromGroupMember)
	r.applyPeerLeaving(req.GetLeaving(), fromGroupMember)
	// Reports between aggregators are not forwarded.
	p.changePending = p.changePending || fromGroupMember
	if more := p.reports.PrefillTokens(req.GetEntry()) - before; fromGroupMember && more > 0 && r.speeds.assumed.PrefillRate > 0 {
		p.prefillChange += time.Duration(float64(more) / r.speeds.assumed.PrefillRate * float64(time.Second))
	}
	r.sharedFleet = nil
}

func backlogsOf(list []*pb.ServerBacklog) map[string]decision.Backlog {
	servers := make(map[string]decision.Backlog, len(list))
	for _, s := range list {
		b := decision.Backlog{Requests: int(s.GetRequests()), KVTokens: int(s.GetCacheTokens())}
		for rank, tokens := range s.GetUnreadTokens() {
			b.PrefillBacklog.AddTokens(rank, int(tokens))
		}
		servers[s.GetServer()] = b
	}
	return servers
}

// reportToPeers reports this entry's requests at servers that report counts only to the other
// entries or, in groups, to the aggregators concerned.
func (r *Reducer) reportToPeers() {
	p := &r.peers
	if r.speeds.assumed.PrefillRate <= 0 || r.now-p.reportedAt < p.reportInterval(r) {
		return
	}
	addresses := r.reportAddresses()
	servers, summed := r.ownBacklogs(), 0
	if p.group.isAggregator {
		servers, summed = r.groupBacklogs(servers)
	}
	nothingToReport := len(servers) == 0 && !p.reportedAny && !p.group.formed
	if len(addresses) == 0 || nothingToReport {
		p.reportSent(r.now, false)
		return
	}
	p.sequence++
	r.emit(ReportToPeers{Addresses: addresses, Request: &pb.PeerReport{
		ClusterId: r.cfg.Cluster, Entry: r.cfg.Identity.GetName(), Incarnation: r.cfg.Identity.GetIncarnation(),
		Sequence: p.sequence, Servers: servers, Reads: p.prefixes, Summed: uint32(summed),
		Alive: r.unreportedAlive(), Died: r.unreportedDeaths(), Words: r.unreportedLimits(), Leaving: r.unreportedLeaving(),
	}})
	p.reportSent(r.now, len(servers) > 0)
}

// reportSent starts the wait for the next report.
func (p *peerBacklogs) reportSent(now time.Duration, any bool) {
	p.reportedAt, p.prefillChange, p.reportedAny, p.prefixes = now, 0, any, nil
	p.sendPending, p.changePending = false, false
}

// reportInterval is the time from the last report to the next one.
func (p *peerBacklogs) reportInterval(r *Reducer) time.Duration {
	switch {
	case p.group.formed:
		return p.groupReportInterval()
	case p.prefillChange > 0 && p.prefillChange >= r.speeds.prefillTimeFraction(peerReportFraction, minPrefillChange, maxPrefillChange):
		return minPeerReportInterval
	default:
		return peerReportRepeat
	}
}

// reportAddresses returns the entries that get this entry's reports.
func (r *Reducer) reportAddresses() []string {
	if r.peers.group.formed {
		return r.peers.group.reportTargets(r.now)
	}
	return r.peerAddresses()
}

func (r *Reducer) peerAddresses() []string {
	var list []string
	for _, e := range r.view.sortedEntries() {
		if id := e.info.GetIdentity(); id.GetName() != r.cfg.Identity.GetName() && id.GetPeerAddress() != "" {
			list = append(list, id.GetPeerAddress())
		}
	}
	return list
}

// ownBacklogs returns this entry's requests at the servers.
func (r *Reducer) ownBacklogs() []*pb.ServerBacklog {
	var list []*pb.ServerBacklog
	for _, s := range r.servers.sorted {
		if len(s.running) == 0 || s.pb.Kind != pb.ServerKind_SERVER_KIND_MODEL {
			continue
		}
		list = append(list, backlogProto(s.pb.Id, r.backlogAt(s)))
	}
	return list
}

func (r *Reducer) backlogAt(s *server) decision.Backlog {
	sent := r.outstanding(s)
	return decision.Backlog{Requests: sent.Requests, PrefillBacklog: sent.PrefillBacklog, KVTokens: sent.KVTokens}
}

func backlogProto(server string, b decision.Backlog) *pb.ServerBacklog {
	return &pb.ServerBacklog{
		Server: server, Requests: uint32(b.Requests), UnreadTokens: prefillTokensByRank(&b.PrefillBacklog), CacheTokens: uint64(b.KVTokens),
	}
}

// prefillTokensByRank returns the tokens that are still to be prefilled, by rank. It leaves out
// the ranks after the last one with tokens.
func prefillTokensByRank(u *decision.PrefillBacklog) []uint64 {
	var list []uint64
	for rank, tokens := range u {
		if tokens > 0 {
			list = append(list, make([]uint64, rank+1-len(list))...)
			list[rank] = uint64(tokens)
		}
	}
	return list
}
