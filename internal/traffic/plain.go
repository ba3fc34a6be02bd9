package traffic

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"path"
	"strings"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/google/uuid"
	"github.com/joomcode/errorx"
	"github.com/valyala/fasthttp"

	"goldcrestseam.dev/goldcrestseam/internal/clock"
	"goldcrestseam.dev/goldcrestseam/internal/decision"
	"goldcrestseam.dev/goldcrestseam/internal/declaration"
	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
	"goldcrestseam.dev/goldcrestseam/internal/entry"
	"goldcrestseam.dev/goldcrestseam/internal/host"
	"goldcrestseam.dev/goldcrestseam/internal/httpconn"
	"goldcrestseam.dev/goldcrestseam/internal/outcome"
)

const (
	// idempotentAttempts is the number of attempts among which the deadline of an
	// idempotent call is divided. A silent connection or a frozen server then
	// costs only a part of the time.
	idempotentAttempts = 4
	// minAttemptTimeout is the shortest timeout for one attempt.
	minAttemptTimeout = 300 * time.Millisecond
)

// plainAnswer is the complete answer of a backend server to a call.
type plainAnswer struct {
	status      int
	contentType string
	location    string
	body        []byte
	replayed    bool
}

// plainJob is a call of a plain service with the state that its handler keeps.
type plainJob struct {
	server  *Server
	call    *callerCall
	wireID  string
	arrived entry.RequestArrived
	// uri is the path and query that are sent to the server.
	uri      string
	claim    *claim
	deadline time.Time
	answer   *plainAnswer
}

func (s *Server) handlePlain(c *fiber.Ctx) error {
	name := strings.Clone(c.Params("service"))
	call, refusal := s.readCall(c)
	defer call.release()
	var job *plainJob
	var route *declaration.Route
	if refusal == nil {
		job, route, refusal = s.preparePlain(call, name)
	}
	if refusal != nil && call.headers[outcome.HeaderIdempotencyKey] != "" {
		// The key was not looked up. An earlier call under it may have run: at
		// another entry, or before the service, route or credential was withdrawn.
		return withUnknownOutcome(refusal)
	}
	if refusal != nil {
		return refusal
	}
	if route.Repeat == declaration.RepeatOnce {
		return s.answerAtMostOnce(c, job)
	}
	if refusal := job.run(s.host.TaskContext); refusal != nil {
		return refusal
	}
	return s.writePlainAnswer(c, job.answer)
}

// preparePlain finds the call's service and route.
func (s *Server) preparePlain(call *callerCall, name string) (*plainJob, *declaration.Route, *outcome.Refusal) {
	service, refusal := call.service(name, declaration.KindPlain)
	if refusal != nil {
		return nil, nil, refusal
	}
	target, refusal := canonicalPath(call.path)
	if refusal != nil {
		return nil, nil, refusal
	}
	route := findRoute(service, call.method, target)
	if route == nil {
		return nil, nil, call.unlessViewOutdated(notFound("the service has no such route"))
	}
	return s.newPlainJob(call, service, target), route, nil
}

// canonicalPath decodes a path once and rejects paths that are not canonical.
// Dot segments, double slashes or nested encodings could select one route at
// the entry and a different route at the server, possibly one that must not be
// retried.
func canonicalPath(raw string) (string, *outcome.Refusal) {
	decoded, err := url.PathUnescape(raw)
	target := "/" + decoded
	if err != nil || path.Clean(target) != strings.TrimSuffix(target, "/") && target != "/" {
		return "", invalid("the path is not in its plain form")
	}
	if strings.ContainsAny(target, "%\\?#") || strings.ContainsFunc(target, func(r rune) bool { return r < ' ' || r == 0x7f }) {
		return "", invalid("the path has characters that are not taken")
	}
	return target, nil
}

