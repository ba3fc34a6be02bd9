package traffic

import (
	"bytes"
	"errors"
	"net/http"
	"regexp"
	"strings"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/google/uuid"

	"goldcrestseam.dev/goldcrestseam/internal/declaration"
	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
	"goldcrestseam.dev/goldcrestseam/internal/entry"
	"goldcrestseam.dev/goldcrestseam/internal/outcome"
)

const (
	// readTimeout bounds how long a caller may take to send a request: slow
	// senders must not hold connections.
	readTimeout = 30 * time.Second
	// callerIdle closes callers' connections that idle.
	callerIdle = 60 * time.Second
	// callerBuffer is the size of a caller connection's buffers: headers that
	// don't fit are refused.
	callerBuffer = 16 << 10
	// readLimitFactor: a body up to this many times the limit is read before
	// it is refused. The library closes on what is larger without reading it,
	// and the caller then often sees a reset connection and not the 413.
	readLimitFactor = 4
)

// requestIDForm is what a caller may choose as a request id.
var requestIDForm = regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`)

func (s *Server) newApp() *fiber.App {
	app := fiber.New(fiber.Config{
		// fiber reuses a request's buffers for the next one. A string kept from
		// a request would turn into another member's: Immutable copies, and
		// readCall clones what outlives the handler besides.
		Immutable:             true,
		DisableStartupMessage: true,
		CaseSensitive:         true,
		StrictRouting:         true,
		BodyLimit:             readLimitFactor * s.host.Settings.MaxBodyBytes,
		ReadBufferSize:        callerBuffer,
		ReadTimeout:           readTimeout,
		IdleTimeout:           callerIdle,
		ErrorHandler:          s.httpError,
		DisableKeepalive:      false,
	})
	app.Get("/healthz", s.getHealth)
	app.Get("/v1/entries", s.getEntries)
	app.Post(engineapi.PathAnnounce, s.postAnnounce)
	app.Post("/v1/completions", s.postCompletions)
	app.Post("/v1/chat/completions", s.postChat)
	app.Post("/v1/requests/:id/resume", s.postResume)
	app.All("/svc/:service/*", s.anyPlain)
	app.Use(func(*fiber.Ctx) error { return notFound("there is no such path") })
	return app
}

// call is what is kept of a caller's request; nothing in it points into
// fiber's buffers.
type call struct {
	snap *entry.Snapshot
	// inForce tells that the view that snap is of counted when the call came.
	inForce bool
	member  *declaration.Member
	// credential is the hash of its token.
	credential string
	requestID  string
	method     string
	path       string
	query      string
	headers    map[string]string
	body       []byte
}

// forwarded are the request headers that go on to plain services.
var forwarded = []string{"Content-Type", "Accept", "Accept-Language", "If-None-Match", "If-Modified-Since"}

// readCall copies the request and finds its member by the credential. The
// member never comes from the body.
func (s *Server) readCall(c *fiber.Ctx) (*call, *outcome.Refusal) {
	inForce := s.host.ViewLeaseValid()
	snap := s.host.Snapshot()
	k := &call{
		snap: snap, inForce: inForce, method: strings.Clone(c.Method()), path: strings.Clone(c.Params("*")),
		query: string(c.Request().URI().QueryString()), body: bytes.Clone(c.Request().Body()),
		headers: make(map[string]string),
	}
	for _, name := range append(forwarded, outcome.HeaderIdempotencyKey, "Last-Event-ID") {
		if v := c.Get(name); v != "" {
			k.headers[name] = strings.Clone(v)
		}
	}
	k.requestID = strings.Clone(c.Get(outcome.HeaderRequestID))
	if k.requestID == "" {
		k.requestID = uuid.NewString()
	}
	if !requestIDForm.MatchString(k.requestID) {
		k.requestID = uuid.NewString()
		return k, invalid("X-Request-Id must be 1 to 64 letters, digits, dots, dashes or underscores")
	}
	c.Set(outcome.HeaderRequestID, k.requestID)
	if len(k.body) > s.host.Settings.MaxBodyBytes {
		k.body = nil
		return k, &outcome.Refusal{
			Status: http.StatusRequestEntityTooLarge, Code: outcome.CodeTooLarge, Outcome: outcome.NotRun,
			Message: "the request is too large",
		}
	}
	if !snap.Ready() {
		return k, outcome.NoConfiguration()
	}
	token, ok := strings.CutPrefix(c.Get("Authorization"), "Bearer ")
	if ok {
		k.credential = declaration.HashCredential(token)
		k.member = snap.Members[k.credential]
	}
	if k.member == nil {
		return k, k.byView(&outcome.Refusal{
			Status: http.StatusUnauthorized, Code: outcome.CodeUnauthenticated, Outcome: outcome.NotRun,
			Message: "the bearer token is missing or unknown",
		})
	}
	return k, nil
}

// byView gives a refusal that is final by what the view does not hold, or, if the view may
// have missed a change, one that says so.
func (k *call) byView(final *outcome.Refusal) *outcome.Refusal {
	if k.inForce {
		return final
	}
	return outcome.OutdatedView()
}

// service gives the service that the member may call.
func (k *call) service(name, kind string) (*declaration.Service, *outcome.Refusal) {
	service := k.snap.Declaration.Service(name)
	if service == nil || service.Kind != kind {
		return nil, k.byView(notFound("there is no such service"))
	}
	if !k.member.Allows(name) {
		return nil, k.byView(&outcome.Refusal{
			Status: http.StatusForbidden, Code: outcome.CodeForbidden, Outcome: outcome.NotRun,
			Message: "this member may not call the service",
		})
	}
	return service, nil
}

func invalid(message string) *outcome.Refusal {
	return &outcome.Refusal{
		Status: http.StatusBadRequest, Code: outcome.CodeInvalidRequest, Outcome: outcome.NotRun, Message: message,
	}
}

func notFound(message string) *outcome.Refusal {
	return &outcome.Refusal{
		Status: http.StatusNotFound, Code: outcome.CodeNotFound, Outcome: outcome.NotRun, Message: message,
	}
}

// httpError answers what handlers and the HTTP library refuse.
func (s *Server) httpError(c *fiber.Ctx, err error) error {
	var refusal *outcome.Refusal
	if errors.As(err, &refusal) {
		return s.sendRefusal(c, refusal)
	}
	refusal = invalid("the request can't be read")
	var fe *fiber.Error
	if errors.As(err, &fe) {
		refusal.Status = fe.Code
		switch fe.Code {
		case http.StatusRequestEntityTooLarge, http.StatusRequestHeaderFieldsTooLarge:
			refusal.Code, refusal.Message = outcome.CodeTooLarge, "the request is too large"
		case http.StatusNotFound, http.StatusMethodNotAllowed:
			refusal.Code, refusal.Message = outcome.CodeNotFound, "there is no such path or method"
		}
	}
	return s.sendRefusal(c, refusal)
}

// sendRefusal writes the error body and the headers that go with it.
func (s *Server) sendRefusal(c *fiber.Ctx, refusal *outcome.Refusal) error {
	s.head(c, refusal.Outcome)
	if refusal.RetryAfter > 0 {
		c.Set(outcome.HeaderRetryAfter, refusal.RetryAfterSeconds())
	}
	id := string(c.Response().Header.Peek(outcome.HeaderRequestID))
	return c.Status(refusal.Status).JSON(refusal.Body(id))
}

// head sets the headers that every answer carries.
func (s *Server) head(c *fiber.Ctx, o outcome.Outcome) {
	c.Set(outcome.HeaderOutcome, string(o))
	c.Set(outcome.HeaderEntry, s.host.Identity.Name)
	if s.host.Snapshot().Leaving {
		c.Set("Connection", "close")
	}
}

func (s *Server) getHealth(c *fiber.Ctx) error {
	snap := s.host.Snapshot()
	s.head(c, outcome.Ran)
	status := http.StatusOK
	if !snap.Ready() || snap.Leaving {
		status = http.StatusServiceUnavailable
	}
	return c.Status(status).JSON(healthAnswer{
		Entry: s.host.Identity.Name, Ready: snap.Ready(), Leaving: snap.Leaving,
		Revision: snap.Revision, ViewVersion: snap.ViewVersion,
	})
}

type healthAnswer struct {
	Entry       string `json:"entry"`
	Ready       bool   `json:"ready"`
	Leaving     bool   `json:"leaving"`
	Revision    uint64 `json:"revision"`
	ViewVersion uint64 `json:"view_version"`
}
