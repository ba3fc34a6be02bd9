// Package engineapi defines the protocol with backend servers: JSON over HTTP,
// OpenAI-style completions streamed as server-sent events, and the extensions
// of the platform's engines (resuming streams, cancellation, priorities, cache
// salt, KV cache export and import, orders with fencing tokens, cache events,
// load reports).
//
// It contains no transport: the entry and control send these types with an HTTP
// client, and the stand-in engine serves them. The entry's engine client
// interface can be implemented for another engine protocol.
package engineapi

// Paths that a backend server serves.
const (
	// PathCompletions accepts a CompletionRequest (POST). The answer is a stream
	// of Chunk events, each "id: <offset after it>" and "data: <JSON>", terminated
	// by "data: [DONE]". Status 409 with a Refused body means that the request
	// was not started.
	PathCompletions = "/v1/completions"
	// PathStreams + request id + "?attempt=N&from=OFFSET" (GET) resumes a stream
	// that this incarnation runs or has recently finished. Status 404 if unknown.
	PathStreams = "/v1/streams/"
	// PathCancel accepts a CancelRequest (POST). It is idempotent.
	PathCancel = "/v1/cancel"
	// PathOrders accepts an Order (POST) and answers with an OrderAnswer.
	PathOrders = "/v1/orders"
	// PathHealth answers with Health (GET).
	PathHealth = "/health"
	// PathKV + request id (GET) exports the KV cache of a running request as
	// opaque bytes. POST to PathKV imports such bytes and answers with KVImported.
	PathKV = "/v1/kv/"
	// PathCacheEvents + "?after=SEQ" (GET) answers with CacheEvents.
	PathCacheEvents = "/v1/cache/events"
)

// Paths that entries serve for backend servers.
const (
	// PathAnnounce accepts an Announcement (POST) and answers with an AnnounceAnswer.
	PathAnnounce = "/v1/backend/announce"
)

// Names of headers on requests to and answers from backend servers. In addition,
// answers must echo outcome.HeaderRequestID and outcome.HeaderAttempt.
const (
	// HeaderMember names the member on calls to plain services.
	HeaderMember = "X-Goldcrest-Member"
	// HeaderState carries the server's State on every answer.
	HeaderState = "X-Backend-State"
	// HeaderIncarnation carries the server's incarnation on every answer.
	HeaderIncarnation = "X-Backend-Incarnation"
	// HeaderLoad carries a Load as JSON on every answer.
	HeaderLoad = "X-Backend-Load"
	// HeaderRateLimit carries how many requests a second the server accepts from all entries
	// together, as a decimal number. It is on every answer while the limit applies.
	HeaderRateLimit = "X-Backend-Rate-Limit"
	// HeaderNotStarted is "true" if the server did not start the request.
	HeaderNotStarted = "X-Backend-Not-Started"
)

// State is the state that a backend server reports.
type State string

// States of a backend server.
const (
	StateServing  State = "serving"
	StateLeaving  State = "leaving"
	StateChanging State = "changing"
)

// Role is the part of the work that an engine does: prefill, decode or both.
type Role string

// Roles of an engine.
const (
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
	RoleMixed   Role = "mixed"
)

// DoneMarker is the data of the event that terminates a complete stream.
const DoneMarker = "[DONE]"

