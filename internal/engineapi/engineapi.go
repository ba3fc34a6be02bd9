// Package engineapi holds what is spoken with backend servers: JSON over HTTP,
// OpenAI-style completions streamed as server-sent events, with the extensions
// that the platform's engines have (resume, cancel, priorities, cache salt, KV
// export and import, orders with fencing tokens, cache events, load).
//
// It has no transport of its own: the entry and control send these types with
// an HTTP client, the stand-in engine serves them. Another engine protocol can
// stand behind the entry's engine client interface.
package engineapi

// Paths that a backend server serves.
const (
	// PathCompletions takes a CompletionRequest (POST); the answer is a stream
	// of Chunk events, each "id: <offset after it>" and "data: <JSON>", closed
	// by "data: [DONE]". 409 with a Refused body: it did not start.
	PathCompletions = "/v1/completions"
	// PathStreams + request id + "?attempt=N&from=OFFSET" (GET) goes on with a
	// stream that this incarnation runs or has just finished; 404 if unknown.
	PathStreams = "/v1/streams/"
	// PathCancel takes a CancelRequest (POST). Idempotent.
	PathCancel = "/v1/cancel"
	// PathOrders takes an Order (POST) and answers with an OrderAnswer.
	PathOrders = "/v1/orders"
	// PathHealth answers with Health (GET).
	PathHealth = "/health"
	// PathKV + request id (GET) exports the KV cache of a running request as
	// opaque bytes; POST to PathKV imports such bytes, answers KVImported.
	PathKV = "/v1/kv/"
	// PathCacheEvents + "?after=SEQ" (GET) answers with CacheEvents.
	PathCacheEvents = "/v1/cache/events"
)

// Paths that entries serve for backend servers.
const (
	// PathAnnounce takes an Announcement (POST) and answers AnnounceAnswer.
	PathAnnounce = "/v1/backend/announce"
)

// Header names on requests to and answers from backend servers, beside
// outcome.HeaderRequestID and outcome.HeaderAttempt, which answers must echo.
const (
	// HeaderMember names the member on calls to plain services.
	HeaderMember = "X-Goldcrest-Member"
	// HeaderState carries the server's State on every answer.
	HeaderState = "X-Backend-State"
	// HeaderIncarnation carries the server's incarnation on every answer.
	HeaderIncarnation = "X-Backend-Incarnation"
	// HeaderLoad carries a Load as JSON on every answer.
	HeaderLoad = "X-Backend-Load"
	// HeaderRateLimit is how many requests a second the server takes from all entries together,
	// a decimal number, on each answer for as long as it takes no more.
	HeaderRateLimit = "X-Backend-Rate-Limit"
	// HeaderNotStarted is "true" on an answer that says that the server did
	// not start the request.
	HeaderNotStarted = "X-Backend-Not-Started"
)

// State is what a backend server says of itself.
type State string

// States of a backend server.
const (
	StateServing  State = "serving"
	StateLeaving  State = "leaving"
	StateChanging State = "changing"
)

// Role is what an engine does: prefill, decode or both.
type Role string

// Roles of an engine.
const (
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
	RoleMixed   Role = "mixed"
)

// DoneMarker is the data of the event that closes a whole stream.
const DoneMarker = "[DONE]"

