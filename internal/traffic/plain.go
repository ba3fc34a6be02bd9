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
	// lookupTries is into how many tries an idempotent call's time is split: a
	// silent connection or a frozen server costs one part and not all of it.
	lookupTries = 4
	// minTry is the least time for one try.
	minTry = 300 * time.Millisecond
)

// plainAnswer is a backend server's whole answer to a call.
type plainAnswer struct {
	status      int
	contentType string
	location    string
	body        []byte
	replayed    bool
}

// plainJob is one call of a plain service as its handler drives it.
type plainJob struct {
	s       *Server
	call    *call
	wireID  string
	arrived entry.RequestArrived
	// uri is path and query at the server.
	uri    string
	claim  *claim
	until  time.Time
	answer *plainAnswer
}

func (s *Server) anyPlain(c *fiber.Ctx) error {
	name := strings.Clone(c.Params("service"))
	k, refusal := s.readCall(c)
	if refusal != nil && refusal.Status >= http.StatusInternalServerError && k.headers[outcome.HeaderIdempotencyKey] != "" {
		// An earlier call under the key may have run at another entry.
		return asUnknown(refusal)
	}
	if refusal != nil {
		return refusal
	}
	service, refusal := k.service(name, declaration.KindPlain)
	if refusal != nil {
		return refusal
	}
	target, refusal := plainPath(k.path)
	if refusal != nil {
		return refusal
	}
	route := findRoute(service, k.method, target)
	if route == nil {
		return k.byView(notFound("the service has no such route"))
	}
	job := s.newPlainJob(k, service, target)
	if route.Repeat == declaration.RepeatOnce {
		return s.answerOnce(c, job)
	}
	if refusal := job.run(s.host.TaskContext); refusal != nil {
		return refusal
	}
	return s.sendPlain(c, job.answer)
}

