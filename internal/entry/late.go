package entry

import (
	"net/http"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision/admission"
	"goldcrestseam.dev/goldcrestseam/internal/decision/placement"
	"goldcrestseam.dev/goldcrestseam/internal/declaration"
	"goldcrestseam.dev/goldcrestseam/internal/outcome"
)

// refuseIfLate returns a refusal, with a time to retry, for bulk work that the prompts of other
// requests would make late. It returns nil for work that is to be served.
func (r *Reducer) refuseIfLate(q *request, choice placement.Choice) *outcome.Refusal {
	if !q.hardDeadline || q.attempts > 0 || q.work.Resumed || q.work.Class != declaration.ClassBulk {
		return nil
	}
	ownPrefill := time.Duration(choice.PrefillSeconds * float64(time.Second))
	firstToken := time.Duration(choice.FirstTokenSeconds * float64(time.Second))
	retryAfter, late := admission.LateFromBacklog(&q.work, firstToken-ownPrefill, ownPrefill)
	if !late {
		return nil
	}
	return &outcome.Refusal{
		Status: http.StatusServiceUnavailable, Code: outcome.CodeOverloaded,
		Message:    "engines have more to read than lets it be answered in time",
		RetryAfter: retryAfter,
	}
}
