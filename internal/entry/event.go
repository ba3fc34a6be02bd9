package entry

import (
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
	"goldcrestseam.dev/goldcrestseam/internal/decision/backpressure"
	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
	"goldcrestseam.dev/goldcrestseam/internal/outcome"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// Event is what the Reducer steps on.
type Event interface{ isEvent() }

// Tick lets time pass.
type Tick struct{}

// ViewReceived is an answer of control. The lease counts from SentAt.
type ViewReceived struct {
	SentAt   time.Duration
	Response *pb.WatchResponse
}

// Announced is a backend server's own word, checked for form already.
type Announced struct{ Announcement engineapi.Announcement }

// ServerReported is what a server said of itself on an answer or a probe.
type ServerReported struct {
	Server      string
	Incarnation string
	// State is empty where it told none.
	State   engineapi.State
	Load    engineapi.Load
	HasLoad bool
	// FromResponse tells that this came with an answer to a request that was sent at SentAt, and
	// that Word is what the server said with it of the work that it wants.
	FromResponse bool
	SentAt       time.Duration
	Backpressure backpressure.Signal
}

// PermitRequested is another entry's question for permits; it is answered with an AnswerPermit of
// the same key.
type PermitRequested struct {
	Key     string
	Request *pb.PermitRequest
}

// PermitAnswered is the answer to an RequestPermit, PermitTimedOut tells that there was none.
type PermitAnswered struct {
	Server, Incarnation string
	Answer              *pb.PermitAnswer
}

// PermitTimedOut tells that the entry at an address gave no answer about that server in time.
type PermitTimedOut struct{ Address, Server, Incarnation string }

// ProbeFailed tells that a health probe got no answer.
type ProbeFailed struct {
	Server      string
	Incarnation string
}

// ReportFailed tells that control may not have got a report.
type ReportFailed struct{ Request *pb.ReportRequest }

// ReportAnswered tells that control has answered a report.
type ReportAnswered struct {
	Request *pb.ReportRequest
	// ResendInFull are servers that control must be told of in full again.
	ResendInFull []string
	// Term is that of the leader that has answered.
	Term uint64
}

// RetryRule says how often a request may be sent.
type RetryRule int

// Rules of repeating.
const (
	// RetryResuming: model work; it goes on from the tokens it has.
	RetryResuming RetryRule = iota
	// RetryAllowed: an idempotent call of a plain service.
	RetryAllowed
	// RetryNever: at most one send.
	RetryNever
)

// RequestArrived is a new request that a member may make. Work.RequestID is its wire
// id (engineapi.WireID).
type RequestArrived struct {
	Work  decision.Work
	Retry RetryRule
	// Credential is the hash of what the caller showed for a member, empty for none.
	Credential string
	// MembersOnly tells that the request runs only for the member that holds Credential
	// when it is sent on.
	MembersOnly bool
	// Fingerprint names the request's content under its member, for quarantine.
	Fingerprint uint64
	// RetryBudget is the profile's.
	RetryBudget float64
	// MaxRuns is on how many servers the request may run; 0: no bound of its own.
	MaxRuns int
	// HardDeadline tells that the final answer is due at Work.FinishBy, also when
	// the caller holds a part of the answer.
	HardDeadline bool
	// Attempt is the last attempt that another entry may have used, 0 for none.
	Attempt uint32
	// Offset is how many tokens the caller has already.
	Offset int
	// Server and Incarnation name the engine that runs a resumed request.
	Server      string
	Incarnation string
}

// AttemptProgress tells that tokens came.
type AttemptProgress struct {
	RequestID string
	Attempt   uint32
	// Tokens is how many came with this attempt so far.
	Tokens int
}

// PrefillDone tells that the engine that prefills for an attempt has done so and
// holds the KV cache. It is answered with a DecodeAt, or as if the attempt had
// ended without being run.
type PrefillDone struct {
	RequestID string
	Attempt   uint32
}

// AttemptEnded tells how an attempt at a backend server ended.
type AttemptEnded struct {
	RequestID string
	Attempt   uint32
	// Complete tells that the answer is complete.
	Complete bool
	// Outcome is what is known: NotRun when no byte was sent or the server
	// said so.
	Outcome outcome.Outcome
	// ServerDied tells that the server's process seems gone (connection
	// refused or reset), and not only this connection.
	ServerDied bool
	// StreamUnknown tells that the server does not know the stream to go on with.
	StreamUnknown bool
	// Invalid tells that the server will never take this request.
	Invalid bool
	// AtPrefillServer tells that all this is about the engine that was to prefill.
	AtPrefillServer bool
	// Unsent tells that no server got any byte of this attempt.
	Unsent bool
	Tokens int
	// FirstToken and Decode are the times to the first token and from it to
	// the last; Took is the whole time.
	FirstToken time.Duration
	Decode     time.Duration
	Elapsed    time.Duration
}

// CallerDisconnected tells that the caller's connection is gone.
type CallerDisconnected struct{ RequestID string }

// DeadlineExpired tells that the time of a request with HardDeadline has run out.
type DeadlineExpired struct{ RequestID string }

// Stop begins the planned stop of the entry. Keep is how long callers may still
// come that were told of it before.
type Stop struct {
	AcceptFor time.Duration
	// ShortOnlyAfter is when only work is still taken that ends in time, Ends when the entry
	// lets go of what still runs, both from now on; zero Ends: it waits or hands on.
	ShortOnlyAfter, EndsAfter time.Duration
}

// PeerReported is another entry's report of what it has at backend servers.
type PeerReported struct{ Request *pb.PeerReport }

// SumRequested is another entry's question for the sum of backlogs; it is answered with an
// AnswerSum of the same key.
type SumRequested struct {
	Key     string
	Request *pb.PeerSumRequest
}

// SumReceived is an aggregator's answer to a question that was sent at SentAt.
type SumReceived struct {
	SentAt time.Duration
	Sum    *pb.PeerSum
}

// AggregatorTimedOut tells that the aggregator at an address gave no answer in time.
type AggregatorTimedOut struct{ Address string }

func (PermitRequested) isEvent()    {}
func (PermitAnswered) isEvent()     {}
func (PermitTimedOut) isEvent()     {}
func (SumRequested) isEvent()       {}
func (SumReceived) isEvent()        {}
func (AggregatorTimedOut) isEvent() {}
func (PeerReported) isEvent()       {}
func (Tick) isEvent()               {}
func (ViewReceived) isEvent()       {}
func (Announced) isEvent()          {}
func (ServerReported) isEvent()     {}
func (ProbeFailed) isEvent()        {}
func (ReportAnswered) isEvent()     {}
func (ReportFailed) isEvent()       {}
func (RequestArrived) isEvent()     {}
func (AttemptProgress) isEvent()    {}
func (AttemptEnded) isEvent()       {}
func (PrefillDone) isEvent()        {}
func (CallerDisconnected) isEvent() {}
func (DeadlineExpired) isEvent()    {}
func (Stop) isEvent()               {}
