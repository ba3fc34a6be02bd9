package queue

import (
	"fmt"
	"testing"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
	"goldcrestseam.dev/goldcrestseam/internal/declaration"
)

// An engine dies at twice the fleet's load. A dossier that had begun there waits for
// a place with half of an engine's memory; the questions of other members take each
// bit of memory as it gets free. Its caller saw it stand still until it gave up.
func TestBegunWorkIsNotStarvedBySmallNewWork(t *testing.T) {
	const memory, small, big = 100, 10, 50
	q := New()
	work := func(id string, tokens int, at time.Duration) decision.Work {
		return decision.Work{
			RequestID: id, Member: id, MemberWeight: 1, Profile: "counter", Kind: declaration.KindModel, Model: "m",
			Class: declaration.ClassUrgent, PromptTokens: tokens, Arrived: at,
			FirstTokenBy: at + 10*time.Second, FinishBy: at + time.Minute,
		}
	}
	resumed := work("dossier", big, 0)
	resumed.Resumed, resumed.Class, resumed.Profile = true, declaration.ClassBulk, "dossier"
	q.Push(resumed)
	free := 0
	for step := range 400 {
		now := time.Duration(step) * 50 * time.Millisecond
		q.Push(work(fmt.Sprint("q", step), small, now))
		free += small // one of the questions that run is done
		for {
			w, ok := q.Pop(now, func(w *decision.Work) bool { return w.PromptTokens <= free })
			if !ok {
				break
			}
			if w.RequestID == "dossier" {
				if now > 3*time.Second {
					t.Fatalf("it went on only after %v", now)
				}
				return
			}
			free -= w.PromptTokens
		}
	}
	t.Fatal("it has not gone on in 20 s")
}

// Begun work fits nowhere. It must not hold all other work back for good.
func TestBegunWorkThatFitsNowhereHoldsNobodyForLong(t *testing.T) {
	q := New()
	q.Push(decision.Work{
		RequestID: "dossier", Profile: "dossier", Kind: declaration.KindModel, Model: "m", Resumed: true, FinishBy: time.Hour,
	})
	served, held := 0, time.Duration(0)
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
			held, last = max(held, now-last), now
		}
	}
	if served < 500 || held > holdLimit+100*time.Millisecond {
		t.Fatalf("%d of 600 served, the longest hold %v", served, held)
	}
}
