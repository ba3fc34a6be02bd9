package decision

import "time"

// Backlog is what entries have running or waiting at one server.
type Backlog struct {
	Requests       int
	PrefillBacklog PrefillBacklog
	// KVTokens is the KV cache that the requests hold at the server, or will hold.
	KVTokens int
}

// Merge adds another backlog.
func (b *Backlog) Merge(other Backlog) {
	b.Requests += other.Requests
	b.PrefillBacklog.Merge(&other.PrefillBacklog)
	b.KVTokens += other.KVTokens
}

// PeerReports holds what the other entries (peers) report of their own backlogs.
//
// It guards against prompts of unequal length at servers that report only counts: one prompt
// of 40,000 tokens and one of 300 count alike, and a report is as old as the last answer.
// With seven entries and nine engines, an urgent prompt that is placed by such counts finds
// as many tokens ahead of it as at a random engine: 32,000 or more in one case of ten, while
// another engine has 5,600.
type PeerReports struct {
	reports map[string]*PeerReport
	// sums adds up the current reports until sumsValidUntil, reportingEntries the entries that
	// they cover; nil after a report has come or a peer was removed.
	sums             map[string]Backlog
	sumsValidUntil   time.Duration
	reportingEntries int
}

// PeerReport is the last report of one peer.
type PeerReport struct {
	Incarnation string
	Sequence    uint64
	// Entries is the number of entries whose backlogs the report sums up, the sender's
	// included.
	Entries int
	// TTL is how long the report counts.
	TTL        time.Duration
	Servers    map[string]Backlog
	receivedAt time.Duration
}

const (
	// PeerReportTTL is how long a peer's report counts. Peers with requests report at least
	// three times in that time. A peer that is cut off must not look idle, so estimates stand
	// in for its backlog once its report has expired.
	PeerReportTTL = time.Second
	// IdlePeerReportTTL is how long the report of a peer without requests counts. Such a peer
	// repeats its report rarely and reports its next request at once.
	IdlePeerReportTTL = 5 * time.Second
)

// NewPeerReports returns an empty set of reports.
func NewPeerReports() *PeerReports { return &PeerReports{reports: make(map[string]*PeerReport)} }

// AddBacklog takes in a peer's report of its own backlog. It drops a report that a later one
// has overtaken.
func (p *PeerReports) AddBacklog(now time.Duration, peer, incarnation string, sequence uint64, servers map[string]Backlog) {
	p.Add(now, peer, PeerReport{
		Incarnation: incarnation, Sequence: sequence, Entries: 1, TTL: PeerReportTTL, Servers: servers,
	})
}

// Add takes in any report of a peer. It drops a report that a later one has overtaken.
func (p *PeerReports) Add(now time.Duration, peer string, report PeerReport) {
	last := p.reports[peer]
	if last != nil && last.Incarnation == report.Incarnation && last.Sequence >= report.Sequence {
		return
	}
	report.receivedAt = now
	p.reports[peer] = &report
	p.sums = nil
}

// PrefillTokens returns the number of prompt tokens that a peer has reported as still to
// prefill, at all servers.
func (p *PeerReports) PrefillTokens(peer string) int {
	sum := 0
	if r := p.reports[peer]; r != nil {
		for _, b := range r.Servers {
			sum += b.PrefillBacklog.Total()
		}
	}
	return sum
}

// Forget removes a peer that is gone.
func (p *PeerReports) Forget(peer string) {
	delete(p.reports, peer)
	p.sums = nil
}

// BacklogAt returns what the peers have reported for a server.
func (p *PeerReports) BacklogAt(now time.Duration, server string) Backlog {
	p.refresh(now)
	return p.sums[server]
}

// Coverage returns the fraction of the given number of peers whose backlog is known, 0 to 1.
func (p *PeerReports) Coverage(now time.Duration, peers int) float64 {
	if peers <= 0 {
		return 0
	}
	p.refresh(now)
	return min(1, float64(p.reportingEntries)/float64(peers))
}

// OldestAge returns the age of the oldest report that counts; false if there is none.
func (p *PeerReports) OldestAge(now time.Duration) (time.Duration, bool) {
	oldest, found := time.Duration(0), false
	for _, r := range p.reports {
		if r.isCurrent(now) {
			oldest, found = max(oldest, now-r.receivedAt), true
		}
	}
	return oldest, found
}

// SumExcept returns the sum of all reports but one peer's, and the number of entries that it
// covers.
func (p *PeerReports) SumExcept(now time.Duration, peer string) (map[string]Backlog, int) {
	return p.sum(now, func(name string, _ *PeerReport) bool { return name != peer })
}

// SumSingleEntry returns the sum of the reports that cover only their sender, and the number
// of entries that it covers.
func (p *PeerReports) SumSingleEntry(now time.Duration) (map[string]Backlog, int) {
	return p.sum(now, func(_ string, r *PeerReport) bool { return r.Entries == 1 })
}

func (r *PeerReport) isCurrent(now time.Duration) bool { return now < r.receivedAt+r.TTL }

func (p *PeerReports) sum(now time.Duration, include func(string, *PeerReport) bool) (map[string]Backlog, int) {
	sums, entries := make(map[string]Backlog), 0
	for name, r := range p.reports {
		if !r.isCurrent(now) || !include(name, r) {
			continue
		}
		entries += r.Entries
		for server, b := range r.Servers {
			sum := sums[server]
			sum.Merge(b)
			sums[server] = sum
		}
	}
	return sums, entries
}

// refresh sums up the reports that still count. The sums are integers, so the map's order
// does not matter.
func (p *PeerReports) refresh(now time.Duration) {
	if p.sums != nil && now < p.sumsValidUntil {
		return
	}
	p.sums, p.reportingEntries = p.sum(now, func(string, *PeerReport) bool { return true })
	p.sumsValidUntil = now + PeerReportTTL
	for _, r := range p.reports {
		if r.isCurrent(now) {
			p.sumsValidUntil = min(p.sumsValidUntil, r.receivedAt+r.TTL)
		}
	}
}

// minReportedPrefixTokens is the least length of a shared prefix that entries report to each
// other. A shorter one is prefilled in the fixed time that a fetch of its KV cache takes.
const minReportedPrefixTokens = 512

// ReportsPrefix reports whether entries tell each other which servers have cached the shared
// prefix of the request's prompt.
func ReportsPrefix(w *Work) bool {
	return w.SharedBlocks > 0 && w.SharedBlocks <= len(w.Prefix) && w.PrefixTokens(w.SharedBlocks) >= minReportedPrefixTokens
}
