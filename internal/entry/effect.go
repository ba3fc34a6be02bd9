package entry

import (
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
	"goldcrestseam.dev/goldcrestseam/internal/outcome"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// Effect is what the runner must do after a step, in the order given.
//
// Each RequestArrived is followed by any number of Dispatch and then by exactly one
// Refuse or Finish.
type Effect interface{ isEffect() }

// LeaseRenewed tells until when the view that was published last counts, in time since boot.
type LeaseRenewed struct{ Until time.Duration }

// Dispatch sends an attempt of a request to a backend server.
type Dispatch struct {
	RequestID string
	// Attempt names this try towards the reducer, EngineAttempt towards the
	// server: a reconnect goes on with the attempt that runs there.
	Attempt       uint32
	EngineAttempt uint32
	Server        string
	// Incarnation and Address name the life of the server that is meant.
	Incarnation string
	Address     string
	// Member is for whom it runs, empty for none; Rank orders it at an engine.
	Member string
	Rank   int
	// Reconnect is set when the server already runs the request: the attempt
	// goes on with it there and does not start it anew.
	Reconnect bool
	// PrefillServer is set when another engine is to prefill first.
	PrefillServer      string
	PrefillIncarnation string
	PrefillAddress     string
	// FetchAddress is the engine from which the one that reads the prompt fetches parts
	// of it, empty for none.
	FetchAddress string
}

// DecodeAt says where an attempt goes on that was prefilled elsewhere.
type DecodeAt struct {
	RequestID   string
	Attempt     uint32
	Server      string
	Incarnation string
	Address     string
	// Member and Rank are as in Dispatch, by what is declared now.
	Member string
	Rank   int
}

// Refuse gives a request its final answer, at once.
type Refuse struct {
	RequestID string
	Refusal   *outcome.Refusal
}

// Finish ends a request whose answer is whole or whose caller is gone.
type Finish struct{ RequestID string }

// Cancel stops an attempt, and all before it, at its server.
type Cancel struct {
	RequestID string
	Attempt   uint32
	Address   string
	// Delay is how long to wait before it is sent.
	Delay time.Duration
}

// Probe asks a server for its health.
type Probe struct {
	Server      string
	Incarnation string
	Address     string
	// Services are those of a plain server, Model the one of an engine.
	Services []string
	Model    string
}

// Report hands over to control what this entry has learned.
type Report struct{ Request *pb.ReportRequest }

// ReportToPeers tells other entries what this one has at backend servers.
type ReportToPeers struct {
	// Addresses are those of the other entries.
	Addresses []string
	Request   *pb.PeerReport
}

// AnswerSum answers a SumRequested; without a sum this entry is no aggregator.
type AnswerSum struct {
	Key string
	Sum *pb.PeerSum
}

// RequestSum asks the aggregator for the sum of backlogs.
type RequestSum struct{}

// RequestPermit asks the entry at an address for permits; it is answered by a PermitAnswered or a
// PermitTimedOut.
type RequestPermit struct {
	Address, Server, Incarnation string
	Request                      *pb.PermitRequest
}

// AnswerPermit answers a PermitRequested; without an answer the question can't be understood.
type AnswerPermit struct {
	Key    string
	Answer *pb.PermitAnswer
}

// Publish makes a new snapshot visible to the traffic goroutines.
type Publish struct{ Snapshot *Snapshot }

// LogDecision writes one log line.
type LogDecision struct {
	// Kind is route, refuse, wait, view, server or peers.
	Kind      string
	RequestID string
	Member    string
	Profile   string
	Class     string
	Server    string
	Reason    string
	// Source is from where the server's load was known, for LogRoute.
	Source  string
	Figures []Figure
}

// Kinds of LogDecision. Only LogRoute and LogWait may be sampled.
const (
	LogRoute  = "route"
	LogWait   = "wait"
	LogRefuse = "refuse"
	LogView   = "view"
	LogServer = "server"
	LogPeers  = "peers"
)

// Sources of what an entry knows of a server's load.
const (
	SourceAggregator = "aggregator"
	SourcePeers      = "peers"
	SourceAnswers    = "server's answers"
	SourceNone       = "never heard"
)

// Figure is one number that a decision was taken on.
type Figure = decision.Figure

func (LeaseRenewed) isEffect()  {}
func (Dispatch) isEffect()      {}
func (DecodeAt) isEffect()      {}
func (Refuse) isEffect()        {}
func (Finish) isEffect()        {}
func (Cancel) isEffect()        {}
func (Probe) isEffect()         {}
func (Report) isEffect()        {}
func (ReportToPeers) isEffect() {}
func (AnswerSum) isEffect()     {}
func (RequestSum) isEffect()    {}
func (RequestPermit) isEffect() {}
func (AnswerPermit) isEffect()  {}
func (Publish) isEffect()       {}
func (LogDecision) isEffect()   {}
