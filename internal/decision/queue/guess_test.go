package queue

import (
	"testing"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
	"goldcrestseam.dev/goldcrestseam/internal/declaration"
)

// A request waits whose output is guessed to take longer than its deadline allows. It must
// expire when its prompt can't be prefilled in time any more, not because of the guess.
func TestUncertainOutputDoesNotExpireWork(t *testing.T) {
	w := decision.Work{
		RequestID: "r", Kind: declaration.KindModel, Model: "m", Class: declaration.ClassUrgent, SoftFirstTokenDeadline: true,
		PromptTokens: 10000, OutputTokens: 5000, OutputUncertain: true,
		EngineSpeed:  decision.EngineSpeed{PrefillRate: 25000, TokenTime: 9 * time.Millisecond},
		FirstTokenBy: 400 * time.Millisecond, FinishBy: 4 * time.Second,
	}
	q := New()
	q.Push(w)
	if expired := q.Expire(3 * time.Second); len(expired) != 0 {
		t.Fatal("expired a second before its deadline, with 0.4 s of prefill to do")
	}
	if expired := q.Expire(3700 * time.Millisecond); len(expired) != 1 {
		t.Fatal("not expired when its prompt can't be prefilled in time any more")
	}
}
