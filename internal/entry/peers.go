package entry

import (
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

const (
	// peerReportEvery is the shortest time between two reports to other entries. With one
	// every 10, 20, 50 ms nine waits of ten at engines of 75,000 tokens/s were shorter than
	// 41, 59, 109 ms, by counts alone than 207 ms (TestPeerReportsShortenTheWait).
	peerReportEvery = 20 * time.Millisecond
	// peerReportPart is how much reading must have begun or ended for a report, as a part
	// of the time in which prompts are read: one short prompt more changes no choice, and
	// each report costs bytes between data centres. With one for every prompt, nine entries
	// spent as much on reports as on everything else.
	peerReportPart = 0.6
	// minNews and maxNews bound it.
	minNews = 20 * time.Millisecond
	maxNews = 150 * time.Millisecond
	// peerReportAgain repeats a report that has not changed, so that it counts on
	// (decision.PeerReportFor) though one or two are lost.
	peerReportAgain = 300 * time.Millisecond
	// aggregatorReportEvery is the shortest time between two reports of an aggregator to the
	// others. Groups send to servers of their own first, so that what others know late costs
	// little; each aggregator hears all others, so that the pace costs much.
	aggregatorReportEvery = 100 * time.Millisecond
	// endReportEvery is how long a member keeps back what has ended; it goes with the next
	// request that is sent, if there is one.
	endReportEvery = 100 * time.Millisecond
	// sentReportEvery bounds the reports of requests that were just sent on: the next entry
	// that chooses must know of them.
	sentReportEvery = 5 * time.Millisecond
	// idleReportAgain repeats in groups that there is nothing, well within
	// decision.IdleReportFor, so that an aggregator that has started anew learns it.
	idleReportAgain = 2 * time.Second
)

// mostPeers is the part of the other entries that must have reported lately for what they
// report to count as all that is known of parts: one may stop or be cut off.
const mostPeers = 0.5

// peerBacklogs is what entries report to each other of their work at backend servers.
type peerBacklogs struct {
	heard *decision.PeerReports
	group group
	live  liveness
	// news is how much reading at engines has begun or ended for this entry since its last report;
	// that a stream has ended can wait for the next report.
	news time.Duration
	// sent is set since a request was sent on or a death was seen, changed since anything
	// else was that peers know of, both by the last report.
	sent, changed bool
	// anything is set while the last report named any server.
	anything   bool
	sequence   uint64
	reportedAt time.Duration
	// most is set while most of the other entries report.
	most bool
	// reads are the shared parts that servers were seen to read since then.
	reads []*pb.PartsRead
}

// maxReads bounds the parts in one report: more than an entry's prompts of a second.
const maxReads = 64

// read notes that a server has read a prompt, for the next report.
func (p *peerBacklogs) read(server string, w *decision.Work) {
	if decision.ReportsPrefix(w) {
		p.noteRead(&pb.PartsRead{Server: server, Chain: w.Prefix[:w.SharedBlocks]})
	}
}

// noteRead keeps a part that was read for the next report and, at an aggregator, for its
// members.
func (p *peerBacklogs) noteRead(read *pb.PartsRead) {
	if len(p.reads) < maxReads {
		p.reads = append(p.reads, read)
	}
	p.group.reads.add(read)
}

func newPeerBacklogs() peerBacklogs { return peerBacklogs{heard: decision.NewPeerReports()} }

// known is the part of the other entries whose backlogs are known.
func (p *peerBacklogs) known(r *Reducer) float64 {
	return p.heard.Coverage(r.now, len(r.view.entries)-1)
}

// notePeers writes a line when most of the other entries begin or cease to report.
func (r *Reducer) notePeers() {
	known := r.peers.known(r)
	if most := known >= mostPeers; most != r.peers.most {
		r.peers.most = most
		reason := "few peers report; their backlogs are estimated from counts"
		if most {
			reason = "most peers report their backlogs"
		}
		r.emit(LogDecision{Kind: LogPeers, Reason: reason, Figures: []Figure{
			{Name: "peers_known", Value: known}, {Name: "peers", Value: float64(len(r.view.entries) - 1)},
		}})
	}
}

// noteSent notes that a request was sent to a server, which the next choice must know of.
func (r *Reducer) noteSent(s *server) {
	if s.pb.Kind == pb.ServerKind_SERVER_KIND_MODEL {
		r.peers.sent = true
	}
}

// noteReading counts a prompt whose reading begins or ends as news.
func (r *Reducer) noteReading(q *request) {
	s := q.prefiller()
	if s == nil || !r.speeds.learns(s) {
		return
	}
	seconds := float64(q.unread) / r.speeds.reading(s).Rate()
	r.peers.news += time.Duration(seconds * float64(time.Second))
}

func (r *Reducer) peerReported(ev PeerReported) {
	req := ev.Request
	if req.GetClusterId() != r.cfg.Cluster || req.GetEntry() == r.cfg.Identity.GetName() {
		return
	}
	p := &r.peers
	if p.group.isMember() {
		// The sender holds another view: its backlog comes with the aggregator's sum.
		return
	}
	for _, read := range req.GetReads() {
		r.decide.picker.RecordCachedBlocks(r.now, read.GetServer(), read.GetChain())
		if req.GetSummed() > 0 {
			p.group.reads.add(read)
			continue
		}
		if p.group.aggregates {
			p.noteRead(read)
		}
	}
	before := p.heard.PrefillTokens(req.GetEntry())
	p.heard.Add(r.now, req.GetEntry(), decision.PeerReport{
		Incarnation: req.GetIncarnation(), Sequence: req.GetSequence(), Entries: 1 + int(req.GetSummed()),
		TTL: p.group.validFor(req.GetServers()), Servers: backlogsOf(req.GetServers()),
	})
	fromMember := p.group.aggregates && req.GetSummed() == 0
	r.heardDied(req.GetDied(), fromMember)
	r.heardAlive(req.GetAlive(), r.now, fromMember)
	r.heardLimits(req.GetWords(), fromMember)
	r.heardOthersLeaving(req.GetLeaving(), fromMember)
	// What one aggregator tells another goes no further.
	p.changed = p.changed || fromMember
	if more := p.heard.PrefillTokens(req.GetEntry()) - before; fromMember && more > 0 && r.speeds.assumed.PrefillRate > 0 {
		p.news += time.Duration(float64(more) / r.speeds.assumed.PrefillRate * float64(time.Second))
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

// reportToPeers reports to the other entries, or to those of its group's that sum up, what
// this one has at servers that report counts only.
func (r *Reducer) reportToPeers() {
	p := &r.peers
	if r.speeds.assumed.PrefillRate <= 0 || r.now-p.reportedAt < p.reportWait(r) {
		return
	}
	addresses := r.reportAddresses()
	servers, summed := r.backlogs(), 0
	if p.group.aggregates {
		servers, summed = r.groupBacklogs(servers)
	}
	nothing := len(servers) == 0 && !p.anything && !p.group.formed
	if len(addresses) == 0 || nothing {
		p.reported(r.now, false)
		return
	}
	p.sequence++
	r.emit(ReportToPeers{Addresses: addresses, Request: &pb.PeerReport{
		ClusterId: r.cfg.Cluster, Entry: r.cfg.Identity.GetName(), Incarnation: r.cfg.Identity.GetIncarnation(),
		Sequence: p.sequence, Servers: servers, Reads: p.reads, Summed: uint32(summed),
		Alive: r.newWords(), Died: r.newDeaths(), Words: r.newLimits(), Leaving: r.newLeaving(),
	}})
	p.reported(r.now, len(servers) > 0)
}

// reported begins the wait for the next report.
func (p *peerBacklogs) reported(now time.Duration, anything bool) {
	p.reportedAt, p.news, p.anything, p.reads = now, 0, anything, nil
	p.sent, p.changed = false, false
}

// reportWait is how long after the last report the next one is due.
func (p *peerBacklogs) reportWait(r *Reducer) time.Duration {
	switch {
	case p.group.formed:
		return p.groupWait()
	case p.news > 0 && p.news >= r.speeds.pace(peerReportPart, minNews, maxNews):
		return peerReportEvery
	default:
		return peerReportAgain
	}
}

// reportAddresses are the entries that get this one's reports.
func (r *Reducer) reportAddresses() []string {
	if r.peers.group.formed {
		return r.peers.group.reportTo(r.now)
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

// backlogs is what this entry has at the servers.
func (r *Reducer) backlogs() []*pb.ServerBacklog {
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
	sent := r.sent(s)
	return decision.Backlog{Requests: sent.Requests, PrefillBacklog: sent.PrefillBacklog, KVTokens: sent.KVTokens}
}

func backlogProto(server string, b decision.Backlog) *pb.ServerBacklog {
	return &pb.ServerBacklog{
		Server: server, Requests: uint32(b.Requests), UnreadTokens: unreadByRank(&b.PrefillBacklog), CacheTokens: uint64(b.KVTokens),
	}
}

// unreadByRank leaves out the ranks after the last that has any.
func unreadByRank(u *decision.PrefillBacklog) []uint64 {
	var list []uint64
	for rank, tokens := range u {
		if tokens > 0 {
			list = append(list, make([]uint64, rank+1-len(list))...)
			list[rank] = uint64(tokens)
		}
	}
	return list
}
