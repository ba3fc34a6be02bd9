package decision

import (
	"testing"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/declaration"
)

func load(requests, unread int) map[string]Backlog {
	return map[string]Backlog{"e1": {Requests: requests, PrefillBacklog: PrefillBacklog{unread}}}
}

// Reports come late and out of order, peers restart, and one is cut off: an old one must
// not come back, a new life counts from its first report, and who is silent for a second
// must not look as busy, or as idle, as it was.
func TestPeerReportsReplaceEachOther(t *testing.T) {
	p := NewPeerReports()
	p.AddBacklog(0, "a", "life-1", 2, load(3, 9000))
	p.AddBacklog(0, "a", "life-1", 1, load(7, 70000))
	p.AddBacklog(0, "b", "life-1", 1, load(1, 500))
	if got := p.BacklogAt(0, "e1"); got.PrefillBacklog.Ahead(0) != 9500 || got.Requests != 4 {
		t.Fatalf("at e1: %+v", got)
	}
	if known := p.Coverage(0, 4); known != 0.5 {
		t.Errorf("known %v of four peers", known)
	}
	p.AddBacklog(100*time.Millisecond, "a", "life-2", 1, nil)
	if got := p.BacklogAt(100*time.Millisecond, "e1"); got.PrefillBacklog.Ahead(0) != 500 {
		t.Errorf("after a's restart: %+v", got)
	}
	late := PeerReportTTL + 50*time.Millisecond
	if got, known := p.BacklogAt(late, "e1"), p.Coverage(late, 2); got.PrefillBacklog.Ahead(9) != 0 || known != 0.5 {
		t.Errorf("b was silent for over a second: %+v, known %v", got, known)
	}
	p.Forget("a")
	if known := p.Coverage(late, 2); known != 0 {
		t.Errorf("nobody is left, known %v", known)
	}
}

// With what peers report the estimate from counts stands for the others only.
func TestEstimateStandsForUnknownPeersOnly(t *testing.T) {
	s := Server{EstimatedPeerRunning: 4, MeanPrefillTokens: 1000, Role: "prefill", InFlight: InFlight{PrefillBacklog: PrefillBacklog{500}}}
	w := &Work{Class: declaration.ClassBulk}
	if got := s.PrefillTokensAhead(w); got != 4500 {
		t.Errorf("nobody reported: %v", got)
	}
	s.PeerBacklog, s.PeerCoverage = Backlog{Requests: 1, PrefillBacklog: PrefillBacklog{30000}}, 1
	if got := s.PrefillTokensAhead(w); got != 30500 {
		t.Errorf("all reported: %v", got)
	}
	s.PeerCoverage = 0.5
	if got := s.PrefillTokensAhead(w); got != 32500 {
		t.Errorf("half reported: %v", got)
	}
}

// A clerk's short prompt is begun before a long one of lower rank that waits, but not
// before one that the engine reads already. Counted whole, engines that had long prompts
// looked full to short ones, and these met at the few others; left out, short ones waited a
// second behind a prompt of 55,000 tokens.
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
