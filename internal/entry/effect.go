package entry

import (
	"goldcrestseam.dev/goldcrestseam/internal/outcome"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// Effect is what the runner must do after a step, in the order given.
type Effect interface{ isEffect() }

// Dispatch sends an attempt of a request to a backend server.
type Dispatch struct {
	RequestID string
	Attempt   uint32
	Server    string
	// Incarnation and Address name the life of the server that is meant.
	Incarnation string
	Address     string
	// PrefillServer is set when another engine is to prefill first.
	PrefillServer  string
	PrefillAddress string
}

// Refuse gives a request its final answer, at once.
type Refuse struct {
	RequestID string
	Refusal   *outcome.Refusal
}

// Cancel stops an attempt at its server.
type Cancel struct {
	RequestID string
	Attempt   uint32
	Address   string
}

// Probe asks a server for its health.
type Probe struct {
	Server      string
	Incarnation string
	Address     string
}

// Report hands over to control what this entry has learned.
type Report struct{ Request *pb.ReportRequest }

// Publish makes a new snapshot visible to the traffic goroutines.
type Publish struct{ Snapshot *Snapshot }

// LogDecision writes one log line.
type LogDecision struct {
	// Kind is route, refuse, view or server.
	Kind      string
	RequestID string
	Member    string
	Profile   string
	Class     string
	Server    string
	Reason    string
	Figures   []Figure
}

// Figure is one number that a decision was taken on.
type Figure struct {
	Name  string
	Value float64
}

func (Dispatch) isEffect()    {}
func (Refuse) isEffect()      {}
func (Cancel) isEffect()      {}
func (Probe) isEffect()       {}
func (Report) isEffect()      {}
func (Publish) isEffect()     {}
func (LogDecision) isEffect() {}
