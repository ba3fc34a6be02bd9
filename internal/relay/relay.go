// Package relay forwards requests to backend servers unchanged, from their arrival over the
// attempts at servers to the answer. It reaches callers and servers only through the interfaces
// Caller and Backend; their implementations speak the protocols. All decisions are taken by the
// entry's reducer (package entry, run by package host).
package relay

import (
	"context"
	"sync/atomic"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision/backpressure"
	"goldcrestseam.dev/goldcrestseam/internal/entry"
	"goldcrestseam.dev/goldcrestseam/internal/host"
	"goldcrestseam.dev/goldcrestseam/internal/outcome"
	"goldcrestseam.dev/goldcrestseam/internal/settings"
)

// Field is one header field. Names are in canonical case.
type Field struct{ Name, Value string }

// Request is a caller's request as its protocol driver has read it.
type Request struct {
	// ID identifies this try of the caller; a retry has another one. Servers echo it.
	ID string
	// Host is the Host header, Path the path without the query.
	Host, Path string
	Method     string
	// URI is the path with the query, as received.
	URI string
	// Header holds the fields that are forwarded to servers.
	Header []Field
	Body   []byte
	// Credential is the secret that identifies the caller's member, empty for none. Only its
	// hash is passed on, and it is never logged.
	Credential string
	// CallerTimeout is how long the caller waits; 0 if it did not say.
	CallerTimeout time.Duration
	// Prompt describes a model request; nil for other requests.
	Prompt *Prompt
	// ConnectionSeq numbers the requests on one connection, from 1.
	ConnectionSeq uint64
	// LastEventID is the id of the last event of the stream that the caller has received, empty
	// for none.
	LastEventID string
	// Resumes is the ID of the try that brought the first event of that stream, empty if the caller
	// does not say.
	Resumes string
	// ForwardedBy is the entry that passed the request on, empty if it comes from its caller.
	ForwardedBy string
}

// Prompt describes a model request as far as its headers tell; the body is not parsed.
type Prompt struct {
	Model string
	// Tokens is the length of the prompt, MaxOutputTokens the most that may be generated.
	Tokens          int
	MaxOutputTokens int
	// ExpectedOutputTokens is the caller's estimate of the output's length; 0 for none.
	ExpectedOutputTokens int
	// Parts are the parts of the prompt, in order. Requests with equal leading parts share their
	// KV cache.
	Parts []Part
}

// Part is one part of a prompt.
type Part struct {
	ID     string
	Tokens int
}

// Head is the status and header of a response. The caller gets the server's, unchanged.
type Head struct {
	Status int
	Header []Field
}

// Caller receives the answer to one request. Each request gets one Respond, one Refuse, or one
// BeginStream with any number of SendEvent and one EndStream.
type Caller interface {
	// Respond sends a complete response.
	Respond(h *Head, body []byte)
	// Refuse sends the final answer of a request that no server has answered.
	Refuse(r *outcome.Refusal)
	// BeginStream sends the head of a stream. It fails if the caller has disconnected.
	BeginStream(h *Head) error
	// SendEvent sends bytes of the stream without delay. They may still be read after it has returned, until it has
	// returned for the next ones. It fails if the caller has disconnected, and once ctx ends before the caller takes them.
	SendEvent(ctx context.Context, data []byte) error
	// EndStream ends the stream, either as complete or such that the caller can tell that it is
	// truncated.
	EndStream(complete bool)
}

// Target is the server incarnation that an attempt is for.
type Target struct {
	Address     string
	Incarnation string
	// MaxConns bounds this entry's connections to the server; 0 for no bound.
	MaxConns int
	// AcceptsRequests reports whether the server still accepts requests. It is called just
	// before the request is sent; nil means that it does.
	AcceptsRequests func() bool
}

// Attempt is one sending of a request to a server.
type Attempt struct {
	Target
	Request *Request
	// Timeout is how long the server may take.
	Timeout time.Duration
	// AtMostOnce forbids running the request twice. It is then sent on a new connection, since
	// one that was idle may have been closed and the request lost on it may have run.
	AtMostOnce bool
	// Member is the member that the request runs for, empty for none.
	Member string
	// Rank is the priority at the server, lower values first.
	Rank int
	// ResumeAfter is the id of the event after which a stream resumes; empty for its start.
	ResumeAfter string
	// FetchAddress is the engine, host:port, from which the prefilling engine fetches cached
	// parts of the prompt; empty if it computes what it does not hold.
	FetchAddress string
	// KVCache is the prompt's KV cache at the engine that prefilled it; nil if the server
	// prefills by itself.
	KVCache *KVCache
}

