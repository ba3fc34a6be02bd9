package traffic

import (
	"errors"
	"net/http"
	"regexp"
	"strings"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/google/uuid"
	"github.com/joomcode/errorx"

	"goldcrestseam.dev/goldcrestseam/internal/callerconn"
	"goldcrestseam.dev/goldcrestseam/internal/declaration"
	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
	"goldcrestseam.dev/goldcrestseam/internal/entry"
	"goldcrestseam.dev/goldcrestseam/internal/intake"
	"goldcrestseam.dev/goldcrestseam/internal/listen"
	"goldcrestseam.dev/goldcrestseam/internal/outcome"
)

const (
	// callerReadTimeout bounds how long a caller may take to send a request, so
	// that slow senders do not hold connections.
	callerReadTimeout = 30 * time.Second
	// callerIdleTimeout is how long a caller's idle connection stays open.
	callerIdleTimeout = 60 * time.Second
	// callerBufferBytes is the size of the read buffer of a caller's
	// connection. Requests whose headers do not fit are refused.
	callerBufferBytes = 16 << 10
	// maxAnnouncementBytes bounds the announcement of a backend server.
	maxAnnouncementBytes = 64 << 10
)

// requestIDPattern matches the request ids that callers may choose.
var requestIDPattern = regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`)

func (s *Server) newApp() *fiber.App {
	app := fiber.New(fiber.Config{
		// fiber reuses a request's buffers for the next request. A string that
		// still points into them would change to data of another member.
		// Immutable makes fiber copy its strings; readCall also clones
		// everything that outlives the handler.
		Immutable:             true,
		DisableStartupMessage: true,
		CaseSensitive:         true,
		StrictRouting:         true,
		StreamRequestBody:     true,
		ReadBufferSize:        callerBufferBytes,
		ReadTimeout:           callerReadTimeout,
		IdleTimeout:           callerIdleTimeout,
		ErrorHandler:          s.httpError,
		DisableKeepalive:      false,

		DisablePreParseMultipartForm: true,
	})
	server := app.Server()
	server.ConnState = intake.RecordState
	server.HeaderReceived = intake.RefuseLarge(func() int { return s.host.Settings.MaxBodyBytes })
	app.Get("/healthz", s.getHealth)
	app.Get("/v1/entries", s.getEntries)
	app.Post(engineapi.PathAnnounce, s.postAnnounce)
	app.Post("/v1/completions", s.postCompletions)
	app.Post("/v1/chat/completions", s.postChat)
	app.Post("/v1/requests/:id/resume", s.postResume)
	app.All("/svc/:service/*", s.handlePlain)
	app.Use(func(*fiber.Ctx) error { return notFound("there is no such path") })
	return app
}

// callerCall is a copy of a caller's request. Nothing in it points into fiber's
// buffers.
type callerCall struct {
	snap *entry.Snapshot
	// viewLeaseValid reports whether the entry's lease on its view of the cluster
	// was valid when the call arrived. Without a valid lease the view may be
	// outdated.
	viewLeaseValid bool
	member         *declaration.Member
	// credential is the hash of the bearer token.
	credential string
	requestID  string
	method     string
	path       string
	query      string
	headers    map[string]string
	// body is nil until it is read. read holds its memory, nil if none was read.
	body []byte
	read *intake.Body
}

// release gives the memory of the body back.
func (c *callerCall) release() {
	if c.read != nil {
		c.read.Release()
	}
}

// forwardedHeaders are the request headers that are forwarded to plain
// services.
var forwardedHeaders = []string{"Content-Type", "Accept", "Accept-Language", "If-None-Match", "If-Modified-Since"}

// readCall copies the request and authenticates its member by the bearer token, before
// its body is read. The handler must release the call, also after a refusal.
func (s *Server) readCall(c *fiber.Ctx) (*callerCall, *outcome.Refusal) {
	call, refusal := s.readHead(c)
	if refusal != nil {
		callerconn.Linger(c.Context().Conn())
		return call, refusal
	}
	if call.read, refusal = s.readBody(c, s.host.Settings.MaxBodyBytes); refusal != nil {
		return call, refusal
	}
	call.body = call.read.Bytes()
	listen.Mark(c.Context().Conn(), listen.Busy)
	return call, nil
}

// readBody reads a body of at most limit bytes. After a refusal the connection ends, since the rest of the body is on its
// way.
func (s *Server) readBody(c *fiber.Ctx, limit int) (*intake.Body, *outcome.Refusal) {
	body, err := s.bodies.Read(intake.Request(c.Context()), limit)
	if err == nil {
		return body, nil
	}
	callerconn.CloseAfterAnswer(c.Context())
	switch {
	case errorx.IsOfType(err, intake.TooLarge):
		return nil, tooLarge()
	case errorx.IsOfType(err, intake.NoMemory):
		return nil, &outcome.Refusal{
			Status: http.StatusTooManyRequests, Code: outcome.CodeOverloaded, Outcome: outcome.NotRun,
			Message: "the entry has no memory for the body", RetryAfter: intake.RetryAfter,
		}
	}
	return nil, invalid("the body can't be read")
}

func tooLarge() *outcome.Refusal {
	return &outcome.Refusal{
		Status: http.StatusRequestEntityTooLarge, Code: outcome.CodeTooLarge, Outcome: outcome.NotRun,
		Message: "the request is too large",
	}
}

// readHead copies the head of the request. The member is never taken from the body.
func (s *Server) readHead(c *fiber.Ctx) (*callerCall, *outcome.Refusal) {
	leaseValid := s.host.ViewLeaseValid()
	snap := s.host.Snapshot()
	call := &callerCall{
		snap: snap, viewLeaseValid: leaseValid, method: strings.Clone(c.Method()), path: strings.Clone(c.Params("*")),
		query: string(c.Request().URI().QueryString()), headers: make(map[string]string),
	}
	for _, name := range append(forwardedHeaders, outcome.HeaderIdempotencyKey, "Last-Event-ID") {
		if v := c.Get(name); v != "" {
			call.headers[name] = strings.Clone(v)
		}
	}
	call.requestID = strings.Clone(c.Get(outcome.HeaderRequestID))
	if call.requestID == "" {
		call.requestID = uuid.NewString()
	}
	if !requestIDPattern.MatchString(call.requestID) {
		call.requestID = uuid.NewString()
		return call, invalid("X-Request-Id must be 1 to 64 letters, digits, dots, dashes or underscores")
	}
	c.Set(outcome.HeaderRequestID, call.requestID)
	if !snap.Ready() {
		return call, outcome.NoConfiguration()
	}
	token, ok := strings.CutPrefix(c.Get("Authorization"), "Bearer ")
	if ok {
		call.credential = declaration.HashCredential(token)
		call.member = snap.Members[call.credential]
	}
	if call.member == nil {
		return call, call.unlessViewOutdated(&outcome.Refusal{
			Status: http.StatusUnauthorized, Code: outcome.CodeUnauthenticated, Outcome: outcome.NotRun,
			Message: "the bearer token is missing or unknown",
		})
	}
	return call, nil
}

// unlessViewOutdated returns the given final refusal, which rests on something
// missing from the view. If the view may be outdated, it returns a refusal that
// says so, because the missing object may have been declared in the meantime.
func (c *callerCall) unlessViewOutdated(final *outcome.Refusal) *outcome.Refusal {
	if c.viewLeaseValid {
		return final
	}
	return outcome.OutdatedView()
}

// service returns the named service if it exists, is of the given kind and may
// be called by the member.
func (c *callerCall) service(name, kind string) (*declaration.Service, *outcome.Refusal) {
	service := c.snap.Declaration.Service(name)
	if service == nil || service.Kind != kind {
		return nil, c.unlessViewOutdated(notFound("there is no such service"))
	}
	if !c.member.Allows(name) {
		return nil, c.unlessViewOutdated(&outcome.Refusal{
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

// httpError writes the answer for an error of a handler or of the HTTP library.
func (s *Server) httpError(c *fiber.Ctx, err error) error {
	var refusal *outcome.Refusal
	if errors.As(err, &refusal) {
		return s.sendRefusal(c, refusal)
	}
	refusal = invalid("the request can't be read")
	var fiberErr *fiber.Error
	if errors.As(err, &fiberErr) {
		refusal.Status = fiberErr.Code
		switch fiberErr.Code {
		case http.StatusRequestEntityTooLarge, http.StatusRequestHeaderFieldsTooLarge:
			refusal.Code, refusal.Message = outcome.CodeTooLarge, "the request is too large"
		case http.StatusNotFound, http.StatusMethodNotAllowed:
			refusal.Code, refusal.Message = outcome.CodeNotFound, "there is no such path or method"
		}
	}
	return s.sendRefusal(c, refusal)
}

// sendRefusal writes a refusal's status, headers and error body.
func (s *Server) sendRefusal(c *fiber.Ctx, refusal *outcome.Refusal) error {
	s.setCommonHeaders(c, refusal.Outcome)
	if refusal.RetryAfter > 0 {
		c.Set(outcome.HeaderRetryAfter, refusal.RetryAfterSeconds())
	}
	id := string(c.Response().Header.Peek(outcome.HeaderRequestID))
	return c.Status(refusal.Status).JSON(refusal.Body(id))
}

// setCommonHeaders sets the headers that every answer carries. A leaving entry
// also closes the connection.
func (s *Server) setCommonHeaders(c *fiber.Ctx, o outcome.Outcome) {
	c.Set(outcome.HeaderOutcome, string(o))
	c.Set(outcome.HeaderEntry, s.host.Identity.Name)
	if s.host.Snapshot().Leaving {
		c.Set("Connection", "close")
	}
}

func (s *Server) getHealth(c *fiber.Ctx) error {
	snap := s.host.Snapshot()
	s.setCommonHeaders(c, outcome.Ran)
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
