package queue

import (
	"fmt"
	"testing"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
	"goldcrestseam.dev/goldcrestseam/internal/declaration"
)

// An engine dies while the load is twice the fleet's capacity. A bulk request that ran there
// needs half of an engine's memory, and small requests of other members take the memory as
// it is freed. The stream must go on before its caller gives up.
func TestResumedWorkIsNotStarvedBySmallNewWork(t *testing.T) {
	const memory, small, large = 100, 10, 50
	q := New()
	newWork := func(id string, tokens int, at time.Duration) decision.Work {
		return decision.Work{
			RequestID: id, Member: id, MemberWeight: 1, Profile: "counter", Kind: declaration.KindModel, Model: "m",
			Class: declaration.ClassUrgent, PromptTokens: tokens, Arrived: at,
			FirstTokenBy: at + 10*time.Second, FinishBy: at + time.Minute,
		}
	}
	resumed := newWork("dossier", large, 0)
	resumed.Resumed, resumed.Class, resumed.Profile = true, declaration.ClassBulk, "dossier"
	q.Push(resumed)
	free := 0
	for step := range 400 {
		now := time.Duration(step) * 50 * time.Millisecond
		q.Push(newWork(fmt.Sprint("q", step), small, now))
		free += small // one of the running requests finishes
		for {
			w, ok := q.Pop(now, func(w *decision.Work) bool { return w.PromptTokens <= free })
			if !ok {
				break
			}
			if w.RequestID == "dossier" {
				if now > 3*time.Second {
					t.Fatalf("the resumed request was served only after %v", now)
				}
				return
			}
			free -= w.PromptTokens
		}
	}
	t.Fatal("the resumed request was not served within 20 s")
}

// A resumed request fits nowhere. It must not hold all others back for good.
func TestResumedWorkThatFitsNowhereBlocksOthersOnlyBriefly(t *testing.T) {
	q := New()
	q.Push(decision.Work{
		RequestID: "dossier", Profile: "dossier", Kind: declaration.KindModel, Model: "m", Resumed: true, FinishBy: time.Hour,
	})
	served, longestHold := 0, time.Duration(0)
	last := time.Duration(0)
	for step := range 600 {
		now := time.Duration(step) * 50 * time.Millisecond
		q.Push(decision.Work{
			RequestID: fmt.Sprint("q", step), Profile: "counter", Kind: declaration.KindModel, Model: "m",
			FirstTokenBy: now + time.Minute, FinishBy: now + time.Minute,
		})
		for {
			w, ok := q.Pop(now, func(w *decision.Work) bool { return w.RequestID != "dossier" })
			if !ok {
				break
			}
			_ = w
			served++
			longestHold, last = max(longestHold, now-last), now
		}
	}
	if served < 500 || longestHold > holdTime+100*time.Millisecond {
		t.Fatalf("%d of 600 served, longest time without service %v", served, longestHold)
	}
}