// CompletionRequest asks an engine to generate tokens.
type CompletionRequest struct {
	RequestID string `json:"request_id"`
	// Attempt numbers the attempts of this request, from 1.
	Attempt   uint32 `json:"attempt"`
	Model     string `json:"model"`
	Adapter   string `json:"adapter,omitempty"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Seed      uint64 `json:"seed"`
	// Priority orders waiting requests. The larger one runs first.
	Priority int `json:"priority"`
	// CacheSalt isolates the prefix caches of members from each other.
	CacheSalt string `json:"cache_salt"`
	// GeneratedText and GeneratedTokens are the output of earlier attempts: the
	// engine prefills prompt and text and continues from that offset.
	GeneratedText   string `json:"generated_text,omitempty"`
	GeneratedTokens int    `json:"generated_tokens,omitempty"`
	// KVHandle refers to an imported KV cache. If empty, the engine prefills.
	KVHandle string `json:"kv_handle,omitempty"`
	// PrefillOnly stops after the first token and keeps the KV cache for export.
	PrefillOnly bool `json:"prefill_only,omitempty"`
	Stream      bool `json:"stream"`
}

// Chunk is one event of a stream. Offsets count tokens from the start of the
// complete output, across all attempts.
type Chunk struct {
	RequestID string `json:"request_id"`
	Attempt   uint32 `json:"attempt"`
	// Offset is the offset of the chunk's first token, Tokens the number of its tokens.
	Offset int    `json:"offset"`
	Tokens int    `json:"tokens"`
	Text   string `json:"text"`
	// FinishReason is set on the last chunk: stop, length or prefilled.
	FinishReason string `json:"finish_reason,omitempty"`
	// Heartbeat chunks have no tokens. They show that the engine is alive while
	// the request is queued or in prefill.
	Heartbeat bool `json:"heartbeat,omitempty"`
}

// Refused is the body of an answer to a request that was not started.
type Refused struct {
	Reason string `json:"reason"`
	State  State  `json:"state"`
}

// CancelRequest cancels all attempts of a request up to and including Attempt.
type CancelRequest struct {
	RequestID string `json:"request_id"`
	Attempt   uint32 `json:"attempt"`
}

// FencingToken defines the sequence of the orders to one engine, by Term first and then by
// Sequence.
type FencingToken struct {
	Term     uint64 `json:"term"`
	Sequence uint64 `json:"sequence"`
}

// Less reports whether t is older than o.
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

// Order changes an engine. A repeated order with the same ID is answered but not
// carried out again.
type Order struct {
	ID string `json:"id"`
	// Incarnation is that of the engine, which refuses an order for another one.
	Incarnation string       `json:"incarnation"`
	Token       FencingToken `json:"token"`
	Kind        string       `json:"kind"`
	Role        Role         `json:"role,omitempty"`
	Model       string       `json:"model,omitempty"`
	Version     string       `json:"version,omitempty"`
	Adapter     string       `json:"adapter,omitempty"`
	// Sender identifies the control process and its incarnation, for the engine's journal.
	Sender string `json:"sender"`
}

// Order results.
const (
	OrderRunning = "running"
	OrderDone    = "done"
	OrderStale   = "stale"
	OrderRefused = "refused"
)

// OrderAnswer states the result of an order.
type OrderAnswer struct {
	ID     string `json:"id"`
	Result string `json:"result"`
	Reason string `json:"reason,omitempty"`
	// Newest is the newest fencing token that the engine has received.
	Newest FencingToken `json:"newest"`
}

// Load is the load that a backend server reports. It lags behind by AgeMS.
type Load struct {
	Running             uint32  `json:"running"`
	Queued              uint32  `json:"queued"`
	QueuedPrefillTokens uint64  `json:"queued_prefill_tokens"`
	RunningDecodeTokens uint64  `json:"running_decode_tokens"`
	PrefillRate         float64 `json:"prefill_rate"`
	DecodeRate          float64 `json:"decode_rate"`
	CacheUsed           float64 `json:"cache_used"`
	// KVTokens is the capacity of the KV cache in tokens, KVUsed how many of them
	// running and queued requests reserve. If KVTokens is zero, it is unknown.
	KVTokens uint64 `json:"kv_tokens"`
	KVUsed   uint64 `json:"kv_used"`
	AgeMS    uint32 `json:"age_ms"`
}

// Announcement is the report by which a backend server registers with two or more
// entries. It is sent once a second and at once on every change of state.
type Announcement struct {
	Cluster     string `json:"cluster"`
	ID          string `json:"id"`
	Incarnation string `json:"incarnation"`
	// Address is where the server accepts requests, as host:port.
	Address    string `json:"address"`
	Region     string `json:"region"`
	DataCentre string `json:"data_centre"`
	// SoftwareVersion names the build of the server's software, not the model's version.
	SoftwareVersion string `json:"software_version,omitempty"`
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
	// LastOrder is the last order carried out, with LastToken. RunningOrder is the one
	// in progress.
	LastOrder    string       `json:"last_order,omitempty"`
	LastToken    FencingToken `json:"last_token"`
	RunningOrder string       `json:"running_order,omitempty"`
}

// Kinds of backend servers in announcements.
const (
	KindModel = "model"
	KindPlain = "plain"
)

// AnnounceAnswer tells a backend server when and where to announce next, and whether to leave.
type AnnounceAnswer struct {
	// IntervalMS is the time until the next announcement.
	IntervalMS uint32 `json:"interval_ms"`
	// Entries are the caller addresses of the entries to announce to, best first.
	Entries []string `json:"entries"`
	// Leave asks the server to finish its requests and leave, since an operator drains it.
	Leave bool `json:"leave,omitempty"`
}

// Health is the answer of a backend server to a health probe.
type Health struct {
	ID          string `json:"id"`
	Incarnation string `json:"incarnation"`
	State       State  `json:"state"`
	Role        Role   `json:"role,omitempty"`
	Load        Load   `json:"load"`
}

// KVImported carries the handle of an imported KV cache, for CompletionRequest.KVHandle.
type KVImported struct {
	Handle string `json:"handle"`
	Tokens int    `json:"tokens"`
}

// CacheEvents are changes of an engine's prefix cache. They may be late and have gaps:
// Next may be greater than the last Seq plus one.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
	Next   uint64       `json:"next"`
}

// CacheEvent reports that a block of a prompt prefix was stored or evicted.
type CacheEvent struct {
	Seq uint64 `json:"seq"`
	// Salt and Hash identify the block. Hash is the chained hash of the prefix up to its end.
	Salt    string `json:"salt"`
	Hash    uint64 `json:"hash"`
	Dropped bool   `json:"dropped,omitempty"`
}