// KVCache is the KV cache of one prompt, held by an engine until another one fetches it.
type KVCache struct {
	Address string
	Handle  string
}

// ServerStatus is what a response says about the server that sent it.
type ServerStatus struct {
	// Running and Queued are the numbers of requests at the server, valid if HasLoad.
	Running, Queued int
	HasLoad         bool
	// Backpressure is the server's rate limit, back-off or announced leave.
	Backpressure backpressure.Signal
	// NotRun means that the server did not run the request and never will.
	NotRun bool
	// OtherIncarnation means that another incarnation of the server answered at the address.
	OtherIncarnation bool
	// RefusedBy is the code with which another entry refused a forwarded request, empty for none.
	RefusedBy outcome.Code
	// Sealed means that the response has the seal, a value that only a backend server sets.
	Sealed bool
}

// Response is a server's response whose head has been read.
type Response struct {
	Head         Head
	ServerStatus ServerStatus
	// Body reads the body. It returns io.EOF only if the body is complete.
	Body Body
}

// Body is the body of a Response.
type Body interface {
	Read(p []byte) (int, error)
	// Length returns the length of what is still to be read, negative if it is unknown.
	Length() int
	// CloseDelimited reports that the body ends only where the connection does, so that a
	// truncated body can't be told from a complete one.
	CloseDelimited() bool
	// Close returns the connection for reuse. If the body has not been read to its end, it
	// closes the connection instead, which cancels the server's work.
	Close()
}

// Backend sends requests to servers. Its errors are those of package httpconn. When ctx ends the
// connection is closed, also while the body is read.
type Backend interface {
	Send(ctx context.Context, a Attempt) (*Response, error)
	// Prefill asks an engine to prefill only and to hold the KV cache. The cache is nil if the
	// engine did not do so.
	Prefill(ctx context.Context, a Attempt) (*KVCache, ServerStatus, error)
	// FreeCache tells an engine to free a KV cache that no engine will fetch.
	FreeCache(ctx context.Context, c *KVCache)
	// Health probes a server's health path and reports whether the answer is that it is healthy.
	// Without an answer it returns an error.
	Health(ctx context.Context, t Target, path string) (bool, error)
	// Forward passes a caller's request on to the entry at an address, once.
	Forward(ctx context.Context, address string, f Forwarded) (*Response, error)
	// NothingListens reports whether new connections to the server are refused, as they are once
	// its process has ended.
	NothingListens(ctx context.Context, t Target) bool
	// CloseIdle closes connections that have been idle for too long, until ctx ends.
	CloseIdle(ctx context.Context)
}

// Server relays callers' requests.
type Server struct {
	host    *host.Host
	backend Backend
	// waiting counts the requests that wait for a configuration or for a view in force, forwarding
	// those that are passed on to other entries.
	waiting, forwarding atomic.Int64
	// unableEntries are the entries, by unableKey, that have just refused a forwarded request since
	// they could not reach a server either.
	unableEntries recentNames
	// events bounds the memory for large events.
	events *eventBudget
	// ended is done once the end of a planned stop ends what still runs.
	ended context.Context
	end   context.CancelFunc
}

// New returns the relay of an entry and starts its reducer.
func New(h *host.Host, backend Backend) *Server {
	s := &Server{host: h, backend: backend, events: newEventBudget(h)}
	s.ended, s.end = context.WithCancel(context.Background())
	h.Start(entry.Config{
		AbortOnDisconnect: true, AssumedSpeed: engineSpeed(h.Settings),
		Credentials: credentialLimits(h.Settings.Credentials),
	}, s.runEffect)
	return s
}

// Snapshot returns what the entry knows at present.
func (s *Server) Snapshot() *entry.Snapshot { return s.host.Snapshot() }

// NotReadyReason returns why the entry can't serve callers at present, empty if it can.
func (s *Server) NotReadyReason() host.NotReadyReason { return s.host.NotReadyReason() }

// NotReady returns the same with how long that has been observed.
func (s *Server) NotReady() (host.NotReadyReason, time.Duration) { return s.host.NotReady() }

// Settings returns the entry's settings.
func (s *Server) Settings() *settings.Entry { return s.host.Settings }

// lastAnswersTime is how long requests still run after the deadline of a planned stop. What is left of the closing of
// the listeners is for the final answers of the others.
const lastAnswersTime = 500 * time.Millisecond

// EndRequests gives the requests their final answer that still run at the deadline of a planned stop.
func (s *Server) EndRequests() { time.AfterFunc(lastAnswersTime, s.end) }

// CloseIdle closes idle connections to servers until ctx ends.
func (s *Server) CloseIdle(ctx context.Context) { s.backend.CloseIdle(ctx) }
