package entry

import (
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
	"goldcrestseam.dev/goldcrestseam/internal/outcome"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// Effect is what the caller of Step must carry out afterwards, in the order given.
//
// Each RequestArrived is followed by any number of Dispatch effects and then by exactly one
// Refuse or Finish.
type Effect interface{ isEffect() }

// LeaseRenewed tells until when the lease on the last published view is valid and when the request
// was sent that renewed it, in time since boot, and which control replica renewed it.
type LeaseRenewed struct {
	Until, ConfirmedAt time.Duration
	From               string
}

// Dispatch sends an attempt of a request to a backend server.
type Dispatch struct {
	RequestID string
	// Attempt identifies this attempt to the reducer, EngineAttempt identifies it to the server:
	// a reconnect continues the attempt that runs there.
	Attempt       uint32
	EngineAttempt uint32
	Server        string
	// Incarnation and Address identify the server incarnation that the attempt goes to.
	Incarnation string
	Address     string
	// Version is the build of the server's software, empty if unknown. Pool is the server's pool.
	Version string
	Pool    string
	// Member is whom the request runs for, empty for none. Rank is its priority rank at an
	// engine.
	Member string
	Rank   int
	// Reconnect is set when the server already runs the request: the new connection continues
	// that attempt instead of starting another one.
	Reconnect bool
	// PrefillServer is set when another engine does the prefill first.
	PrefillServer      string
	PrefillIncarnation string
	PrefillAddress     string
	PrefillVersion     string
	// FetchAddress is the engine from which the prefilling engine fetches blocks of the KV cache,
	// empty for none.
	FetchAddress string
}

// DecodeAt tells where an attempt is decoded after a separate prefill.
type DecodeAt struct {
	RequestID   string
	Attempt     uint32
	Server      string
	Incarnation string
	Address     string
	Version     string
	// Member and Rank are as in Dispatch, according to the current declaration.
	Member string
	Rank   int
}

// Refuse gives a request its final answer at once.
type Refuse struct {
	RequestID string
	Refusal   *outcome.Refusal
	// ServersSilent is set if some server that could run the request does not answer this entry.
	ServersSilent bool
}

// Finish ends a request whose answer is complete or whose caller has disconnected.
type Finish struct{ RequestID string }

// Cancel stops an attempt and all earlier ones at their server.
type Cancel struct {
	RequestID string
	Attempt   uint32
	Address   string
	// Delay is how long to wait before sending the cancel.
	Delay time.Duration
}

// Probe asks a server for its health.
type Probe struct {
	Server      string
	Incarnation string
	Address     string
	// Services are those of a plain service's server, Model is the one of an engine.
	Services []string
	Model    string
}

// Report sends control what this entry has observed.
type Report struct{ Request *pb.ReportRequest }

// ReportToPeers sends other entries this entry's backlogs at backend servers.
type ReportToPeers struct {
	// Addresses are those of the other entries.
	Addresses []string
	Request   *pb.PeerReport
}

// NotifySuspects passes a notice on to other entries. Unless ID is 0, each address is answered by a
// NoticeAnswered.
type NotifySuspects struct {
	ID        uint64
	Addresses []string
	Notice    *pb.SuspectNotice
}

// AnswerSum answers a SumRequested. A nil sum says that this entry is no aggregator.
type AnswerSum struct {
	Key string
	Sum *pb.PeerSum
}

// RequestView asks the entry at an address for its view, if that is newer than KnownVersion. The
// answer is a ViewReceived.
type RequestView struct {
	Address      string
	KnownVersion uint64
}

// AnswerView answers a ViewRequested. A nil view says that it is not newer.
type AnswerView struct {
	Key  string
	View *pb.WatchResponse
}

// RequestSum asks the aggregator for the sum of backlogs.
type RequestSum struct{}

// RequestPermit asks the entry at an address for permits. The answer is a PermitAnswered or a
// PermitTimedOut.
type RequestPermit struct {
	Address, Server, Incarnation string
	Request                      *pb.PermitRequest
}

// AnswerPermit answers a PermitRequested. A nil answer says that the request is invalid.
type AnswerPermit struct {
	Key    string
	Answer *pb.PermitAnswer
}

// Publish makes a new snapshot visible to the traffic goroutines.
type Publish struct{ Snapshot *Snapshot }

// LogDecision writes one log line.
type LogDecision struct {
	// Kind is one of the constants below.
	Kind      string
	RequestID string
	Member    string
	Profile   string
	Class     string
	Server    string
	// Version is the build of the server's software, empty if unknown.
	Version string
	Reason  string
	// Parts are the shared parts of the request's prompt, for LogSuspect.
	Parts []decision.PromptPart
	// Source tells where the server's load is known from, for LogRoute.
	Source string
	// From is the address of the control replica that sent the view, for LogView.
	From    string
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
	// LogReach is about the entry's links to a pool of servers.
	LogReach = "reach"
	// LogSuspect is a request that is charged with a server's crash.
	LogSuspect = "suspect"
	// LogRetry is a retry that the deployment's limit allows or refuses.
	LogRetry = "retry"
)

// Sources of an entry's knowledge of a server's load.
const (
	SourceAggregator = "aggregator"
	SourcePeers      = "peers"
	SourceAnswers    = "server responses"
	SourceNone       = "none"
)

// Figure is one number that a decision was based on.
type Figure = decision.Figure

func (LeaseRenewed) isEffect()   {}
func (Dispatch) isEffect()       {}
func (DecodeAt) isEffect()       {}
func (Refuse) isEffect()         {}
func (Finish) isEffect()         {}
func (Cancel) isEffect()         {}
func (Probe) isEffect()          {}
func (Report) isEffect()         {}
func (ReportToPeers) isEffect()  {}
func (NotifySuspects) isEffect() {}
func (AnswerSum) isEffect()      {}
func (RequestView) isEffect()    {}
func (AnswerView) isEffect()     {}
func (RequestSum) isEffect()     {}
func (RequestPermit) isEffect()  {}
func (AnswerPermit) isEffect()   {}
func (Publish) isEffect()        {}
func (LogDecision) isEffect()    {}
