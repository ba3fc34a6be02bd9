package entry

import (
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
	"goldcrestseam.dev/goldcrestseam/internal/decision/backpressure"
	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
	"goldcrestseam.dev/goldcrestseam/internal/outcome"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// Event is an input of Reducer.Step.
type Event interface{ isEvent() }

// Tick advances the time. Late is how long after its time it comes.
type Tick struct{ Late time.Duration }

// ViewReceived is a response of control. The lease counts from SentAt, when the request was
// sent.
type ViewReceived struct {
	SentAt time.Duration
	// From is the address of the control replica that answered.
	From     string
	Response *pb.WatchResponse
}

// Announced is an announcement by a backend server, already validated.
type Announced struct{ Announcement engineapi.Announcement }

// ServerReported is the state that a server reported with a response or a probe.
type ServerReported struct {
	Server      string
	Incarnation string
	// State is empty if the server reported none.
	State   engineapi.State
	Load    engineapi.Load
	HasLoad bool
	// FromResponse is set if the report came with the response to a request that was sent at
	// SentAt. Backpressure is what the server said with it about the load that it accepts.
	FromResponse bool
	SentAt       time.Duration
	Backpressure backpressure.Signal
}

// PermitRequested is another entry's request for permits. It is answered by an AnswerPermit with
// the same key.
type PermitRequested struct {
	Key     string
	Request *pb.PermitRequest
}

// PermitAnswered is the answer to a RequestPermit.
type PermitAnswered struct {
	Server, Incarnation string
	Answer              *pb.PermitAnswer
}

// PermitTimedOut reports that the entry at an address gave no answer about that server in time.
type PermitTimedOut struct{ Address, Server, Incarnation string }

// SuspectsNoticed is another entry's notice of servers that crashed.
type SuspectsNoticed struct{ Notice *pb.SuspectNotice }

// NoticeAnswered reports that the entry at an address knows of a notice, or gave no answer in time.
type NoticeAnswered struct {
	ID       uint64
	Address  string
	TimedOut bool
}

// ProbeFailed reports that a health probe failed. Answered is set if the server answered that it is
// not healthy.
type ProbeFailed struct {
	Server      string
	Incarnation string
	Answered    bool
}

// ReportFailed reports that control may not have received a report.
type ReportFailed struct{ Request *pb.ReportRequest }

// ReportAnswered reports that control has answered a report.
type ReportAnswered struct {
	Request *pb.ReportRequest
	// ResendInFull are the servers of which control needs a full announcement again.
	ResendInFull []string
	// Term is the term of the leader that answered.
	Term uint64
}

// RetryRule says whether and how a request may be sent again.
type RetryRule int

// Retry rules.
const (
	// RetryResuming applies to model work: a retry continues from the tokens received so far.
	RetryResuming RetryRule = iota
	// RetryAllowed applies to an idempotent call of a plain service.
	RetryAllowed
	// RetryNever allows at most one execution.
	RetryNever
)

// RequestArrived is a new request that the declaration allows a member to make. Work.RequestID
// is its wire id (engineapi.WireID).
type RequestArrived struct {
	Work  decision.Work
	Retry RetryRule
	// Credential is the hash of the credential that the caller presented for a member, empty for
	// none.
	Credential string
	// MembersOnly is set if the request runs only for the member that holds Credential at the
	// time of dispatch.
	MembersOnly bool
	// Fingerprint identifies the request's content within its member, for quarantine.
	Fingerprint uint64
	// RetryBudget is that of the profile.
	RetryBudget float64
	// MaxRuns bounds the servers on which the request may run. 0 means no separate bound.
	MaxRuns int
	// HardDeadline is set if the final answer is due at Work.FinishBy, even if the caller
	// already has a part of the answer.
	HardDeadline bool
	// Forwarded is set if another entry has passed the request on. It counts as a request there: if
	// both counted it, the deployment would retry more than its limit allows.
	Forwarded bool
	// Attempt is the last attempt number that another entry may have used, 0 for none.
	Attempt uint32
	// Offset is how many tokens the caller already has.
	Offset int
	// Server and Incarnation identify the engine that runs a resumed request.
	Server      string
	Incarnation string
}

// AttemptProgress reports that tokens arrived.
type AttemptProgress struct {
	RequestID string
	Attempt   uint32
	// Tokens is how many arrived in this attempt so far.
	Tokens int
}

// PrefillDone reports that the separate engine has finished the prefill of an attempt and holds
// the KV cache. The reducer reacts with a DecodeAt, or as if the attempt had ended without
// running.
type PrefillDone struct {
	RequestID string
	Attempt   uint32
}

// AttemptEnded tells how an attempt at a backend server ended.
type AttemptEnded struct {
	RequestID string
	Attempt   uint32
	// Complete is set if the answer is complete.
	Complete bool
	// Outcome is what is known about execution: NotRun if no byte was sent or the server said
	// so.
	Outcome outcome.Outcome
	// ServerDied is set if the server's process seems to be gone (connection refused or reset),
	// and not only this connection.
	ServerDied bool
	// StreamUnknown is set if the server does not know the stream that was to be resumed.
	StreamUnknown bool
	// Invalid is set if the server will never accept this request.
	Invalid bool
	// AtPrefillServer is set if all of this is about the engine of the separate prefill.
	AtPrefillServer bool
	// NoAnswer is set if the attempt failed without any byte of an answer.
	NoAnswer bool
	// PrefillBroken is set if the connection to the engine of the separate prefill broke while it
	// had the request.
	PrefillBroken bool
	// AnswerBegun is set if the caller has received a part of an answer that can't be resumed, so that no other attempt
	// can follow.
	AnswerBegun bool
	// Oversized is set if the server sent, or announced, more than an answer may have.
	Oversized bool
	// Unsent is set if no server received any byte of this attempt.
	Unsent bool
	Tokens int
	// FirstToken is the time to the first token, Decode the time from the first to the last
	// token, Elapsed the total time.
	FirstToken time.Duration
	Decode     time.Duration
	Elapsed    time.Duration
}

// started reports whether the server may have begun work on the request. A prefill alone does not run
// it, but may crash the engine as well.
func (ev *AttemptEnded) started() bool { return ev.Outcome != outcome.NotRun || ev.PrefillBroken }

// CallerDisconnected reports that the caller's connection is closed.
type CallerDisconnected struct{ RequestID string }

// DeadlineExpired reports that the deadline of a request with HardDeadline has passed, or that the end of a planned stop
// has ended it.
type DeadlineExpired struct{ RequestID string }

// Stop begins the planned stop of the entry. AcceptFor is how long the entry still accepts
// callers that got its address earlier.
type Stop struct {
	AcceptFor time.Duration
	// Once ShortOnlyAfter has passed, the entry accepts only work that ends in time. Once
	// EndsAfter has passed, it aborts what still runs. Both count from the event. If EndsAfter
	// is zero, the entry waits for running requests or hands them over.
	ShortOnlyAfter, EndsAfter time.Duration
}

// PeerReported is another entry's report of its backlogs at backend servers.
type PeerReported struct{ Request *pb.PeerReport }

// ViewRequested is another entry's question for this entry's view. It is answered by an AnswerView
// with the same key.
type ViewRequested struct {
	Key     string
	Request *pb.WatchRequest
}

// SumRequested is another entry's request for the sum of backlogs. It is answered by an
// AnswerSum with the same key.
type SumRequested struct {
	Key     string
	Request *pb.PeerSumRequest
}

// SumReceived is an aggregator's answer to a request that was sent at SentAt.
type SumReceived struct {
	SentAt time.Duration
	Sum    *pb.PeerSum
}

// AggregatorTimedOut reports that the aggregator at an address did not answer in time.
type AggregatorTimedOut struct{ Address string }

func (PermitRequested) isEvent()    {}
func (PermitAnswered) isEvent()     {}
func (PermitTimedOut) isEvent()     {}
func (SumRequested) isEvent()       {}
func (ViewRequested) isEvent()      {}
func (SumReceived) isEvent()        {}
func (AggregatorTimedOut) isEvent() {}
func (PeerReported) isEvent()       {}
func (SuspectsNoticed) isEvent()    {}
func (NoticeAnswered) isEvent()     {}
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
