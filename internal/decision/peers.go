package decision

import "time"

// Backlog is what entries have running or waiting at one server.
type Backlog struct {
	Requests       int
	PrefillBacklog PrefillBacklog
	// KVTokens is what the requests hold in the server's memory, or will, in tokens.
	KVTokens int
}

// Merge puts another entry's backlog to it.
func (b *Backlog) Merge(o Backlog) {
	b.Requests += o.Requests
	b.PrefillBacklog.Merge(&o.PrefillBacklog)
	b.KVTokens += o.KVTokens
}

// PeerReports holds what the other entries have reported of their own backlogs.
//
// It answers unequal prompts on servers that report counts only, before several entries:
// one prompt of 40,000 tokens and one of 300 count alike, and a report is as old as the
// last answer. Judged by such counts an urgent prompt met as many tokens as at an engine
// taken by chance: 32,000 in one case of ten, beside an engine that had 5,600 (true
// backlogs, from the lines of seven entries before nine engines).
type PeerReports struct {
	reports map[string]*PeerReport
	// sums are those of the peers that count, made anew when one tells or falls silent.
	sums  map[string]Backlog
	until time.Duration
	known int
}

// PeerReport is what one peer reported last.
type PeerReport struct {
	Incarnation string
	Sequence    uint64
	// Entries is how many entries' backlogs it sums up, the sender's included.
	Entries int
	// TTL is how long it counts.
	TTL     time.Duration
	Servers map[string]Backlog
	at      time.Duration
}

const (
	// PeerReportTTL is how long a peer's report counts. Peers with work report three times
	// or more in that time; one that is cut off must not look idle.
	PeerReportTTL = time.Second
	// IdlePeerReportTTL is how long the report counts of a peer that has nothing: it repeats
	// it seldom, and its next request is reported at once.
	IdlePeerReportTTL = 5 * time.Second
)

// NewPeerReports knows of none.
func NewPeerReports() *PeerReports { return &PeerReports{reports: make(map[string]*PeerReport)} }

// AddBacklog takes in a peer's report of its own backlog; one that a later one has overtaken
// is dropped.
func (p *PeerReports) AddBacklog(now time.Duration, peer, incarnation string, sequence uint64, servers map[string]Backlog) {
	p.Add(now, peer, PeerReport{
		Incarnation: incarnation, Sequence: sequence, Entries: 1, TTL: PeerReportTTL, Servers: servers,
	})
}

// Add takes in any report of a peer; one that a later one has overtaken is dropped.
func (p *PeerReports) Add(now time.Duration, peer string, report PeerReport) {
	last := p.reports[peer]
	if last != nil && last.Incarnation == report.Incarnation && last.Sequence >= report.Sequence {
		return
	}
	report.at = now
	p.reports[peer] = &report
	p.sums = nil
}

// PrefillTokens is how many tokens of prompts a peer has reported as not read yet.
func (p *PeerReports) PrefillTokens(peer string) int {
	sum := 0
	if r := p.reports[peer]; r != nil {
		for _, b := range r.Servers {
			sum += b.PrefillBacklog.Total()
		}
	}
	return sum
}

// Forget drops a peer that is gone.
func (p *PeerReports) Forget(peer string) {
	delete(p.reports, peer)
	p.sums = nil
}

// BacklogAt gives what the peers have reported of a server.
func (p *PeerReports) BacklogAt(now time.Duration, server string) Backlog {
	p.refresh(now)
	return p.sums[server]
}

// Coverage is the part of that many peers whose backlog is known, 0 to 1.
func (p *PeerReports) Coverage(now time.Duration, peers int) float64 {
	if peers <= 0 {
		return 0
	}
	p.refresh(now)
	return min(1, float64(p.known)/float64(peers))
}

// OldestAge is how old the oldest report is that counts; false where none does.
func (p *PeerReports) OldestAge(now time.Duration) (time.Duration, bool) {
	oldest, known := time.Duration(0), false
	for _, r := range p.reports {
		if r.counts(now) {
			oldest, known = max(oldest, now-r.at), true
		}
	}
	return oldest, known
}

// SumExcept gives what all peers but one have reported, and of how many entries that is.
func (p *PeerReports) SumExcept(now time.Duration, peer string) (map[string]Backlog, int) {
	return p.sum(now, func(name string, _ *PeerReport) bool { return name != peer })
}

// SumSingleEntry gives what peers have reported of themselves alone, and of how many.
func (p *PeerReports) SumSingleEntry(now time.Duration) (map[string]Backlog, int) {
	return p.sum(now, func(_ string, r *PeerReport) bool { return r.Entries == 1 })
}

func (r *PeerReport) counts(now time.Duration) bool { return now < r.at+r.TTL }

func (p *PeerReports) sum(now time.Duration, counts func(string, *PeerReport) bool) (map[string]Backlog, int) {
	sums, entries := make(map[string]Backlog), 0
	for name, r := range p.reports {
		if !r.counts(now) || !counts(name, r) {
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

// refresh adds the reports up that still count. The order does not matter to whole numbers.
func (p *PeerReports) refresh(now time.Duration) {
	if p.sums != nil && now < p.until {
		return
	}
	p.sums, p.known = p.sum(now, func(string, *PeerReport) bool { return true })
	p.until = now + PeerReportTTL
	for _, r := range p.reports {
		if r.counts(now) {
			p.until = min(p.until, r.at+r.TTL)
		}
	}
}

// minToldTokens is the least length of shared parts that entries tell each other of: less is
// read in the time that a fetch takes beside its bytes.
const minToldTokens = 512

// ReportsPrefix tells whether entries tell each other which servers have read the shared parts
// of the work's prompt.
func ReportsPrefix(w *Work) bool {
	return w.SharedBlocks > 0 && w.SharedBlocks <= len(w.Prefix) && w.PrefixTokens(w.SharedBlocks) >= minToldTokens
}
