package entry

import (
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
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

// ServerSaid is what a server said of itself on an answer or a probe.
type ServerSaid struct {
	Server      string
	Incarnation string
	State       engineapi.State
	Load        engineapi.Load
	HasLoad     bool
}

// ProbeFailed tells that a health probe got no answer.
type ProbeFailed struct {
	Server      string
	Incarnation string
}

// Arrived is a new request that a member may make.
type Arrived struct {
	Work decision.Work
	// Fingerprint names the request's content under its member, for quarantine.
	Fingerprint uint64
}

// AttemptProgress tells that tokens or heartbeats came.
type AttemptProgress struct {
	RequestID string
	Attempt   uint32
	Tokens    int
}

// AttemptEnded tells how an attempt at a backend server ended.
type AttemptEnded struct {
	RequestID string
	Attempt   uint32
	// Whole tells that the answer is complete.
	Whole bool
	// Outcome is what is known: NotRun when no byte was sent or the server
	// said so.
	Outcome outcome.Outcome
	// ServerDied tells that the server's process seems gone (connection
	// refused or reset), and not only this connection.
	ServerDied bool
	Tokens     int
	Took       time.Duration
}

// CallerGone tells that the caller's connection is gone.
type CallerGone struct{ RequestID string }

// Stop begins the planned stop of the entry.
type Stop struct{}

func (Tick) isEvent()            {}
func (ViewReceived) isEvent()    {}
func (Announced) isEvent()       {}
func (ServerSaid) isEvent()      {}
func (ProbeFailed) isEvent()     {}
func (Arrived) isEvent()         {}
func (AttemptProgress) isEvent() {}
func (AttemptEnded) isEvent()    {}
func (CallerGone) isEvent()      {}
func (Stop) isEvent()            {}
