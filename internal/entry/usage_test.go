package entry

import (
	"testing"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/declaration"
	"goldcrestseam.dev/goldcrestseam/internal/outcome"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// newUsageHarness counts the requests of a member with a credential.
func newUsageHarness(t *testing.T) *harness {
	w := newDeadlineHarness(t)
	w.r.usage = newUsageCounter(UsageConfig{Window: 5 * second, BootUnixTime: 1000 * second}, "entry-a1")
	w.declare([]declaration.Member{memberWithCredentials("hotels", "key-1")}, serving(2)...)
	return w
}

// collectUsage returns the counts in the reports of that time, by window. Later ones replace
// earlier ones.
func (w *harness) collectUsage(d time.Duration) map[int64]uint64 {
	counts := make(map[int64]uint64)
	for until := w.now + d; w.now < until; w.advance(20 * time.Millisecond) {
		for _, r := range effectsOf[Report](w.step(Tick{})) {
			for _, u := range r.Request.GetUsage() {
				counts[u.GetWindow()] = u.GetCounts()[0].GetRequests()
			}
			w.step(ReportAnswered{Request: r.Request, Term: 1})
		}
	}
	return counts
}

// Guards against requests that are counted twice, never, or without any server having begun
// them.
func TestRequestCountsOnceWhenItHasBegun(t *testing.T) {
	w := newUsageHarness(t)
	w.arriveWithCredential("stream", "key-1")
	d := w.singleDispatch()
	w.step(AttemptProgress{RequestID: d.RequestID, Attempt: d.Attempt, Tokens: 1})
	w.step(AttemptProgress{RequestID: d.RequestID, Attempt: d.Attempt, Tokens: 2})
	w.endAttempt(d, completed)
	w.arriveWithCredential("call", "key-1")
	w.endAttempt(w.singleDispatch(), completed)
	w.arriveWithCredential("refused", "key-1")
	w.endAttempt(w.singleDispatch(), func(ev *AttemptEnded) { ev.Outcome = outcome.NotRun })
	w.arriveWithCredential("stranger", "key-2")
	if counts := w.collectUsage(8 * second); counts[200] != 2 {
		t.Errorf("counts %v, want 2 requests in window 200", counts)
	}
}

// Guards against counts that are lost with a leader that had them, or with a lost report.
func TestUsageIsReportedAgainToANewLeader(t *testing.T) {
	w := newUsageHarness(t)
	w.arriveWithCredential("call", "key-1")
	w.endAttempt(w.singleDispatch(), completed)
	w.collectUsage(8 * second)
	w.step(ReportAnswered{Request: &pb.ReportRequest{}, Term: 2})
	if counts := w.collectUsage(3 * second); counts[200] != 1 {
		t.Errorf("reported to the new leader: %v", counts)
	}
	if counts := w.collectUsage(3 * second); counts[200] != 0 {
		t.Errorf("reported to it again: %v", counts)
	}
}
