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
	// OutputGuessed tells that OutputTokens is a caller's guess, right at the median
	// and far off in single cases: no work is refused or given up for it.
	OutputGuessed bool
	// Prefix is the chain of prompt block hashes, salted by member.
	Prefix []uint64
	// PartTokens are the tokens of each element of Prefix; nil where all have
	// engineapi.BlockTokens.
	PartTokens []int
	// Arrived is when the request came in; FirstTokenBy and FinishBy are its
	// deadlines.
	Arrived      time.Duration
	FirstTokenBy time.Duration
	FinishBy     time.Duration
	// Resumed work has been accepted before; it is never refused for load.
	Resumed bool
	// Shared is how many of the first parts other requests have too. They are kept
	// at a few servers each, the same ones for all entries; 0: not known.
	Shared int
	// LateIsOfUse tells that an answer after FirstTokenBy is still worth having;
	// only FinishBy decides then whether it is given up.
	LateIsOfUse bool
	// Pace is how fast engines are known to do such work; its zero fields stand
	// for those of internal/enginemodel.
	Pace Pace
	// KVTokens is how many tokens of KV cache can be imported where it runs;
	// with any there is no prefill.
	KVTokens int
}

// Pace is how fast an engine does one work with nothing beside it.
type Pace struct {
	// PrefillRate is in tokens a second.
	PrefillRate float64
	// TokenTime is the time of one token in a batch of usual size.
	TokenTime time.Duration
	// MoveRate is how many tokens' KV cache move between two engines a second.
	MoveRate float64
}

// HeldTokens is how many tokens the first parts of the prompt have.
func (w *Work) HeldTokens(parts int) int {
	if w.PartTokens == nil {
		return parts * engineapi.BlockTokens
	}
	sum := 0
	for _, n := range w.PartTokens[:parts] {
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
	// OthersFirst tells that another group of entries sends its work here first: what it has
	// sent in the last moments is not known yet.
	OthersFirst bool
	// Usable is false while it leaves, changes, is drained or unconfirmed, or is closed.
	Usable bool
	// Rate is how many requests a second it takes from all entries, by its own word; 0: any.
	Rate float64
	// Closed tells that only its own word keeps it from more work now, OpensIn how long it
	// does, as far as is known.
	Closed  bool
	OpensIn time.Duration
	Slots   int
	// CountsOnly tells that Load holds no tokens: what waits there is reckoned
	// from what this entry has sent and from OthersRunning and OthersWaiting, an
	// estimate of other entries' requests there.
	CountsOnly                   bool
	OthersRunning, OthersWaiting float64
	// Peers is what other entries have reported of their backlogs there, PeersKnown the part
	// of the others that have, 0 to 1: for the rest the estimates stand.
	Peers      Backlog
	PeersKnown float64
	// UsualUnread and UsualKV are what a request has to read and to hold there on
	// average, in tokens.
	UsualUnread, UsualKV float64
	// FixedReading is what a prompt takes there beside its tokens, in seconds.
	FixedReading float64
	// Load is its last report, ReportedAt when that was true (since boot, lag
	// taken off).
	Load       engineapi.Load
	ReportedAt time.Duration
	// Sent is what this entry has sent and not seen finished.
	Sent Sent
}

// Sent sums up what this entry has running or waiting at one server.
type Sent struct {
	Requests      int
	PrefillTokens int
	DecodeTokens  int
	// Unread are the prefill tokens by the rank of their work.
	Unread Unread
	// KVTokens is what these requests hold in memory there.
	KVTokens int
	// UrgentPrefillTokens is the prefill of urgent and lookup work whose first
	// token has not come: all that such work waits for at an engine, since
	// engines prefill by priority.
	UrgentPrefillTokens int
	// Since sums what was sent after the server's last report was true.
	SinceRequests      int
	SincePrefillTokens int
	SinceDecodeTokens  int
	SinceKVTokens      int
}

// Fleet is the backend servers in order of id.
type Fleet struct {
	// DataCentre is the entry's own.
	DataCentre string
	// Entries is how many entries share the servers, at least 1.
	Entries int
	// PartsReported tells that entries report to each other which parts servers have read.
	PartsReported bool
	Servers       []Server
}
