package entry

import (
	"net/http"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision/placement"
	"goldcrestseam.dev/goldcrestseam/internal/declaration"
	"goldcrestseam.dev/goldcrestseam/internal/outcome"
)

const (
	// shedAt is the part of its time to the first token that a long prompt may be
	// expected to take before it is turned away: what is expected is low by a third
	// when many entries send at once.
	shedAt = 0.75
	// minShedRetry and maxShedRetry bound when it may come back: less and it meets the
	// same queue, more and it has no time left to be answered.
	minShedRetry = 500 * time.Millisecond
	maxShedRetry = 2 * time.Second
)

// shed turns long work away that would be late, at once and with when to come back.
//
// It answers bursts of dossiers beyond what the engines can read. Queued, all of
// them are late, and late ones are worth a tenth to a third; a part turned away for a
// second or two leaves the others on time, and comes back when the burst is over.
func (r *Reducer) shed(q *request, choice placement.Choice) *outcome.Refusal {
	if !q.endsInTime || q.attempts > 0 || q.work.Class != declaration.ClassBulk {
		return nil
	}
	allowed := shedAt * (q.work.FirstTokenBy - q.work.Arrived).Seconds()
	if choice.First <= allowed {
		return nil
	}
	after := time.Duration((choice.First - allowed) * float64(time.Second))
	return &outcome.Refusal{
		Status: http.StatusServiceUnavailable, Code: outcome.CodeOverloaded,
		Message:    "engines have more to read than lets it be answered in time",
		RetryAfter: min(max(after, minShedRetry), maxShedRetry),
	}
}
