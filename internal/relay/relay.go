// Package relay is the life of a request that is passed on as it is: from its
// arrival over its attempts at backend servers to its answer. It knows callers
// and servers by ports only; drivers speak their protocols. The entry's reducer
// (package entry, run by package host) takes every decision.
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

// Field is one header field; names are in their canonical case.
type Field struct{ Name, Value string }

// Request is a caller's request as its driver read it.
type Request struct {
	// ID names this one try of the caller; servers echo it.
	ID string
	// Host is the Host header, Path the path without the query.
	Host, Path string
	Method     string
	// URI is path and query as they were sent.
	URI string
	// Header holds the fields that go on to servers.
	Header []Field
	Body   []byte
	// Credential is what the caller shows for a member, empty for none. It goes no further
	// than its hash, and into no line.
	Credential string
	// Patience is how long the caller waits; 0: not told.
	Patience time.Duration
	// Prompt is what a model is asked; nil for other requests.
	Prompt *Prompt
	// OnConnection counts the requests of its connection up to this one: 1 is the
	// first on a new connection.
	OnConnection uint64
	// After is the last event of the stream that the caller has, empty for none.
	After string
}

// Prompt is what is known of a model request without looking into its body.
type Prompt struct {
	Model string
	// Tokens are the prompt's, MaxOutput the most that may be generated.
	Tokens    int
	MaxOutput int
	// LikelyOutput is the caller's estimate; 0: none.
	LikelyOutput int
	// Parts are the prompt's in order; requests share them by id.
	Parts []Part
}

// Part is one part of a prompt.
type Part struct {
	ID     string
	Tokens int
}

// Head is an answer's head as it goes to the caller: the server's, unchanged.
type Head struct {
	Status int
	Header []Field
}

// Caller is the side of one request that its answer goes to. Each request gets
// one Whole, one Refuse, or one Begin with Events and one End.
type Caller interface {
	// Whole gives a whole answer.
	Whole(h *Head, body []byte)
	// Refuse gives the final answer of a request that has none of a server's.
	Refuse(r *outcome.Refusal)
	// Begin begins a stream. Errors: the caller is gone.
	Begin(h *Head) error
	// Event hands bytes of the stream on at once. Errors: the caller is gone.
	Event(data []byte) error
	// End ends the stream: as complete, or so that it can't be taken for that.
	End(complete bool)
}

// Target is the one life of a server that an attempt is for.
type Target struct {
	Address     string
	Incarnation string
	// MaxConns bounds this entry's connections to it; 0: no bound.
	MaxConns int
	// Wanted tells whether the server still wants requests; it is asked at the last moment
	// before one is sent. nil: it does.
	Wanted func() bool
}

// Attempt is one sending of a request.
type Attempt struct {
	Target
	Request *Request
	// Left is the time that the server may take.
	Left time.Duration
	// Once tells that the request must not run twice: it goes out on a
	// connection that nothing can have happened to.
	Once bool
	// Member is for whom it runs, empty for none.
	Member string
	// Rank orders work at the server, a lower one first.
	Rank int
	// After asks a stream to go on after that event; empty: from its start.
	After string
	// Fetch is the engine that the one which reads the prompt fetches cached parts of it
	// from, host:port; empty: it reads what it does not hold.
	Fetch string
	// From is where the prompt's KV cache lies; nil: the server prefills by itself.
	From *Cache
}

// Cache is a prompt's KV cache that an engine holds for another one to fetch.
type Cache struct {
	Address string
	Handle  string
}

// Said is what a server told of itself with an answer.
type Said struct {
	// Load is how many requests run and wait there, if HasLoad.
	Running, Queued int
	HasLoad         bool
	// Word is what it says of the work that it wants.
	Word backpressure.Signal
	// NotRun tells that the server did not run the request and never will.
	NotRun bool
	// OtherLife tells that another life of a server answered at the address.
	OtherLife bool
	// Proven tells that the answer bears the server's mark on what it made.
	Proven bool
}

// Answer is a server's answer whose head has been read.
type Answer struct {
	Head Head
	Said Said
	// Body reads the answer's bytes. Its end is io.EOF only if it is whole.
	Body Body
}

// Body is the body of an Answer.
type Body interface {
	Read(p []byte) (int, error)
	// ToEnd tells that the body has no end but the connection's.
	ToEnd() bool
	// Close gives the connection back, or ends it and with it the server's work
	// if the body has not been read to its end.
	Close()
}

// Backend is the port to servers. Errors are those of package httpconn. When ctx
// ends the connection is closed, also while the body is read.
type Backend interface {
	Send(ctx context.Context, a Attempt) (*Answer, error)
	// Prefill asks an engine to prefill only and to hold the KV cache. The cache is
	// nil if the engine did not do so.
	Prefill(ctx context.Context, a Attempt) (*Cache, Said, error)
	// Free lets an engine drop a KV cache that nobody fetches.
	Free(ctx context.Context, c *Cache)
	// Health asks a server for its health on the path; false for none or a bad one.
	Health(ctx context.Context, t Target, path string) bool
	// CloseIdle closes connections that idle too long.
	CloseIdle()
}

// Server relays callers' requests.
type Server struct {
	host    *host.Host
	backend Backend
	// waiting counts requests that wait for a configuration.
	waiting atomic.Int64
}

// New makes the relay of an entry.
func New(h *host.Host, backend Backend) *Server {
	s := &Server{host: h, backend: backend}
	h.Start(entry.Config{
		AbortOnDisconnect: true, AssumedPace: pace(h.Settings), RetryLimit: extraLimit(h.Settings.Repeats),
		Credentials: credentialLimits(h.Settings.Credentials),
	}, s.carryOut)
	return s
}

// Snapshot is what the entry knows.
func (s *Server) Snapshot() *entry.Snapshot { return s.host.Snapshot() }

// NotReady tells why the entry can't serve callers now, empty if it can.
func (s *Server) NotReady() host.NotReadyReason { return s.host.NotReadyReason() }

// Settings are the entry's.
func (s *Server) Settings() *settings.Entry { return s.host.Settings }

// idleEvery is how often idle connections are looked at: half of the time that
// they may idle.
const idleEvery = time.Second

// CloseIdle closes connections to servers that idle, until ctx ends.
func (s *Server) CloseIdle(ctx context.Context) {
	for host.Pause(ctx, idleEvery) {
		s.backend.CloseIdle()
	}
}
