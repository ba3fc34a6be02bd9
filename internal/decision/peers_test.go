package decision

import (
	"testing"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/declaration"
)

func backlogAtE1(requests, prefillTokens int) map[string]Backlog {
	return map[string]Backlog{"e1": {Requests: requests, PrefillBacklog: PrefillBacklog{prefillTokens}}}
}

// Reports come late and out of order, peers restart, and one is cut off. An overtaken report
// must not replace a newer one, a new incarnation counts from its first report, and the
// report of a peer that is silent for a second must expire.
func TestPeerReportsReplaceEachOther(t *testing.T) {
	p := NewPeerReports()
	p.AddBacklog(0, "a", "incarnation-1", 2, backlogAtE1(3, 9000))
	p.AddBacklog(0, "a", "incarnation-1", 1, backlogAtE1(7, 70000))
	p.AddBacklog(0, "b", "incarnation-1", 1, backlogAtE1(1, 500))
	if got := p.BacklogAt(0, "e1"); got.PrefillBacklog.Ahead(0) != 9500 || got.Requests != 4 {
		t.Fatalf("backlog at e1: %+v", got)
	}
	if coverage := p.Coverage(0, 4); coverage != 0.5 {
		t.Errorf("coverage %v with reports from two of four peers", coverage)
	}
	p.AddBacklog(100*time.Millisecond, "a", "incarnation-2", 1, nil)
	if got := p.BacklogAt(100*time.Millisecond, "e1"); got.PrefillBacklog.Ahead(0) != 500 {
		t.Errorf("after a's restart: %+v", got)
	}
	expired := PeerReportTTL + 50*time.Millisecond
	if got, coverage := p.BacklogAt(expired, "e1"), p.Coverage(expired, 2); got.PrefillBacklog.Ahead(9) != 0 || coverage != 0.5 {
		t.Errorf("after b's report has expired: %+v, coverage %v", got, coverage)
	}
	p.Forget("a")
	if coverage := p.Coverage(expired, 2); coverage != 0 {
		t.Errorf("coverage %v without peers", coverage)
	}
}

// The estimate from counts stands in only for the entries that have not reported.
func TestEstimateStandsForUnknownPeersOnly(t *testing.T) {
	s := Server{EstimatedPeerRunning: 4, MeanPrefillTokens: 1000, Role: "prefill", InFlight: InFlight{PrefillBacklog: PrefillBacklog{500}}}
	w := &Work{Class: declaration.ClassBulk}
	if got := s.PrefillTokensAhead(w); got != 4500 {
		t.Errorf("no peer has reported: %v", got)
	}
	s.PeerBacklog, s.PeerCoverage = Backlog{Requests: 1, PrefillBacklog: PrefillBacklog{30000}}, 1
	if got := s.PrefillTokensAhead(w); got != 30500 {
		t.Errorf("all peers have reported: %v", got)
	}
	s.PeerCoverage = 0.5
	if got := s.PrefillTokensAhead(w); got != 32500 {
		t.Errorf("half of the peers have reported: %v", got)
	}
}

// A short urgent prompt starts before a long one of lower priority that waits, but not
// before one that the engine has started. If lower ranks counted in full, engines with long
// prompts would look full to short ones, which would all go to the few others; if they did
// not count, short prompts would wait a second behind one of 55,000 tokens.
func TestLowerRanksCountInPart(t *testing.T) {
	var u PrefillBacklog
	u.AddTokens(0, 100)
	u.AddTokens(2, 40000)
	u.AddTokens(99, 8)
	u.AddTokens(-1, 1)
	for rank, want := range map[int]float64{0: 20105, 1: 20105, 2: 40105, 9: 40109, 99: 40109} {
		if got := u.Ahead(rank); got != want {
			t.Errorf("ahead of rank %d: %v, want %v", rank, got, want)
		}
	}
}
