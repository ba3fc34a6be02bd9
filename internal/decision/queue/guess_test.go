package queue

import (
	"testing"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
	"goldcrestseam.dev/goldcrestseam/internal/declaration"
)

// Work waits for a place; its output is guessed to take longer than its time. It
// expires when its prompt can't be read in time any more, and not for the guess.
func TestGuessedOutputDoesNotExpireWork(t *testing.T) {
	w := decision.Work{
		RequestID: "r", Kind: declaration.KindModel, Model: "m", Class: declaration.ClassUrgent, SoftFirstTokenDeadline: true,
		PromptTokens: 10000, OutputTokens: 5000, OutputUncertain: true,
		EngineSpeed:  decision.EngineSpeed{PrefillRate: 25000, TokenTime: 9 * time.Millisecond},
		FirstTokenBy: 400 * time.Millisecond, FinishBy: 4 * time.Second,
	}
	q := New()
	q.Push(w)
	if gone := q.Expire(3 * time.Second); len(gone) != 0 {
		t.Fatal("expired with a second left for a prompt of 0.4 s")
	}
	if gone := q.Expire(3700 * time.Millisecond); len(gone) != 1 {
		t.Fatal("still waits when its prompt can't be read in time")
	}
}
