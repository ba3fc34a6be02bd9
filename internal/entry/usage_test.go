package entry

import (
	"testing"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/declaration"
	"goldcrestseam.dev/goldcrestseam/internal/outcome"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// countingWorld counts the requests of a member with a credential.
func countingWorld(t *testing.T) *world {
	w := relayedWorld(t)
	w.r.usage = newUsageCounter(UsageConfig{Window: 5 * second, BootUnixTime: 1000 * second}, "entry-a1")
	w.declares([]declaration.Member{holder("hotels", "key-1")}, serving(2)...)
	return w
}

// reported sums up what reports tell of the window; later ones stand for earlier ones.
func (w *world) reported(d time.Duration) map[int64]uint64 {
	told := make(map[int64]uint64)
	for until := w.now + d; w.now < until; w.after(20 * time.Millisecond) {
		for _, r := range pick[Report](w.step(Tick{})) {
			for _, u := range r.Request.GetUsage() {
				told[u.GetWindow()] = u.GetCounts()[0].GetRequests()
			}
			w.step(ReportAnswered{Request: r.Request, Term: 1})
		}
	}
	return told
}

// Guards against requests that count twice, never, or though no server began them.
func TestRequestCountsOnceWhenItHasBegun(t *testing.T) {
	w := countingWorld(t)
	w.asks("stream", "key-1")
	d := w.dispatched()
	w.step(AttemptProgress{RequestID: d.RequestID, Attempt: d.Attempt, Tokens: 1})
	w.step(AttemptProgress{RequestID: d.RequestID, Attempt: d.Attempt, Tokens: 2})
	w.ended(d, whole)
	w.asks("call", "key-1")
	w.ended(w.dispatched(), whole)
	w.asks("refused", "key-1")
	w.ended(w.dispatched(), func(ev *AttemptEnded) { ev.Outcome = outcome.NotRun })
	w.asks("stranger", "key-2")
	if told := w.reported(8 * second); told[200] != 2 {
		t.Errorf("told %v, want 2 requests in window 200", told)
	}
}

// Guards against counts that are lost with the leader that had them, or with a lost report.
func TestUsageIsToldAgainToAnotherLeader(t *testing.T) {
	w := countingWorld(t)
	w.asks("call", "key-1")
	w.ended(w.dispatched(), whole)
	w.reported(8 * second)
	w.step(ReportAnswered{Request: &pb.ReportRequest{}, Term: 2})
	if told := w.reported(3 * second); told[200] != 1 {
		t.Errorf("told the new leader %v", told)
	}
	if told := w.reported(3 * second); told[200] != 0 {
		t.Errorf("told it again %v", told)
	}
}
