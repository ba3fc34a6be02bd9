package queue

import (
	"fmt"
	"testing"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
	"goldcrestseam.dev/goldcrestseam/internal/declaration"
)

func any1(*decision.Work) bool { return true }

func question(id, member string, arrived time.Duration) decision.Work {
	return decision.Work{
		RequestID: id, Member: member, Profile: "counter", ProfileShare: 3,
		Class: declaration.ClassUrgent, Kind: declaration.KindModel, Model: "m",
		PromptTokens: 1000, OutputTokens: 200, Arrived: arrived,
		FirstTokenBy: arrived + 2*time.Second, FinishBy: arrived + 30*time.Second,
	}
}

func dossier(id, member string, arrived time.Duration) decision.Work {
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
		w, ok := q.Pop(now, any1)
		if !ok {
			return out
		}
		out = append(out, w)
	}
}

// A member sends forty questions at once and another one a second later. The
// other's clerk must not wait for all forty.
func TestHeavyMemberDoesNotHoldOthersBack(t *testing.T) {
	q := New()
	for i := range 40 {
		q.Push(question(fmt.Sprint("heavy", i), "heavy", 0))
	}
	q.Push(question("light", "light", time.Second))
	for i, w := range popAll(q, time.Second) {
		if w.RequestID == "light" {
			if i > 2 {
				t.Fatalf("served as number %d", i)
			}
			return
		}
	}
	t.Fatal("never served")
}

// Clerks ask without a pause, so that their queue never empties. A dossier must
// still get its profile's share, and all of it once its deadline presses.
func TestSteadyQuestionsDoNotStarveADossier(t *testing.T) {
	q := New()
	q.Push(dossier("d", "m", 0))
	for i := range 200 {
		q.Push(question(fmt.Sprint("q", i), "m", 0))
	}
	out := popAll(q, 0)
	for i, w := range out {
		if w.RequestID == "d" && i > 30 {
			t.Fatalf("served as number %d", i)
		}
	}
	q.Push(question("q", "m", 14*time.Minute))
	q.Push(dossier("late", "m", 0))
	if w, _ := q.Pop(14*time.Minute, any1); w.RequestID != "late" {
		t.Fatalf("%s before the dossier that must start now", w.RequestID)
	}
}

func TestRemoveExpireAndSummaryAgree(t *testing.T) {
	q := New()
	for i := range 10 {
		q.Push(question(fmt.Sprint("q", i), fmt.Sprint("m", i%3), time.Duration(i)*time.Second))
	}
	w := question("q0", "m0", 0)
	key := KeyOf(&w)
	if got := q.Summary().Get(key).Requests; got != 4 {
		t.Fatalf("%d waiting of m0, want 4", got)
	}
	if !q.Remove("q9") || q.Remove("q9") {
		t.Fatal("remove")
	}
	if got := len(q.Expire(4 * time.Second)); got != 3 {
		t.Fatalf("%d expired, want 3", got)
	}
	if got := len(popAll(q, 4*time.Second)); got != 6 || q.Len() != 0 {
		t.Fatalf("%d left", got)
	}
	if len(q.summary.totals) != 0 || len(q.summary.drains) != 1 {
		t.Fatalf("left: %v, %v", q.summary.totals, q.summary.drains)
	}
}

func TestHeadThatDoesNotFitHoldsNoOtherPoolBack(t *testing.T) {
	q := New()
	q.Push(question("a", "m", 0))
	other := question("b", "m", 0)
	other.Model = "n"
	q.Push(other)
	w, ok := q.Pop(0, func(w *decision.Work) bool { return w.Model == "n" })
	if !ok || w.RequestID != "b" {
		t.Fatalf("%v %v", w.RequestID, ok)
	}
}

// Under overload dossiers become late for their first token. If the latest goes
// first because it is the latest, it makes the next one late too, and none is in
// time any more.
func TestWhatIsTooLateDoesNotMakeOthersLate(t *testing.T) {
	q := New()
	q.Push(question("q", "m", 5*time.Minute))
	q.Push(dossier("late", "m", -time.Minute))
	if w, _ := q.Pop(5*time.Minute+1700*time.Millisecond, any1); w.RequestID != "q" {
		t.Fatalf("%s went first", w.RequestID)
	}
}

func TestDrainRateIsWhatLeftWhileWorkWaited(t *testing.T) {
	q := New()
	for i := range 300 {
		q.Push(question(fmt.Sprint(i), "m", 0))
	}
	w := question("0", "m", 0)
	for i := range 40 {
		q.Pop(time.Duration(i)*500*time.Millisecond, any1)
	}
	cost, secs := q.Summary().Throughput(20*time.Second, KeyOf(&w))
	if want := 2 * w.Cost(); secs == 0 || cost/secs < 0.8*want || cost/secs > 1.2*want {
		t.Fatalf("%v in %v s, want about %v a second", cost, secs, want)
	}
}

func BenchmarkPushPop(b *testing.B) {
	for _, length := range []int{10, 100, 1000, 10000, 100000} {
		b.Run(fmt.Sprintf("length=%d", length), func(b *testing.B) {
			q := New()
			works := make([]decision.Work, length)
			for i := range works {
				works[i] = question(fmt.Sprint(i), fmt.Sprint("m", i%1300), time.Duration(i))
				q.Push(works[i])
			}
			b.ReportAllocs()
			for b.Loop() {
				w, _ := q.Pop(0, any1)
				q.Push(w)
			}
		})
	}
}

// Callers keep the server that fits found in a variable. If a call for other work
// came after it, the work would be sent to nowhere.
func TestTheLastCallOfFitsIsForTheWorkReturned(t *testing.T) {
	q := New()
	for i := range 20 {
		q.Push(dossier(fmt.Sprint("d", i), fmt.Sprint("m", i%5), time.Duration(i)))
		q.Push(question(fmt.Sprint("q", i), fmt.Sprint("m", i%7), 0))
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
			t.Fatalf("returned %s, last asked for %s (%v)", w.RequestID, last, fitted)
		}
	}
}