// CompletionRequest asks an engine for tokens.
type CompletionRequest struct {
	RequestID string `json:"request_id"`
	// Attempt counts the tries of this request, from 1.
	Attempt   uint32 `json:"attempt"`
	Model     string `json:"model"`
	Adapter   string `json:"adapter,omitempty"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Seed      uint64 `json:"seed"`
	// Priority: a larger one runs first.
	Priority int `json:"priority"`
	// CacheSalt keeps members' prefix caches apart.
	CacheSalt string `json:"cache_salt"`
	// GeneratedText and GeneratedTokens are what earlier attempts gave: the
	// engine prefills prompt and text and goes on from that offset.
	GeneratedText   string `json:"generated_text,omitempty"`
	GeneratedTokens int    `json:"generated_tokens,omitempty"`
	// KVHandle names KV cache that was imported; empty: prefill.
	KVHandle string `json:"kv_handle,omitempty"`
	// PrefillOnly stops after the first token and keeps the KV cache for export.
	PrefillOnly bool `json:"prefill_only,omitempty"`
	Stream      bool `json:"stream"`
}

// Chunk is one event of a stream. Offsets count tokens from the start of the
// whole answer, over all attempts.
type Chunk struct {
	RequestID string `json:"request_id"`
	Attempt   uint32 `json:"attempt"`
	// Offset is the offset of the chunk's first token, Tokens how many it has.
	Offset int    `json:"offset"`
	Tokens int    `json:"tokens"`
	Text   string `json:"text"`
	// FinishReason is set on the last chunk: stop, length or prefilled.
	FinishReason string `json:"finish_reason,omitempty"`
	// Heartbeat chunks have no tokens: the engine is alive, the request waits
	// or prefills.
	Heartbeat bool `json:"heartbeat,omitempty"`
}

// Refused is the body of an answer that says that nothing was started.
type Refused struct {
	Reason string `json:"reason"`
	State  State  `json:"state"`
}

// CancelRequest stops an attempt. Attempts up to and with Attempt are stopped.
type CancelRequest struct {
	RequestID string `json:"request_id"`
	Attempt   uint32 `json:"attempt"`
}

// FencingToken orders the orders to one engine: Term first, then Sequence.
type FencingToken struct {
	Term     uint64 `json:"term"`
	Sequence uint64 `json:"sequence"`
}

// Less tells whether t is older than o.
func (t FencingToken) Less(o FencingToken) bool {
	if t.Term != o.Term {
		return t.Term < o.Term
	}
	return t.Sequence < o.Sequence
}

// Order kinds.
const (
	OrderSetRole     = "set_role"
	OrderLoadModel   = "load_model"
	OrderLoadAdapter = "load_adapter"
)

// Order changes an engine. The same ID again is answered, not run again.
type Order struct {
	ID string `json:"id"`
	// Incarnation is the engine's: an engine refuses another one's order.
	Incarnation string       `json:"incarnation"`
	Token       FencingToken `json:"token"`
	Kind        string       `json:"kind"`
	Role        Role         `json:"role,omitempty"`
	Model       string       `json:"model,omitempty"`
	Version     string       `json:"version,omitempty"`
	Adapter     string       `json:"adapter,omitempty"`
	// Sender names the control process and its incarnation, for the journal.
	Sender string `json:"sender"`
}

// Order results.
const (
	OrderRunning = "running"
	OrderDone    = "done"
	OrderStale   = "stale"
	OrderRefused = "refused"
)

// OrderAnswer tells what became of an order.
type OrderAnswer struct {
	ID     string `json:"id"`
	Result string `json:"result"`
	Reason string `json:"reason,omitempty"`
	// Newest is the newest token that the engine has seen.
	Newest FencingToken `json:"newest"`
}

// Load is what a backend server says of itself, with a lag.
type Load struct {
	Running             uint32  `json:"running"`
	Queued              uint32  `json:"queued"`
	QueuedPrefillTokens uint64  `json:"queued_prefill_tokens"`
	RunningDecodeTokens uint64  `json:"running_decode_tokens"`
	PrefillRate         float64 `json:"prefill_rate"`
	DecodeRate          float64 `json:"decode_rate"`
	CacheUsed           float64 `json:"cache_used"`
	// KVTokens is how many tokens of KV cache fit, KVUsed how many are reserved
	// by what runs or waits there. Zero KVTokens: not told.
	KVTokens uint64 `json:"kv_tokens"`
	KVUsed   uint64 `json:"kv_used"`
	AgeMS    uint32 `json:"age_ms"`
}

// Announcement is how a backend server makes itself known, once a second and
// at once on every change of state, to two entries or more.
type Announcement struct {
	Cluster     string `json:"cluster"`
	ID          string `json:"id"`
	Incarnation string `json:"incarnation"`
	// Address is where it serves, host:port.
	Address    string `json:"address"`
	Region     string `json:"region"`
	DataCentre string `json:"data_centre"`
	// Kind is "model" or "plain".
	Kind     string   `json:"kind"`
	Services []string `json:"services,omitempty"`
	Model    string   `json:"model,omitempty"`
	Version  string   `json:"version,omitempty"`
	Adapters []string `json:"adapters,omitempty"`
	Role     Role     `json:"role,omitempty"`
	State    State    `json:"state"`
	Slots    uint32   `json:"slots"`
	Load     Load     `json:"load"`
	// LastOrder is the last order carried out, RunningOrder one under way.
	LastOrder    string       `json:"last_order,omitempty"`
	LastToken    FencingToken `json:"last_token"`
	RunningOrder string       `json:"running_order,omitempty"`
}

// Kinds of backend servers in announcements.
const (
	KindModel = "model"
	KindPlain = "plain"
)

// AnnounceAnswer tells a backend server how to go on.
type AnnounceAnswer struct {
	// IntervalMS is when to announce again.
	IntervalMS uint32 `json:"interval_ms"`
	// Entries are caller addresses to announce to, best first.
	Entries []string `json:"entries"`
	// Leave asks the server to leave: an operator drained it.
	Leave bool `json:"leave,omitempty"`
}

// Health is what a backend server says when asked.
type Health struct {
	ID          string `json:"id"`
	Incarnation string `json:"incarnation"`
	State       State  `json:"state"`
	Role        Role   `json:"role,omitempty"`
	Load        Load   `json:"load"`
}

// KVImported names imported KV cache for CompletionRequest.KVHandle.
type KVImported struct {
	Handle string `json:"handle"`
	Tokens int    `json:"tokens"`
}

// CacheEvents are changes of an engine's prefix cache, late and with gaps:
// Next may be more than the last Seq plus one.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
	Next   uint64       `json:"next"`
}

// CacheEvent tells that a block of prompt prefix was stored or dropped.
type CacheEvent struct {
	Seq uint64 `json:"seq"`
	// Salt and Hash name the block; Hash is the prefix hash chain up to it.
	Salt    string `json:"salt"`
	Hash    uint64 `json:"hash"`
	Dropped bool   `json:"dropped,omitempty"`
}
