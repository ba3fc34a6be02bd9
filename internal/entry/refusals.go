package entry

import (
	"net/http"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/outcome"
)

const (
	// soon is when to come back after a state that lasts about a second.
	soon = time.Second
	// later is when to come back after a state that lasts a few seconds.
	later = 2 * time.Second
)

// outcomeOf is what is known of a request that gets no answer. Reducer.refuse
// sets it on every refusal.
func outcomeOf(q *request) outcome.Outcome {
	if q.mayHaveRun {
		return outcome.Unknown
	}
	return outcome.NotRun
}

// unavailable refuses what another entry, or the same one after a while, may do.
func unavailable(code outcome.Code, message string, after time.Duration) *outcome.Refusal {
	return &outcome.Refusal{
		Status: http.StatusServiceUnavailable, Code: code, Message: message, RetryAfter: after,
	}
}

func refuseStale() *outcome.Refusal {
	return unavailable(outcome.CodeStaleView, "this entry is cut off and no backend server confirmed itself; ask another", soon)
}

// refuseUnknownCredential: coming back with the same one won't help.
func refuseUnknownCredential() *outcome.Refusal {
	return &outcome.Refusal{
		Status: http.StatusUnauthorized, Code: outcome.CodeUnauthenticated,
		Message: "no member has the credential that came with this request",
	}
}

func refuseOutdatedCredentials() *outcome.Refusal {
	return unavailable(outcome.CodeStaleView, "this entry is cut off and can't tell which credentials still count; ask another", soon)
}

func refuseLeaving() *outcome.Refusal {
	return unavailable(outcome.CodeLeaving, "this entry stops; ask another", soon)
}

func refuseFull() *outcome.Refusal {
	return &outcome.Refusal{
		Status: http.StatusTooManyRequests, Code: outcome.CodeOverloaded,
		Message: "this entry has as many requests as it may hold", RetryAfter: later,
	}
}

// refuseQuarantined: 422, since sending the same content again can't help.
func refuseQuarantined() *outcome.Refusal {
	return &outcome.Refusal{
		Status: http.StatusUnprocessableEntity, Code: outcome.CodeQuarantined,
		Message: "this request has crashed the backend servers that ran it and is not run again",
	}
}

func refuseInvalid() *outcome.Refusal {
	return &outcome.Refusal{
		Status: http.StatusBadRequest, Code: outcome.CodeInvalidRequest,
		Message: "the backend server does not take this request",
	}
}

func refuseFailed() *outcome.Refusal {
	return &outcome.Refusal{
		Status: http.StatusBadGateway, Code: outcome.CodeServerFailed,
		Message: "the backend servers that were tried gave no whole answer", RetryAfter: later,
	}
}

func refuseUnknown() *outcome.Refusal {
	return &outcome.Refusal{
		Status: http.StatusBadGateway, Code: outcome.CodeOutcomeUnknown,
		Message: "the call was sent once and no answer came; it may have run and is not sent again",
	}
}

// refuseTimeout: what has not run by its time may still be sent again.
func refuseTimeout(q *request) *outcome.Refusal {
	if !q.mayHaveRun {
		return refuseLate()
	}
	return &outcome.Refusal{
		Status: http.StatusGatewayTimeout, Code: outcome.CodeDeadline,
		Message: "no whole answer came within the time that the request may take",
	}
}

func refuseNoServer() *outcome.Refusal {
	return unavailable(outcome.CodeNoServer, "no backend server is left that runs it", soon)
}

func refuseNotTaken() *outcome.Refusal {
	return unavailable(outcome.CodeOverloaded, "the backend servers that were tried did not run it", soon)
}

func refuseRepeats() *outcome.Refusal {
	return unavailable(outcome.CodeOverloaded, "too much is being sent again to send this once more", soon)
}

// refuseClosed: the servers have said when they take more, or how much.
func refuseClosed(after time.Duration) *outcome.Refusal {
	return unavailable(outcome.CodeDeadline, "its servers take no more work until it is too late", after)
}

func refuseLate() *outcome.Refusal {
	return unavailable(outcome.CodeDeadline, "it can't be answered before its deadline any more", later)
}
