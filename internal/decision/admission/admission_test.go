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

// fleet is size mixed engines whose report is true at time zero.
func fleet(size int, load engineapi.Load) *decision.Fleet {
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

func dossier(id, member string, now time.Duration) *decision.Work {
	return &decision.Work{
		RequestID: id, Member: member, Profile: "dossier", ProfileShare: 2,
		Class: declaration.ClassBulk, Kind: declaration.KindModel, Model: "m",
		PromptTokens: 30000, OutputTokens: 1000, Arrived: now,
		FirstTokenBy: now + 5*time.Minute, FinishBy: now + 15*time.Minute,
	}
}

func question(id, member string, now time.Duration) *decision.Work {
	return &decision.Work{
		RequestID: id, Member: member, Profile: "counter", ProfileShare: 3,
		Class: declaration.ClassUrgent, Kind: declaration.KindModel, Model: "m",
		PromptTokens: 1000, OutputTokens: 200, Arrived: now,
		FirstTokenBy: now + 2*time.Second, FinishBy: now + 30*time.Second,
	}
}

// letIn offers n works of a member and pushes those that are let in.
func letIn(c *Controller, q *queue.Queue, f *decision.Fleet, n int, member string) (int, []Verdict) {
	in := 0
	var refused []Verdict
	for i := range n {
		w := dossier(fmt.Sprint(member, i), member, 0)
		v := c.Admit(0, w, f, q.Summary())
		if v.Admit {
			in++
			q.Push(*w)
		} else {
			refused = append(refused, v)
		}
	}
	return in, refused
}

// Dossiers come at many times what the fleet can do. Without the refusal all of
// them are let in, and their callers learn after five minutes that the summary
// is late; with it those beyond the deadline hear at once when to come back.
func TestWhatCannotMeetItsDeadlineIsRefusedAtOnce(t *testing.T) {
	c, q, f := New(), queue.New(), fleet(9, engineapi.Load{})
	in, refused := letIn(c, q, f, 1000, "m")
	// 45,000 tokens/s of prefill do 450 dossiers in five minutes.
	if in < 200 || in > 450 {
		t.Fatalf("%d of 1,000 let in", in)
	}
	seen := map[time.Duration]bool{}
	for _, v := range refused {
		if v.Code != outcome.CodeDeadline || v.RetryAfter < minRetryAfter || v.RetryAfter > 3*maxRetryAfter/2 {
			t.Fatalf("refused with %s, retry after %v", v.Code, v.RetryAfter)
		}
		seen[v.RetryAfter.Round(100*time.Millisecond)] = true
	}
	if len(seen) < 3 {
		t.Fatalf("all come back together: %v", seen)
	}
}

// One member's burst fills the queue up to the deadline. Another member's first
// dossier must be let in all the same: fair queueing serves it in its turn.
func TestAMembersBurstRefusesNoOtherMember(t *testing.T) {
	c, q, f := New(), queue.New(), fleet(9, engineapi.Load{})
	letIn(c, q, f, 1000, "heavy")
	if v := c.Admit(0, dossier("light", "light", 0), f, q.Summary()); !v.Admit {
		t.Fatalf("refused: %s (%v)", v.Reason, v.Figures)
	}
	v := c.Admit(0, dossier("more", "heavy", 0), f, q.Summary())
	if v.Admit || v.Code != outcome.CodeOverloaded {
		t.Fatalf("the heavy member: %+v", v)
	}
}

// Bulk work waits for minutes. A clerk's question passes it at the engines and in
// the queue and must not be refused for it.
func TestQuestionsAreNotRefusedForBulkThatWaits(t *testing.T) {
	c, q := New(), queue.New()
	f := fleet(9, engineapi.Load{Running: 20, QueuedPrefillTokens: 20000, RunningDecodeTokens: 10000})
	letIn(c, q, f, 1000, "m")
	if v := c.Admit(0, question("q", "m", 0), f, q.Summary()); !v.Admit {
		t.Fatalf("refused: %s (%v)", v.Reason, v.Figures)
	}
}

func TestPlainServicesDoNotWaitForModels(t *testing.T) {
	c, q, f := New(), queue.New(), fleet(1, engineapi.Load{QueuedPrefillTokens: 1e9})
	letIn(c, q, f, 100, "m")
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
	w := dossier("d", "m", 0)
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
	if granted < 200 || granted > 200+minRetries {
		t.Fatalf("%d retries for 1,000 served at 0.2", granted)
	}
}

func BenchmarkAdmit(b *testing.B) {
	for _, engines := range []int{9, 90, 450, 2700} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			c, q, f := New(), queue.New(), fleet(engines, engineapi.Load{Running: 10, KVTokens: 600000})
			for i := range 100 {
				q.Push(*dossier(fmt.Sprint(i), fmt.Sprint("m", i%10), 0))
			}
			w := question("q", "m1", 0)
			b.ReportAllocs()
			for b.Loop() {
				c.Admit(0, w, f, q.Summary())
			}
		})
	}
}
