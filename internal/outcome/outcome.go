// Package outcome defines how answers and refusals state what happened to a request:
// outcomes, error codes, headers and the error body that callers get.
package outcome

import (
	"net/http"
	"strconv"
	"time"
)

// Outcome states whether a request ran on a backend server.
type Outcome string

const (
	// Ran means that a backend server ran the request and the answer is from it.
	Ran Outcome = "ran"
	// NotRun means that no byte of the request reached a backend server, or that the
	// server reported that it did not start it. It is safe to retry.
	NotRun Outcome = "not_run"
	// Unknown means that the request may have run. A call that must run at most once must
	// not be retried under another idempotency key.
	Unknown Outcome = "unknown"
)

// Names of headers that the system reads from requests or adds to answers.
const (
	// HeaderOutcome carries an Outcome.
	HeaderOutcome = "X-Goldcrest-Outcome"
	// HeaderRequestID carries the request id, which the caller chose or the entry generated.
	HeaderRequestID = "X-Request-Id"
	// HeaderAttempt carries the attempt number on requests to backend servers.
	HeaderAttempt = "X-Goldcrest-Attempt"
	// HeaderEntry names the entry that answered.
	HeaderEntry = "X-Goldcrest-Entry"
	// HeaderIdempotencyKey carries the UUIDv7 of a call that must run at most once.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderRetryAfter carries the wait before a retry in whole seconds, rounded up.
	HeaderRetryAfter = "Retry-After"
	// HeaderReplayed is "true" if the answer is the stored answer of an earlier run.
	HeaderReplayed = "X-Goldcrest-Replayed"
)

// Code states in machine-readable form why a request was refused or failed.
type Code string

// The codes that callers get. docs/CALLERS.md describes what to do on each.
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
	CodeCutOff             Code = "entry_cut_off"
	CodeQuarantined        Code = "request_crashes_servers"
	CodeAlreadyRan         Code = "already_ran"
	CodeAlreadyRunning     Code = "already_running"
	CodeKeyExpired         Code = "key_outside_window"
	CodeKeyMismatch        Code = "key_used_for_other_content"
	CodeOutcomeUnknown     Code = "outcome_unknown"
	CodeControlUnreachable Code = "control_unreachable"
	CodeServerFailed       Code = "backend_server_failed"
	CodeEntryFailed        Code = "entry_failed"
	CodeOriginUnknown      Code = "stream_origin_unknown"
	CodeOriginGone         Code = "stream_origin_gone"
)

// Refusal is the final answer to a request that was refused or has failed.
type Refusal struct {
	Status  int
	Code    Code
	Message string
	Outcome Outcome
	// RetryAfter is how long to wait before a retry. Zero means that a retry won't help.
	RetryAfter time.Duration
}

// leavingRetryAfter is the RetryAfter of an entry that stops: another one may take the request at once.
const leavingRetryAfter = time.Second

// Leaving refuses a request at an entry that stops as planned. The outcome says what is known of its execution.
func Leaving(o Outcome) *Refusal {
	if o == NotRun {
		return &Refusal{
			Status: http.StatusServiceUnavailable, Code: CodeLeaving, Outcome: o, RetryAfter: leavingRetryAfter,
			Message: "this entry stops; ask another",
		}
	}
	return &Refusal{
		Status: http.StatusBadGateway, Code: CodeLeaving, Outcome: o,
		Message: "this entry stops and no whole answer came before its end; it may have run",
	}
}

// viewRetryAfter is the RetryAfter of an entry without a current view, that is the state of the
// deployment as control distributes it. Control sends one within about a second.
const viewRetryAfter = time.Second

// NoConfiguration refuses a request that reaches an entry before its first configuration.
func NoConfiguration() *Refusal {
	return &Refusal{
		Status: http.StatusServiceUnavailable, Code: CodeStaleView, Outcome: NotRun,
		Message:    "this entry has not learned its configuration yet; ask another",
		RetryAfter: viewRetryAfter,
	}
}

// OutdatedView refuses a request that the entry can't decide because it may have missed a
// change of the view.
func OutdatedView() *Refusal {
	return &Refusal{
		Status: http.StatusServiceUnavailable, Code: CodeStaleView, Outcome: NotRun,
		Message:    "this entry is cut off and may have missed a change; ask another",
		RetryAfter: viewRetryAfter,
	}
}

// Error returns the code and the message.
func (r *Refusal) Error() string { return string(r.Code) + ": " + r.Message }

// RetryAfterSeconds returns the value of the Retry-After header: whole seconds, rounded up.
func (r *Refusal) RetryAfterSeconds() string {
	secs := (r.RetryAfter + time.Second - 1) / time.Second
	return strconv.FormatInt(int64(secs), 10)
}

// Body is the JSON error body in the form that OpenAI-compatible clients expect.
type Body struct {
	Error BodyError `json:"error"`
}

// BodyError is the error object of a Body.
type BodyError struct {
	Message   string  `json:"message"`
	Type      string  `json:"type"`
	Code      Code    `json:"code"`
	Outcome   Outcome `json:"outcome"`
	RequestID string  `json:"request_id,omitempty"`
}

// Body returns the error body for the request with that id.
func (r *Refusal) Body(requestID string) Body {
	kind := "server_error"
	if r.Status < 500 {
		kind = "invalid_request_error"
	}
	return Body{Error: BodyError{
		Message: r.Message, Type: kind, Code: r.Code, Outcome: r.Outcome, RequestID: requestID,
	}}
}