// findRoute returns the matching route with the longest path prefix, or nil.
func findRoute(service *declaration.Service, method, target string) *declaration.Route {
	var best *declaration.Route
	for i := range service.Routes {
		r := &service.Routes[i]
		prefix := strings.TrimSuffix(r.Path, "/")
		matches := target == prefix || strings.HasPrefix(target, prefix+"/")
		if r.Method == method && matches && (best == nil || len(r.Path) > len(best.Path)) {
			best = r
		}
	}
	return best
}

func (s *Server) newPlainJob(call *callerCall, service *declaration.Service, target string) *plainJob {
	profile := call.snap.Declaration.Profile(service.Profile)
	now := clock.SinceBoot()
	wireID := engineapi.WireID(call.member.Name, call.requestID, uuid.NewString()[:8])
	uri := (&url.URL{Path: target}).EscapedPath()
	if call.query != "" {
		uri += "?" + call.query
	}
	return &plainJob{
		server: s, call: call, wireID: wireID, uri: uri, deadline: time.Now().Add(profile.Deadline),
		arrived: entry.RequestArrived{
			Work: decision.Work{
				RequestID: host.NewRunKey(wireID), Member: call.member.Name, MemberWeight: call.member.Weight,
				Service: service.Name, Profile: profile.Name, ProfileShare: profile.Share,
				Class: profile.Class, Kind: declaration.KindPlain, Arrived: now,
				FirstTokenBy: now + profile.FirstToken, FinishBy: now + profile.Deadline,
			},
			Retry:       entry.RetryAllowed,
			Fingerprint: fingerprint(call.member.Name, service.Name, call.method, uri, string(call.body)),
			Credential:  call.credential, MembersOnly: true,
			RetryBudget: profile.RetryBudget,
		},
	}
}

// run processes the reducer's effects up to the final one. It returns nil if
// the job has an answer.
func (j *plainJob) run(ctx context.Context) *outcome.Refusal {
	key := j.arrived.Work.RequestID
	effects := j.server.host.OpenMailbox(key)
	defer j.server.host.CloseMailbox(key)
	j.server.host.Post(j.arrived)
	for {
		select {
		case <-ctx.Done():
			j.server.host.Post(entry.CallerDisconnected{RequestID: key})
			return handOffRefusal()
		case e := <-effects:
			switch e := e.(type) {
			case entry.Dispatch:
				ended, ok := j.awaitAttempt(ctx, e)
				if !ok {
					j.server.host.Post(entry.CallerDisconnected{RequestID: key})
					return handOffRefusal()
				}
				j.server.host.Post(ended)
			case entry.Refuse:
				return e.Refusal
			case entry.Finish:
				return nil
			}
		}
	}
}

// awaitAttempt runs an attempt and waits for its end; false if ctx ends first. The attempt then goes on without its caller.
func (j *plainJob) awaitAttempt(ctx context.Context, dispatch entry.Dispatch) (ended entry.AttemptEnded, ok bool) {
	result := make(chan entry.AttemptEnded, 1)
	// No task of the host: a stopping entry waits for those.
	go j.server.host.ExitOnPanic(func() { result <- j.runAttempt(dispatch) })
	select {
	case ended = <-result:
		return ended, true
	case <-ctx.Done():
		return ended, false
	}
}

func (j *plainJob) runAttempt(dispatch entry.Dispatch) entry.AttemptEnded {
	startedAt := time.Now()
	result := entry.AttemptEnded{RequestID: dispatch.RequestID, Attempt: dispatch.Attempt, Outcome: outcome.NotRun}
	answer, err := j.sendAttempt(dispatch)
	result.Elapsed = time.Since(startedAt)
	result.NoAnswer = httpconn.NoAnswer(err)
	if err != nil {
		j.server.logAttemptFailed(j.wireID, dispatch.Server, dispatch.Attempt, err)
	}
	switch {
	case err == nil:
		j.answer, result.Complete, result.Outcome = answer, true, outcome.Ran
	case errorx.IsOfType(err, httpconn.NotSent):
		result.Unsent = true
		result.ServerDied = errorx.IsOfType(err, httpconn.Refused)
	case errors.Is(err, errNotStarted):
	default:
		result.Outcome = outcome.Unknown
		result.ServerDied = errorx.IsOfType(err, httpconn.Closed) && j.server.engines.processGone(dispatch.Address)
	}
	return result
}

