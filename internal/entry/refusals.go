package entry

import (
	"net/http"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/outcome"
)

const (
	// retrySoon is the retry delay after a condition that lasts about a second.
	retrySoon = time.Second
	// retryLater is the retry delay after a condition that lasts a few seconds.
	retryLater = 2 * time.Second
)

// outcomeOf is what is known of a request that gets no answer. Reducer.refuse sets it on every
// refusal.
func outcomeOf(q *request) outcome.Outcome {
	if q.mayHaveRun {
		return outcome.Unknown
	}
	return outcome.NotRun
}

// unavailable refuses a request that another entry, or this one after a delay, may accept.
func unavailable(code outcome.Code, message string, retryAfter time.Duration) *outcome.Refusal {
	return &outcome.Refusal{
		Status: http.StatusServiceUnavailable, Code: code, Message: message, RetryAfter: retryAfter,
	}
}

func refuseStale() *outcome.Refusal {
	return unavailable(outcome.CodeStaleView, "this entry is cut off and no backend server confirmed itself; ask another", retrySoon)
}

// refuseUnknownCredential sets no retry delay, since a retry with the same credential can't
// succeed.
func refuseUnknownCredential() *outcome.Refusal {
	return &outcome.Refusal{
		Status: http.StatusUnauthorized, Code: outcome.CodeUnauthenticated,
		Message: "no member has the credential that came with this request",
	}
}

func refuseOutdatedCredentials() *outcome.Refusal {
	return unavailable(outcome.CodeStaleView, "this entry is cut off and can't tell which credentials still count; ask another", retrySoon)
}

func refuseFull() *outcome.Refusal {
	return &outcome.Refusal{
		Status: http.StatusTooManyRequests, Code: outcome.CodeOverloaded,
		Message: "this entry has as many requests as it may hold", RetryAfter: retryLater,
	}
}

func refuseBusy() *outcome.Refusal {
	return &outcome.Refusal{
		Status: http.StatusTooManyRequests, Code: outcome.CodeOverloaded,
		Message: "this entry has more requests than it can pass on in time", RetryAfter: retryLater,
	}
}

// refuseQuarantined uses status 422, since sending the same content again can't succeed.
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
		Message: "the backend servers that were tried gave no whole answer", RetryAfter: retryLater,
	}
}

func refuseUnknown() *outcome.Refusal {
	return &outcome.Refusal{
		Status: http.StatusBadGateway, Code: outcome.CodeOutcomeUnknown,
		Message: "the call was sent once and no answer came; it may have run and is not sent again",
	}
}

// refuseTimeout leaves a request that has not run open to a retry.
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
	return unavailable(outcome.CodeNoServer, "no backend server is left that runs it", retrySoon)
}

func refuseNotTaken() *outcome.Refusal {
	return unavailable(outcome.CodeOverloaded, "the backend servers that were tried did not run it", retrySoon)
}

func refuseRetryLimit() *outcome.Refusal {
	return unavailable(outcome.CodeOverloaded, "too much is being sent again to send this once more", retrySoon)
}

// refuseThrottled sets the retry delay by what the servers said about when, or at what rate, they
// accept requests.
func refuseThrottled(retryAfter time.Duration) *outcome.Refusal {
	return unavailable(outcome.CodeDeadline, "its servers take no more work until it is too late", retryAfter)
}

func refuseLate() *outcome.Refusal {
	return unavailable(outcome.CodeDeadline, "it can't be answered before its deadline any more", retryLater)
}
