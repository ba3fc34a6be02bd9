package queue

import (
	"fmt"
	"testing"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
	"goldcrestseam.dev/goldcrestseam/internal/declaration"
)

func fitsAll(*decision.Work) bool { return true }

func urgentWork(id, member string, arrived time.Duration) decision.Work {
	return decision.Work{
		RequestID: id, Member: member, Profile: "counter", ProfileShare: 3,
		Class: declaration.ClassUrgent, Kind: declaration.KindModel, Model: "m",
		PromptTokens: 1000, OutputTokens: 200, Arrived: arrived,
		FirstTokenBy: arrived + 2*time.Second, FinishBy: arrived + 30*time.Second,
	}
}

func bulkWork(id, member string, arrived time.Duration) decision.Work {
	return decision.Work{
		RequestID: id, Member: member, Profile: "dossier", ProfileShare: 2,
		Class: declaration.ClassBulk, Kind: declaration.KindModel, Model: "m",
		PromptTokens: 30000, OutputTokens: 1000, Arrived: arrived,
		FirstTokenBy: arrived + 5*time.Minute, FinishBy: arrived + 15*time.Minute,
	}
}

func popAll(q *Queue, now time.Duration) []decision.Work {
	var out []decision.Work
	for {
		w, ok := q.Pop(now, fitsAll)
		if !ok {
			return out
		}
		out = append(out, w)
	}
}

// A member sends forty requests at once and another member sends one a second later. The
// latter must not wait for all forty.
func TestHeavyMemberDoesNotDelayOthers(t *testing.T) {
	q := New()
	for i := range 40 {
		q.Push(urgentWork(fmt.Sprint("heavy", i), "heavy", 0))
	}
	q.Push(urgentWork("light", "light", time.Second))
	for i, w := range popAll(q, time.Second) {
		if w.RequestID == "light" {
			if i > 2 {
				t.Fatalf("served at position %d", i)
			}
			return
		}
	}
	t.Fatal("never served")
}

// Urgent requests keep coming, so that their queue never empties. A bulk request must still
// get its profile's share, and must be served at once when its deadline is near.
func TestSteadyUrgentWorkDoesNotStarveBulkWork(t *testing.T) {
	q := New()
	q.Push(bulkWork("d", "m", 0))
	for i := range 200 {
		q.Push(urgentWork(fmt.Sprint("q", i), "m", 0))
	}
	out := popAll(q, 0)
	for i, w := range out {
		if w.RequestID == "d" && i > 30 {
			t.Fatalf("served at position %d", i)
		}
	}
	q.Push(urgentWork("q", "m", 14*time.Minute))
	q.Push(bulkWork("late", "m", 0))
	if w, _ := q.Pop(14*time.Minute, fitsAll); w.RequestID != "late" {
		t.Fatalf("%s served before the bulk request that must start now", w.RequestID)
	}
}

func TestRemoveExpireAndSummaryAgree(t *testing.T) {
	q := New()
	for i := range 10 {
		q.Push(urgentWork(fmt.Sprint("q", i), fmt.Sprint("m", i%3), time.Duration(i)*time.Second))
	}
	w := urgentWork("q0", "m0", 0)
	key := KeyOf(&w)
	if got := q.Summary().Get(key).Requests; got != 4 {
		t.Fatalf("%d waiting of m0, want 4", got)
	}
	if !q.Remove("q9") || q.Remove("q9") {
		t.Fatal("Remove did not report true, then false")
	}
	if got := len(q.Expire(4 * time.Second)); got != 3 {
		t.Fatalf("%d expired, want 3", got)
	}
	if got := len(popAll(q, 4*time.Second)); got != 6 || q.Len() != 0 {
		t.Fatalf("%d requests served after the expiry, want 6 and an empty queue", got)
	}
	if len(q.summary.totals) != 0 || len(q.summary.profileThroughput) != 1 {
		t.Fatalf("totals %v, throughput %v left in the summary of an empty queue", q.summary.totals, q.summary.profileThroughput)
	}
}

func TestHeadThatDoesNotFitBlocksNoOtherPool(t *testing.T) {
	q := New()
	q.Push(urgentWork("a", "m", 0))
	other := urgentWork("b", "m", 0)
	other.Model = "n"
	q.Push(other)
	w, ok := q.Pop(0, func(w *decision.Work) bool { return w.Model == "n" })
	if !ok || w.RequestID != "b" {
		t.Fatalf("popped %q, %v; want the request of the other pool", w.RequestID, ok)
	}
}

// Under overload bulk requests become late for their first token. If the latest goes first
// because it is the latest, it makes the next one late too, and none is in time any more.
func TestLateWorkDoesNotMakeOthersLate(t *testing.T) {
	q := New()
	q.Push(urgentWork("q", "m", 5*time.Minute))
	q.Push(bulkWork("late", "m", -time.Minute))
	if w, _ := q.Pop(5*time.Minute+1700*time.Millisecond, fitsAll); w.RequestID != "q" {
		t.Fatalf("%s served before the urgent request", w.RequestID)
	}
}

func TestThroughputCountsWorkServedWhileWorkWaited(t *testing.T) {
	q := New()
	for i := range 300 {
		q.Push(urgentWork(fmt.Sprint(i), "m", 0))
	}
	w := urgentWork("0", "m", 0)
	for i := range 40 {
		q.Pop(time.Duration(i)*500*time.Millisecond, fitsAll)
	}
	cost, secs := q.Summary().Throughput(20*time.Second, KeyOf(&w))
	if want := 2 * w.Cost(); secs == 0 || cost/secs < 0.8*want || cost/secs > 1.2*want {
		t.Fatalf("cost %v in %v s, want about %v per second", cost, secs, want)
	}
}

func BenchmarkPushPop(b *testing.B) {
	for _, length := range []int{10, 100, 1000, 10000, 100000} {
		b.Run(fmt.Sprintf("length=%d", length), func(b *testing.B) {
			q := New()
			works := make([]decision.Work, length)
			for i := range works {
				works[i] = urgentWork(fmt.Sprint(i), fmt.Sprint("m", i%1300), time.Duration(i))
				q.Push(works[i])
			}
			b.ReportAllocs()
			for b.Loop() {
				w, _ := q.Pop(0, fitsAll)
				q.Push(w)
			}
		})
	}
}

// Callers keep the server that fits found in a variable. If fits were called for another
// request after the one returned, the request would be sent to the wrong server, or to none.
func TestLastFitsCallIsForReturnedWork(t *testing.T) {
	q := New()
	for i := range 20 {
		q.Push(bulkWork(fmt.Sprint("d", i), fmt.Sprint("m", i%5), time.Duration(i)))
		q.Push(urgentWork(fmt.Sprint("q", i), fmt.Sprint("m", i%7), 0))
	}
	calls := 0
	for q.Len() > 0 {
		last, fitted := "", false
		w, ok := q.Pop(time.Second, func(w *decision.Work) bool {
			calls++
			last, fitted = w.RequestID, calls%3 == 0
			return fitted
		})
		if ok && (!fitted || last != w.RequestID) {
			t.Fatalf("returned %s, but the last call of fits was for %s and gave %v", w.RequestID, last, fitted)
		}
	}
}