// errNotStarted is returned when the server reports that it did not start the
// call.
var errNotStarted = errors.New("server did not start the call")

// sendAttempt sends the call once, without retries. Errors: httpconn.NotSent,
// httpconn.Broken, httpconn.Mismatched, errNotStarted.
func (j *plainJob) sendAttempt(dispatch entry.Dispatch) (*plainAnswer, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	j.buildRequest(req, dispatch)
	client, timeout := j.server.engines.pooled, j.attemptTimeout()
	if j.arrived.Retry == entry.RetryNever || dispatch.Attempt > 1 {
		// Use a fresh connection: a pooled one may have been closed or gone
		// silent while it was idle. An at-most-once call that fails on it would
		// end with an unknown outcome for no good reason.
		client = j.server.engines.unpooled
		req.SetConnectionClose()
	}
	if timeout <= 0 {
		return nil, httpconn.NotSent.New("deadline expired before the call was sent")
	}
	sentAt := clock.SinceBoot()
	if err := client.DoTimeout(req, resp, timeout); err != nil {
		return nil, httpconn.Classify(err)
	}
	status := readServerStatus(&resp.Header, sentAt)
	j.server.reportServerStatus(dispatch.Server, dispatch.Incarnation, status)
	if !answersAttempt(&resp.Header, j.wireID, dispatch.Attempt) {
		return nil, httpconn.Mismatched.New("the response belongs to another request or attempt")
	}
	if status.notStarted {
		return nil, errNotStarted
	}
	return &plainAnswer{
		status: resp.StatusCode(), contentType: string(resp.Header.ContentType()),
		location: string(resp.Header.Peek("Location")), body: append([]byte(nil), resp.Body()...),
	}, nil
}

func (j *plainJob) buildRequest(req *fasthttp.Request, dispatch entry.Dispatch) {
	req.Header.SetMethod(j.call.method)
	req.SetRequestURI("http://" + dispatch.Address + j.uri)
	for _, name := range forwardedHeaders {
		if v := j.call.headers[name]; v != "" {
			req.Header.Set(name, v)
		}
	}
	req.Header.Set(engineapi.HeaderMember, j.call.member.Name)
	setAttemptHeaders(&req.Header, j.wireID, dispatch.Attempt)
	if j.claim != nil {
		req.Header.Set(outcome.HeaderIdempotencyKey, j.claim.pb.Key)
	}
	req.SetBodyRaw(j.call.body)
}

// attemptTimeout returns the timeout of one attempt: a part of the deadline for
// idempotent calls, or all remaining time for at-most-once calls, which are not
// retried.
func (j *plainJob) attemptTimeout() time.Duration {
	remaining := time.Until(j.deadline)
	if j.arrived.Retry == entry.RetryNever {
		return remaining
	}
	total := j.arrived.Work.FinishBy - j.arrived.Work.Arrived
	return min(remaining, max(minAttemptTimeout, total/idempotentAttempts))
}

func (s *Server) writePlainAnswer(c *fiber.Ctx, a *plainAnswer) error {
	s.setCommonHeaders(c, outcome.Ran)
	if a.contentType != "" {
		c.Set("Content-Type", a.contentType)
	}
	if a.location != "" {
		c.Set("Location", a.location)
	}
	if a.replayed {
		c.Set(outcome.HeaderReplayed, "true")
	}
	if a.status == http.StatusNoContent {
		return c.SendStatus(a.status)
	}
	return c.Status(a.status).Send(a.body)
}
