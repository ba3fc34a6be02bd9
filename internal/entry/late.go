package entry

import (
	"net/http"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision/admission"
	"goldcrestseam.dev/goldcrestseam/internal/decision/placement"
	"goldcrestseam.dev/goldcrestseam/internal/declaration"
	"goldcrestseam.dev/goldcrestseam/internal/outcome"
)

// turnLateAway refuses long work that others' prompts would make late, at once and with
// when to come back; nil for work that is served.
func (r *Reducer) turnLateAway(q *request, choice placement.Choice) *outcome.Refusal {
	if !q.endsInTime || q.attempts > 0 || q.work.Class != declaration.ClassBulk {
		return nil
	}
	own := time.Duration(choice.PrefillSeconds * float64(time.Second))
	first := time.Duration(choice.FirstTokenSeconds * float64(time.Second))
	after, late := admission.LateFromBacklog(&q.work, first-own, own)
	if !late {
		return nil
	}
	return &outcome.Refusal{
		Status: http.StatusServiceUnavailable, Code: outcome.CodeOverloaded,
		Message:    "engines have more to read than lets it be answered in time",
		RetryAfter: after,
	}
}
