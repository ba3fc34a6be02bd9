// Package outcome holds the words in which every answer and refusal says what
// became of a request, and the error body that callers get.
package outcome

import (
	"net/http"
	"strconv"
	"time"
)

// Outcome says whether a request ran at a backend server.
type Outcome string

const (
	// Ran: a backend server ran it and the answer is its answer.
	Ran Outcome = "ran"
	// NotRun: no byte of it reached a backend server, or the server said that
	// it did not start it. It is safe to send again.
	NotRun Outcome = "not_run"
	// Unknown: it may have run. A once-only call must not be sent again under
	// another key.
	Unknown Outcome = "unknown"
)

// Header names that the system adds to answers.
const (
	// HeaderOutcome carries an Outcome.
	HeaderOutcome = "X-Goldcrest-Outcome"
	// HeaderRequestID carries the request id, the caller's own or a given one.
	HeaderRequestID = "X-Request-Id"
	// HeaderAttempt carries the attempt number towards backend servers.
	HeaderAttempt = "X-Goldcrest-Attempt"
	// HeaderEntry names the entry that answered.
	HeaderEntry = "X-Goldcrest-Entry"
	// HeaderIdempotencyKey carries a once-only call's UUIDv7.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderRetryAfter is in whole seconds, rounded up.
	HeaderRetryAfter = "Retry-After"
	// HeaderReplayed is "true" on a stored answer of an earlier run.
	HeaderReplayed = "X-Goldcrest-Replayed"
)

// Code names why a request was refused or failed, for programs.
type Code string

// The codes that callers see; docs/CALLERS.md tells what to do on each.
const (
	CodeInvalidRequest     Code = "invalid_request"
	CodeTooLarge           Code = "too_large"
	CodeUnauthenticated    Code = "unauthenticated"
	CodeForbidden          Code = "forbidden"
	CodeNotFound           Code = "not_found"
	CodeDeadline           Code = "deadline_cannot_be_met"
	CodeOverloaded         Code = "overloaded"
	CodeNoServer           Code = "no_backend_server"
	CodeStaleView          Code = "entry_out_of_date"
	CodeLeaving            Code = "entry_leaving"
	CodeQuarantined        Code = "request_crashes_servers"
	CodeAlreadyRan         Code = "already_ran"
	CodeAlreadyRunning     Code = "already_running"
	CodeKeyExpired         Code = "key_outside_window"
	CodeKeyMismatch        Code = "key_used_for_other_content"
	CodeOutcomeUnknown     Code = "outcome_unknown"
	CodeControlUnreachable Code = "control_unreachable"
	CodeServerFailed       Code = "backend_server_failed"
	CodeEntryFailed        Code = "entry_failed"
)

// Refusal is a final answer without a result. It is sent at once.
type Refusal struct {
	Status  int
	Code    Code
	Message string
	Outcome Outcome
	// RetryAfter is when to come back; zero means that coming back won't help.
	RetryAfter time.Duration
}

// noConfigurationRetry is when to come back to an entry that is still to learn
// its configuration: control tells it one within about a second.
const noConfigurationRetry = time.Second

// NoConfiguration refuses what reaches an entry before its first configuration.
func NoConfiguration() *Refusal {
	return &Refusal{
		Status: http.StatusServiceUnavailable, Code: CodeStaleView, Outcome: NotRun,
		Message:    "this entry has not learned its configuration yet; ask another",
		RetryAfter: noConfigurationRetry,
	}
}

// OutdatedView refuses what the entry can't judge: it may have missed a change.
func OutdatedView() *Refusal {
	return &Refusal{
		Status: http.StatusServiceUnavailable, Code: CodeStaleView, Outcome: NotRun,
		Message:    "this entry is cut off and may have missed a change; ask another",
		RetryAfter: noConfigurationRetry,
	}
}

// Error makes a Refusal an error.
func (r *Refusal) Error() string { return string(r.Code) + ": " + r.Message }

// RetryAfterSeconds is the Retry-After value: whole seconds, rounded up.
func (r *Refusal) RetryAfterSeconds() string {
	secs := (r.RetryAfter + time.Second - 1) / time.Second
	return strconv.FormatInt(int64(secs), 10)
}

// Body is the JSON error body, in the shape that OpenAI-style clients read.
type Body struct {
	Error BodyError `json:"error"`
}

// BodyError is the inside of Body.
type BodyError struct {
	Message   string  `json:"message"`
	Type      string  `json:"type"`
	Code      Code    `json:"code"`
	Outcome   Outcome `json:"outcome"`
	RequestID string  `json:"request_id,omitempty"`
}

// Body gives the error body for the request with that id.
func (r *Refusal) Body(requestID string) Body {
	kind := "server_error"
	if r.Status < 500 {
		kind = "invalid_request_error"
	}
	return Body{Error: BodyError{
		Message: r.Message, Type: kind, Code: r.Code, Outcome: r.Outcome, RequestID: requestID,
	}}
}
