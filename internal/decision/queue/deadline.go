package queue

import (
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
	"goldcrestseam.dev/goldcrestseam/internal/declaration"
)

// Rates that a single request gets on a busy mixed engine: what latestStart
// reckons with. They are those of internal/enginemodel under interference, so
// that work which starts at its latest start still finishes in time.
const (
	busyPrefillRate  = 3400 // tokens/s
	busyTokenTime    = 60 * time.Millisecond
	quietTokenTime   = 21 * time.Millisecond
	quietPrefillRate = 10000
)

// latestStart is when the work must start to finish in time on a busy engine.
func latestStart(w *decision.Work) time.Duration {
	return w.FinishBy - serviceTime(w, busyPrefillRate, busyTokenTime)
}

// expiresAt is when the work can't be answered in time any more, even on an
// idle engine. A bulk answer that is late for its first token is still of use;
// nobody waits at the desk for an urgent one any more.
func expiresAt(w *decision.Work) time.Duration {
	if w.Resumed {
		return w.FinishBy + neverExpires
	}
	last := w.FinishBy - serviceTime(w, quietPrefillRate, quietTokenTime)
	if w.Class == declaration.ClassBulk {
		return last
	}
	return min(last, w.FirstTokenBy)
}

// neverExpires keeps work that was accepted before from being refused for load:
// its caller holds a part of the answer.
const neverExpires = 365 * 24 * time.Hour

func serviceTime(w *decision.Work, prefillRate float64, tokenTime time.Duration) time.Duration {
	if w.Kind == declaration.KindPlain {
		return 0
	}
	prefill := time.Duration(float64(w.PromptTokens) / prefillRate * float64(time.Second))
	return prefill + time.Duration(w.OutputTokens)*tokenTime
}
