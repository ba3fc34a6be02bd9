// Package decision holds the types that the decisions under load share. The
// decisions themselves are in its sub-packages admission, queue, placement and
// roles: pure code that takes times as arguments and does no I/O.
package decision

import (
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/declaration"
	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
)

// Work is one request as the decisions see it. Times are since boot
// (clock.Boot).
type Work struct {
	RequestID string
	Member    string
	// MemberWeight is the member's fair share against others.
	MemberWeight float64
	Service      string
	Profile      string
	// ProfileShare is the profile's guaranteed share as a weight.
	ProfileShare float64
	Class        declaration.Class
	// Rank orders work at an engine that reads by rank: a lower one goes first.
	Rank int
	// Kind is declaration.KindModel or declaration.KindPlain.
	Kind string
	// Model and Adapter are for model services.
	Model   string
	Adapter string
	// PromptTokens and OutputTokens are estimates; zero for plain services.
	PromptTokens int
	OutputTokens int
	// OutputUncertain tells that OutputTokens is a caller's guess, right at the median
	// and far off in single cases: no work is refused or given up for it.
	OutputUncertain bool
	// Prefix is the chain of prompt block hashes, salted by member.
	Prefix []uint64
	// BlockTokens are the tokens of each element of Prefix; nil where all have
	// engineapi.BlockTokens.
	BlockTokens []int
	// Arrived is when the request came in; FirstTokenBy and FinishBy are its
	// deadlines.
	Arrived      time.Duration
	FirstTokenBy time.Duration
	FinishBy     time.Duration
	// Resumed work has been accepted before; it is never refused for load.
	Resumed bool
	// SharedBlocks is how many of the first parts other requests have too. They are kept
	// at a few servers each, the same ones for all entries; 0: not known.
	SharedBlocks int
	// SoftFirstTokenDeadline tells that an answer after FirstTokenBy is still worth having;
	// only FinishBy decides then whether it is given up.
	SoftFirstTokenDeadline bool
	// EngineSpeed is how fast engines are known to do such work; its zero fields stand
	// for those of internal/enginemodel.
	EngineSpeed EngineSpeed
	// KVTokens is how many tokens of KV cache can be imported where it runs;
	// with any there is no prefill.
	KVTokens int
}

// EngineSpeed is how fast an engine does one work with nothing beside it.
type EngineSpeed struct {
	// PrefillRate is in tokens a second.
	PrefillRate float64
	// TokenTime is the time of one token in a batch of usual size.
	TokenTime time.Duration
	// KVTransferRate is how many tokens' KV cache move between two engines a second.
	KVTransferRate float64
}

// PrefixTokens is how many tokens the first parts of the prompt have.
func (w *Work) PrefixTokens(parts int) int {
	if w.BlockTokens == nil {
		return parts * engineapi.BlockTokens
	}
	sum := 0
	for _, n := range w.BlockTokens[:parts] {
		sum += n
	}
	return sum
}

// Server is one backend server as the decisions see it.
type Server struct {
	ID          string
	Incarnation string
	Address     string
	DataCentre  string
	// Kind is declaration.KindModel or declaration.KindPlain.
	Kind     string
	Services []string
	Model    string
	Adapters []string
	Role     engineapi.Role
	// PreferredByOtherGroup tells that another group of entries sends its work here first: what it has
	// sent in the last moments is not known yet.
	PreferredByOtherGroup bool
	// Usable is false while it leaves, changes, is drained or unconfirmed, or is closed.
	Usable bool
	// RateLimit is how many requests a second it takes from all entries, by its own word; 0: any.
	RateLimit float64
	// Throttled tells that only its own word keeps it from more work now, AvailableIn how long it
	// does, as far as is known.
	Throttled   bool
	AvailableIn time.Duration
	Slots       int
	// ReportsCountsOnly tells that Load holds no tokens: what waits there is reckoned
	// from what this entry has sent and from EstimatedPeerRunning and EstimatedPeerWaiting, an
	// estimate of other entries' requests there.
	ReportsCountsOnly                          bool
	EstimatedPeerRunning, EstimatedPeerWaiting float64
	// PeerBacklog is what other entries have reported of their backlogs there, PeerCoverage the part
	// of the others that have, 0 to 1: for the rest the estimates stand.
	PeerBacklog  Backlog
	PeerCoverage float64
	// MeanPrefillTokens and MeanKVTokens are what a request has to read and to hold there on
	// average, in tokens.
	MeanPrefillTokens, MeanKVTokens float64
	// PrefillOverheadSeconds is what a prompt takes there beside its tokens, in seconds.
	PrefillOverheadSeconds float64
	// Load is its last report, ReportedAt when that was true (since boot, lag
	// taken off).
	Load       engineapi.Load
	ReportedAt time.Duration
	// InFlight is what this entry has sent and not seen finished.
	InFlight InFlight
}

// InFlight sums up what this entry has running or waiting at one server.
type InFlight struct {
	Requests      int
	PrefillTokens int
	DecodeTokens  int
	// PrefillBacklog are the prefill tokens by the rank of their work.
	PrefillBacklog PrefillBacklog
	// KVTokens is what these requests hold in memory there.
	KVTokens int
	// UrgentPrefillTokens is the prefill of urgent and lookup work whose first
	// token has not come: all that such work waits for at an engine, since
	// engines prefill by priority.
	UrgentPrefillTokens int
	// Since sums what was sent after the server's last report was true.
	RequestsSinceReport      int
	PrefillTokensSinceReport int
	DecodeTokensSinceReport  int
	KVTokensSinceReport      int
}

// Fleet is the backend servers in order of id.
type Fleet struct {
	// DataCentre is the entry's own.
	DataCentre string
	// Entries is how many entries share the servers, at least 1.
	Entries int
	// PrefixReportsEnabled tells that entries report to each other which parts servers have read.
	PrefixReportsEnabled bool
	Servers              []Server
}
