// Package decision holds the types shared by the decisions that entries (the gateway processes
// that callers connect to) and control processes take under load. The decisions are in its
// sub-packages, such as admission, queue, placement and roles: pure code that takes times as
// arguments and does no I/O.
package decision

import (
	"strconv"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/declaration"
	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
)

// Work is one request as the decisions see it. Times are since boot (clock.SinceBoot).
type Work struct {
	RequestID string
	Member    string
	// MemberWeight is the member's weight in fair queueing against other members.
	MemberWeight float64
	Service      string
	Profile      string
	// ProfileShare is the weight of the profile's guaranteed share.
	ProfileShare float64
	Class        declaration.Class
	// Rank is the request's priority at an engine that schedules by rank; lower ranks go
	// first.
	Rank int
	// Kind is declaration.KindModel or declaration.KindPlain.
	Kind string
	// Model and Adapter are set for model services only.
	Model   string
	Adapter string
	// PromptTokens and OutputTokens are estimates; zero for plain services.
	PromptTokens int
	OutputTokens int
	// OutputUncertain is set when OutputTokens is a caller's guess: right at the median, far
	// off in single cases. No request is refused or expired because of it.
	OutputUncertain bool
	// Prefix is the chain of hashes of the prompt's blocks, salted by member.
	Prefix []uint64
	// BlockTokens is the number of tokens of each block in Prefix; nil if every block has
	// engineapi.BlockTokens.
	BlockTokens []int
	// Arrived is the arrival time; FirstTokenBy and FinishBy are the deadlines.
	Arrived      time.Duration
	FirstTokenBy time.Duration
	FinishBy     time.Duration
	// Resumed is set for a request that was accepted before; it is never refused for load.
	Resumed bool
	// SharedBlocks is the number of leading blocks of Prefix that other requests have too; 0
	// if unknown. By rendezvous hashing all entries prefer the same few servers for the same
	// shared blocks, and these servers keep them cached.
	SharedBlocks int
	// SoftFirstTokenDeadline is set if an answer is still useful after FirstTokenBy; then only
	// FinishBy decides whether the request is given up.
	SoftFirstTokenDeadline bool
	// EngineSpeed is the known speed of engines for such work; a zero field stands for the
	// value of internal/enginemodel.
	EngineSpeed EngineSpeed
	// KVTokens is the number of tokens whose KV cache can be imported where the request runs.
	// If it is positive, there is no prefill.
	KVTokens int
	// Parts identify the parts of the prompt that other requests may have too, wherever they stand
	// in it. A part may crash the servers that run it.
	Parts []PromptPart
	// Origin is where the answer began; nil before its first event.
	Origin *Origin
	// SoftwareVersion is the build of the software that a server must run, nil for any.
	SoftwareVersion *string
}

// PromptPart identifies a part of prompts.
type PromptPart uint64

// String returns the part as it stands in logs.
func (p PromptPart) String() string { return strconv.FormatUint(uint64(p), 16) }

// MarshalText returns the same.
func (p PromptPart) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// EngineSpeed is how fast an engine runs one request with no other load.
type EngineSpeed struct {
	// PrefillRate is in tokens per second.
	PrefillRate float64
	// TokenTime is the time per output token in a batch of average size.
	TokenTime time.Duration
	// KVTransferRate is the rate at which KV cache moves between two engines, in tokens per
	// second.
	KVTransferRate float64
}

// PrefixTokens returns the number of tokens in the first blocks of Prefix.
func (w *Work) PrefixTokens(blocks int) int {
	if w.BlockTokens == nil {
		return blocks * engineapi.BlockTokens
	}
	sum := 0
	for _, n := range w.BlockTokens[:blocks] {
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
	// SoftwareVersion is the build of the server's software, empty if it announces none.
	SoftwareVersion string
	// Kind is declaration.KindModel or declaration.KindPlain.
	Kind     string
	Services []string
	Model    string
	Adapters []string
	Role     engineapi.Role
	// PreferredByOtherGroup is set if the server is assigned to another group of entries, which
	// sends its requests there first. What that group has sent in the last moments is not in
	// the reported backlog yet.
	PreferredByOtherGroup bool
	// Usable is false while the server is leaving, changing its role or model, drained,
	// unconfirmed or throttled.
	Usable bool
	// RateLimit is the number of requests per second that the server accepts from all entries
	// together; 0 if it has set no limit.
	RateLimit float64
	// Throttled is set if only the server's own rate limit or back-off request keeps it from
	// taking work. AvailableIn is the time until that ends, as far as is known.
	Throttled   bool
	AvailableIn time.Duration
	// Slots is the number of requests that the server runs at once; more wait there.
	Slots int
	// ReportsCountsOnly is set if Load has request counts but no tokens. The backlog is then
	// estimated from what this entry has sent and from EstimatedPeerRunning and
	// EstimatedPeerWaiting, which estimate the requests of other entries there.
	ReportsCountsOnly                          bool
	EstimatedPeerRunning, EstimatedPeerWaiting float64
	// PeerBacklog is what other entries report of their backlogs at this server. PeerCoverage
	// is the fraction of the other entries that have reported, 0 to 1; the estimates stand in
	// for the rest.
	PeerBacklog  Backlog
	PeerCoverage float64
	// MeanPrefillTokens and MeanKVTokens are the average tokens that a request has to prefill
	// here and holds in the KV cache here.
	MeanPrefillTokens, MeanKVTokens float64
	// PrefillOverheadSeconds is the part of a prefill's time that does not depend on its
	// tokens.
	PrefillOverheadSeconds float64
	// Load is the server's last report. ReportedAt is the time it describes, since boot, with
	// the reporting lag subtracted.
	Load       engineapi.Load
	ReportedAt time.Duration
	// InFlight is what this entry has sent to the server and not seen finished.
	InFlight InFlight
}

// InFlight sums up the requests of this entry that run or wait at one server.
type InFlight struct {
	Requests      int
	PrefillTokens int
	DecodeTokens  int
	// PrefillBacklog is the tokens still to prefill, by rank.
	PrefillBacklog PrefillBacklog
	// KVTokens is the KV cache that these requests hold at the server.
	KVTokens int
	// UrgentPrefillTokens is the prefill of requests of the classes urgent and lookup whose
	// first token has not come. Engines prefill by priority, so such a request waits for no
	// other prefill.
	UrgentPrefillTokens int
	// RequestsSinceReport and the fields below count what was sent after the time that the
	// server's last report describes.
	RequestsSinceReport      int
	PrefillTokensSinceReport int
	DecodeTokensSinceReport  int
	KVTokensSinceReport      int
}

// Fleet lists the backend servers ordered by ID.
type Fleet struct {
	// DataCentre is that of this entry.
	DataCentre string
	// Entries is the number of entries that share the servers, at least 1.
	Entries int
	// PrefixReportsEnabled is set if entries tell each other which prompt prefixes servers
	// have cached.
	PrefixReportsEnabled bool
	Servers              []Server
}
