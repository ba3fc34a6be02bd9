package admission

import (
	"fmt"
	"testing"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
	"goldcrestseam.dev/goldcrestseam/internal/decision/queue"
	"goldcrestseam.dev/goldcrestseam/internal/declaration"
	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
	"goldcrestseam.dev/goldcrestseam/internal/outcome"
)

// mixedFleet returns mixed engines whose reports describe time zero.
func mixedFleet(size int, load engineapi.Load) *decision.Fleet {
	f := &decision.Fleet{Entries: 1}
	load.PrefillRate, load.DecodeRate = 5000, 450
	for i := range size {
		f.Servers = append(f.Servers, decision.Server{
			ID: fmt.Sprint("engine-", i), Kind: declaration.KindModel, Model: "m",
			Role: engineapi.RoleMixed, Usable: true, Slots: 32, Load: load,
		})
	}
	return f
}

func bulkWork(id, member string, now time.Duration) *decision.Work {
	return &decision.Work{
		RequestID: id, Member: member, Profile: "dossier", ProfileShare: 2,
		Class: declaration.ClassBulk, Kind: declaration.KindModel, Model: "m",
		PromptTokens: 30000, OutputTokens: 1000, Arrived: now,
		FirstTokenBy: now + 5*time.Minute, FinishBy: now + 15*time.Minute,
	}
}

func urgentWork(id, member string, now time.Duration) *decision.Work {
	return &decision.Work{
		RequestID: id, Member: member, Profile: "counter", ProfileShare: 3,
		Class: declaration.ClassUrgent, Kind: declaration.KindModel, Model: "m",
		PromptTokens: 1000, OutputTokens: 200, Arrived: now,
		FirstTokenBy: now + 2*time.Second, FinishBy: now + 30*time.Second,
	}
}

// offerBulkWork offers n bulk requests of a member and queues those that are admitted.
func offerBulkWork(c *Controller, q *queue.Queue, f *decision.Fleet, n int, member string) (int, []Verdict) {
	admitted := 0
	var refused []Verdict
	for i := range n {
		w := bulkWork(fmt.Sprint(member, i), member, 0)
		v := c.Admit(0, w, f, q.Summary())
		if v.Admit {
			admitted++
			q.Push(*w)
		} else {
			refused = append(refused, v)
		}
	}
	return admitted, refused
}

// Bulk requests arrive at many times the fleet's capacity. If all of them were admitted,
// callers would learn only after five minutes that their answers are late; those beyond the
// deadline must be refused at once with spread Retry-After times.
func TestWorkThatCannotMeetItsDeadlineIsRefusedAtOnce(t *testing.T) {
	c, q, f := New(), queue.New(), mixedFleet(9, engineapi.Load{})
	admitted, refused := offerBulkWork(c, q, f, 1000, "m")
	// 45,000 tokens/s of prefill do 450 bulk requests in five minutes.
	if admitted < 200 || admitted > 450 {
		t.Fatalf("%d of 1,000 admitted", admitted)
	}
	seen := map[time.Duration]bool{}
	for _, v := range refused {
		if v.Code != outcome.CodeDeadline || v.RetryAfter < minRetryAfter || v.RetryAfter > 3*maxRetryAfter/2 {
			t.Fatalf("refused with %s, retry after %v", v.Code, v.RetryAfter)
		}
		seen[v.RetryAfter.Round(100*time.Millisecond)] = true
	}
	if len(seen) < 3 {
		t.Fatalf("Retry-After times are not spread: %v", seen)
	}
}

// A member's burst fills the queue up to the deadline. Another member's first request must
// still be admitted, because fair queueing serves it in its turn.
func TestAMembersBurstRefusesNoOtherMember(t *testing.T) {
	c, q, f := New(), queue.New(), mixedFleet(9, engineapi.Load{})
	offerBulkWork(c, q, f, 1000, "heavy")
	if v := c.Admit(0, bulkWork("light", "light", 0), f, q.Summary()); !v.Admit {
		t.Fatalf("refused: %s (%v)", v.Reason, v.Figures)
	}
	v := c.Admit(0, bulkWork("more", "heavy", 0), f, q.Summary())
	if v.Admit || v.Code != outcome.CodeOverloaded {
		t.Fatalf("verdict for the heavy member: %+v", v)
	}
}

// Bulk requests wait for minutes. Urgent ones go before them at the engines and in the queue
// and must not be refused because of them.
func TestUrgentWorkIsNotRefusedForQueuedBulkWork(t *testing.T) {
	c, q := New(), queue.New()
	f := mixedFleet(9, engineapi.Load{Running: 20, QueuedPrefillTokens: 20000, RunningDecodeTokens: 10000})
	offerBulkWork(c, q, f, 1000, "m")
	if v := c.Admit(0, urgentWork("q", "m", 0), f, q.Summary()); !v.Admit {
		t.Fatalf("refused: %s (%v)", v.Reason, v.Figures)
	}
}

func TestPlainServicesDoNotWaitForModels(t *testing.T) {
	c, q, f := New(), queue.New(), mixedFleet(1, engineapi.Load{QueuedPrefillTokens: 1e9})
	offerBulkWork(c, q, f, 100, "m")
	f.Servers = append(f.Servers, decision.Server{
		ID: "plain-0", Kind: declaration.KindPlain, Services: []string{"portal"}, Usable: true, Slots: 8,
	})
	w := &decision.Work{
		RequestID: "p", Kind: declaration.KindPlain, Service: "portal", Class: declaration.ClassLookup,
		FirstTokenBy: time.Second, FinishBy: 5 * time.Second,
	}
	if v := c.Admit(0, w, f, q.Summary()); !v.Admit {
		t.Fatalf("refused: %s", v.Reason)
	}
	w.Service = "other"
	if v := c.Admit(0, w, f, q.Summary()); v.Code != outcome.CodeNoServer || v.RetryAfter == 0 {
		t.Fatalf("without a server: %+v", v)
	}
}

func TestResumedWorkIsNeverRefused(t *testing.T) {
	w := bulkWork("d", "m", 0)
	w.Resumed = true
	if v := New().Admit(time.Hour, w, &decision.Fleet{}, queue.New().Summary()); !v.Admit {
		t.Fatalf("refused: %s", v.Reason)
	}
}

func TestRetriesStayWithinTheBudget(t *testing.T) {
	c := New()
	granted := 0
	for range 1000 {
		c.RecordServed("counter", 0.2)
		for range 3 {
			if c.AllowRetry("counter") {
				granted++
			}
		}
	}
	if granted < 200 || granted > 200+initialRetries {
		t.Fatalf("%d retries for 1,000 served at 0.2", granted)
	}
}

func BenchmarkAdmit(b *testing.B) {
	for _, engines := range []int{9, 90, 450, 2700} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			c, q, f := New(), queue.New(), mixedFleet(engines, engineapi.Load{Running: 10, KVTokens: 600000})
			for i := range 100 {
				q.Push(*bulkWork(fmt.Sprint(i), fmt.Sprint("m", i%10), 0))
			}
			w := urgentWork("q", "m1", 0)
			b.ReportAllocs()
			for b.Loop() {
				c.Admit(0, w, f, q.Summary())
			}
		})
	}
}