// plainPath decodes a path once and takes only its plain form. Dots, doubled
// slashes or an encoding within the encoding could mean one route to the entry
// and another, which may not be repeated, to the server.
func plainPath(raw string) (string, *outcome.Refusal) {
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

// findRoute gives the route with the longest path prefix that fits, or nil.
func findRoute(service *declaration.Service, method, target string) *declaration.Route {
	var best *declaration.Route
	for i := range service.Routes {
		r := &service.Routes[i]
		prefix := strings.TrimSuffix(r.Path, "/")
		fits := target == prefix || strings.HasPrefix(target, prefix+"/")
		if r.Method == method && fits && (best == nil || len(r.Path) > len(best.Path)) {
			best = r
		}
	}
	return best
}

func (s *Server) newPlainJob(k *call, service *declaration.Service, target string) *plainJob {
	profile := k.snap.Declaration.Profile(service.Profile)
	now := clock.SinceBoot()
	wireID := engineapi.WireID(k.member.Name, k.requestID, uuid.NewString()[:8])
	uri := (&url.URL{Path: target}).EscapedPath()
	if k.query != "" {
		uri += "?" + k.query
	}
	return &plainJob{
		s: s, call: k, wireID: wireID, uri: uri, until: time.Now().Add(profile.Deadline),
		arrived: entry.RequestArrived{
			Work: decision.Work{
				RequestID: host.NewRunKey(wireID), Member: k.member.Name, MemberWeight: k.member.Weight,
				Service: service.Name, Profile: profile.Name, ProfileShare: profile.Share,
				Class: profile.Class, Kind: declaration.KindPlain, Arrived: now,
				FirstTokenBy: now + profile.FirstToken, FinishBy: now + profile.Deadline,
			},
			Retry:       entry.RetryAllowed,
			Fingerprint: fingerprint(k.member.Name, service.Name, k.method, uri, string(k.body)),
			Credential:  k.credential, MembersOnly: true,
			RetryBudget: profile.RetryBudget,
		},
	}
}

// run drives the call until its final effect; nil when there is an answer.
func (j *plainJob) run(ctx context.Context) *outcome.Refusal {
	key := j.arrived.Work.RequestID
	box := j.s.host.OpenMailbox(key)
	defer j.s.host.CloseMailbox(key)
	j.s.host.Post(j.arrived)
	for {
		select {
		case <-ctx.Done():
			j.s.host.Post(entry.CallerDisconnected{RequestID: key})
			return handedOn()
		case e := <-box:
			switch e := e.(type) {
			case entry.Dispatch:
				j.s.host.Post(j.attempt(e))
			case entry.Refuse:
				return e.Refusal
			case entry.Finish:
				return nil
			}
		}
	}
}

func (j *plainJob) attempt(d entry.Dispatch) entry.AttemptEnded {
	began := time.Now()
	ended := entry.AttemptEnded{RequestID: d.RequestID, Attempt: d.Attempt, Outcome: outcome.NotRun}
	answer, err := j.send(d)
	ended.Elapsed = time.Since(began)
	switch {
	case err == nil:
		j.answer, ended.Complete, ended.Outcome = answer, true, outcome.Ran
	case errorx.IsOfType(err, httpconn.NotSent):
		ended.ServerDied = errorx.IsOfType(err, httpconn.Refused)
	case errors.Is(err, errNotStarted):
	default:
		ended.Outcome = outcome.Unknown
		ended.ServerDied = errorx.IsOfType(err, httpconn.Closed) && j.s.engines.looksGone(d.Address)
	}
	return ended
}

// errNotStarted: the server said that it did not start the call.
var errNotStarted = errors.New("not started")

// send makes one call, once. Errors: NotSent, Broken, Mixed, errNotStarted.
func (j *plainJob) send(d entry.Dispatch) (*plainAnswer, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	j.fill(req, d)
	client, timeout := j.s.engines.pooled, j.tryTime()
	if j.arrived.Retry == entry.RetryNever || d.Attempt > 1 {
		// A fresh connection: one that idled may be silent or closed, and a
		// once-only call that fails on it would be unknown for nothing.
		client = j.s.engines.fresh
		req.SetConnectionClose()
	}
	if timeout <= 0 {
		return nil, httpconn.NotSent.New("no time is left")
	}
	sent := clock.SinceBoot()
	if err := client.DoTimeout(req, resp, timeout); err != nil {
		return nil, httpconn.Classify(err)
	}
	word := readSaid(&resp.Header, sent)
	j.s.heard(d.Server, d.Incarnation, word)
	if !echoes(&resp.Header, j.wireID, d.Attempt) {
		return nil, httpconn.Mixed.New("the answer is to another request")
	}
	if word.notStarted {
		return nil, errNotStarted
	}
	return &plainAnswer{
		status: resp.StatusCode(), contentType: string(resp.Header.ContentType()),
		location: string(resp.Header.Peek("Location")), body: append([]byte(nil), resp.Body()...),
	}, nil
}

func (j *plainJob) fill(req *fasthttp.Request, d entry.Dispatch) {
	req.Header.SetMethod(j.call.method)
	req.SetRequestURI("http://" + d.Address + j.uri)
	for _, name := range forwarded {
		if v := j.call.headers[name]; v != "" {
			req.Header.Set(name, v)
		}
	}
	req.Header.Set(engineapi.HeaderMember, j.call.member.Name)
	setIdentity(&req.Header, j.wireID, d.Attempt)
	if j.claim != nil {
		req.Header.Set(outcome.HeaderIdempotencyKey, j.claim.pb.Key)
	}
	req.SetBodyRaw(j.call.body)
}

// tryTime is how long one send may take: a part of the time for idempotent
// calls, all that is left for once-only calls, which get no second try.
func (j *plainJob) tryTime() time.Duration {
	left := time.Until(j.until)
	if j.arrived.Retry == entry.RetryNever {
		return left
	}
	whole := j.arrived.Work.FinishBy - j.arrived.Work.Arrived
	return min(left, max(minTry, whole/lookupTries))
}

func (s *Server) sendPlain(c *fiber.Ctx, a *plainAnswer) error {
	s.head(c, outcome.Ran)
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
