package relay

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"

	"goldcrestseam.dev/goldcrestseam/internal/clock"
	"goldcrestseam.dev/goldcrestseam/internal/decision/admission"
	"goldcrestseam.dev/goldcrestseam/internal/declaration"
	"goldcrestseam.dev/goldcrestseam/internal/entry"
	"goldcrestseam.dev/goldcrestseam/internal/httpconn"
	"goldcrestseam.dev/goldcrestseam/internal/obs"
	"goldcrestseam.dev/goldcrestseam/internal/outcome"
)

// maxWholeBytes bounds an answer that is not a stream.
const maxWholeBytes = 16 << 20

// job is one request as its goroutine drives it.
type job struct {
	s       *Server
	req     *Request
	route   *declaration.HostRoute
	service *declaration.Service
	caller  *answering
	arrived entry.RequestArrived
	// whole is the answer that goes to the caller.
	whole *wholeAnswer
	box   <-chan entry.Effect
	// member is for whom the attempt runs, rank its place at an engine.
	member string
	rank   int
	// failure is a server's own answer that is no success: the caller gets it if
	// no other attempt does better.
	failure *wholeAnswer
	// stream is what the caller has of a stream; nil before its first event.
	stream *relayed
	// begun is set with stream, for the timers of withLimit.
	begun atomic.Bool
	log   jobLog
}

type wholeAnswer struct {
	head Head
	body []byte
}

// serve relays one request; it returns when the caller has its final answer. ctx
// ends when the caller is gone.
func (s *Server) serve(ctx context.Context, req *Request, caller *answering) {
	at := clock.SinceBoot()
	if !s.configured(ctx, req) {
		s.refuse(req, caller, outcome.NoConfiguration())
		return
	}
	snap, route, refusal := s.route(ctx, req)
	if refusal != nil {
		s.refuse(req, caller, refusal)
		return
	}
	j := &job{s: s, req: req, route: route, caller: caller, arrived: s.arrived(req, at, route, snap)}
	j.service = snap.Declaration.Service(j.arrived.Work.Service)
	j.log = newJobLog(j)
	j.run(ctx)
}

// configured tells whether the entry knows routes, and waits for that a while.
func (s *Server) configured(ctx context.Context, req *Request) bool {
	return s.host.Snapshot().Ready() || s.await(ctx, req, "a configuration", s.host.AwaitConfiguration)
}

// route finds the request's route. Where there is none in a view that has run out, it waits a
// while for one that is in force: the route may have been added meanwhile.
func (s *Server) route(ctx context.Context, req *Request) (*entry.Snapshot, *declaration.HostRoute, *outcome.Refusal) {
	inForce := s.host.ViewLeaseValid()
	snap := s.host.Snapshot()
	route := snap.Routes.Find(req.Host, req.Path)
	if route == nil && !inForce {
		inForce = s.await(ctx, req, "a view in force", s.host.AwaitViewLease)
		snap = s.host.Snapshot()
		route = snap.Routes.Find(req.Host, req.Path)
	}
	switch {
	case route != nil:
		return snap, route, nil
	case !inForce:
		return nil, nil, outcome.OutdatedView()
	}
	return nil, nil, noRoute()
}

// await waits a while for what the entry must know before it can answer the request.
func (s *Server) await(
	ctx context.Context, req *Request, what string, wait func(context.Context, time.Duration) bool,
) bool {
	if s.waiting.Add(1) > int64(s.host.Settings.MaxStreams) {
		s.waiting.Add(-1)
		return false
	}
	defer s.waiting.Add(-1)
	limit, began := admission.StartupWait(req.Patience), time.Now()
	ok := wait(ctx, limit)
	s.host.Log.Info(obs.LineAwaitedConfiguration, "request_id", req.ID, "for", what, "came", ok,
		"ms", time.Since(began).Milliseconds(), "limit_ms", limit.Milliseconds(), "waiting", s.waiting.Load())
	return ok
}

// run drives the request until its final effect.
func (j *job) run(ctx context.Context) {
	key := j.arrived.Work.RequestID
	j.caller.key = key
	j.box = j.s.host.OpenMailbox(key)
	defer j.s.host.CloseMailbox(key)
	ctx, cancel := j.withLimit(ctx)
	defer cancel()
	j.refreshPeers(ctx)
	j.s.host.Post(j.arrived)
	ended := ctx.Done()
	for {
		select {
		case <-ended:
			ended = nil
			if j.gone(ctx) {
				return
			}
			j.s.host.Post(entry.DeadlineExpired{RequestID: key})
		case e := <-j.box:
			if j.take(ctx, e) {
				return
			}
		}
	}
}

// refreshPeers learns what other entries have at engines before one is chosen, and without
// control which servers live.
func (j *job) refreshPeers(ctx context.Context) {
	if j.arrived.Work.Kind == declaration.KindModel || j.s.host.Snapshot().LeaseExpiring {
		j.s.host.RefreshPeerSum(ctx)
	}
}

// gone tells the reducer if the caller is gone.
func (j *job) gone(ctx context.Context) bool {
	if !callerLeft(ctx) {
		return false
	}
	j.s.host.Post(entry.CallerDisconnected{RequestID: j.arrived.Work.RequestID})
	j.log.end("caller gone")
	if j.stream != nil {
		j.caller.End(false)
	}
	return true
}

// take carries out one effect; true after the final one.
func (j *job) take(ctx context.Context, e entry.Effect) bool {
	switch e := e.(type) {
	case entry.Dispatch:
		ended, next := j.attempt(ctx, e)
		if j.gone(ctx) {
			return true
		}
		if next != nil {
			return j.take(ctx, next)
		}
		j.s.host.Post(ended)
		return false
	case entry.DecodeAt:
		// The request's time ran out while the reducer chose: the attempt has ended,
		// and the final effect follows.
		j.log.dropped(e)
		return false
	case entry.Refuse:
		j.refuse(e.Refusal)
		return true
	case entry.Finish:
		j.finish()
		return true
	default:
		panic(fmt.Sprintf("effect %T is not about a request", e))
	}
}

// refuse gives the final answer of a request that no server has answered well.
func (j *job) refuse(r *outcome.Refusal) {
	switch {
	case j.stream != nil:
		j.log.end("cut", "reason", r.Message)
		j.caller.End(false)
	case j.failure != nil && r.Outcome != outcome.NotRun:
		j.log.end("server's own failure", "status", j.failure.head.Status)
		j.caller.Whole(&j.failure.head, j.failure.body)
	default:
		j.log.refused(r)
		j.caller.Refuse(r)
	}
}

func (j *job) finish() {
	if j.stream != nil {
		j.log.end("stream", "events", j.stream.events)
		j.caller.End(true)
		return
	}
	j.log.end("answer", "status", j.whole.head.Status)
	j.caller.Whole(&j.whole.head, j.whole.body)
}

// attempt sends the request to one server and tells how that ended. With another
// effect in place of that the reducer has given the attempt up itself.
func (j *job) attempt(ctx context.Context, d entry.Dispatch) (entry.AttemptEnded, entry.Effect) {
	began := time.Now()
	ended := entry.AttemptEnded{RequestID: d.RequestID, Attempt: d.Attempt, Outcome: outcome.NotRun}
	j.member, j.rank = d.Member, d.Rank
	j.log.sent(d)
	j.caller.sent = true
	events := j.events()
	cache, next, err := j.prefill(ctx, &d, &ended)
	if next != nil {
		return ended, next
	}
	if err == nil && !ended.AtPrefillServer {
		err = j.send(ctx, d, cache, &ended, began)
	}
	ended.Elapsed = time.Since(began)
	ended.Tokens = j.events() - events
	if ended.FirstToken > 0 {
		ended.Decode = ended.Elapsed - ended.FirstToken
	}
	if err != nil {
		failed(err, &ended, cache != nil)
	}
	j.log.attempted(d, &ended, err)
	return ended, nil
}

func (j *job) events() int {
	if j.stream == nil {
		return 0
	}
	return j.stream.events
}

// failed notes how a connection failed, after a prefill or not. Only one that could not
// be opened has sent nothing; what was only to be prefilled has not run either way.
func failed(err error, ended *entry.AttemptEnded, prefilled bool) {
	ended.ServerDied = errorx.IsOfType(err, httpconn.Refused)
	ended.Unsent = errorx.IsOfType(err, httpconn.NotSent) && !prefilled
	if !errorx.IsOfType(err, httpconn.NotSent) && !ended.AtPrefillServer {
		ended.Outcome = outcome.Unknown
	}
}

func (j *job) send(ctx context.Context, d entry.Dispatch, cache *Cache, ended *entry.AttemptEnded, began time.Time) error {
	attempt := j.attemptAt(d.Address, d.Incarnation)
	attempt.From = cache
	if cache == nil {
		attempt.Fetch = d.FetchAddress
	}
	sent := clock.SinceBoot()
	a, err := j.s.backend.Send(ctx, attempt)
	if err != nil {
		j.free(cache)
		return err
	}
	defer a.Body.Close()
	j.log.status = a.Head.Status
	j.heard(d.Server, d.Incarnation, sent, a.Said)
	success := a.Head.Status >= http.StatusOK && a.Head.Status < http.StatusMultipleChoices
	switch {
	case a.Said.NotRun:
		j.free(cache)
		ended.ServerDied = a.Said.OtherLife
		return nil
	case success && !a.Said.Proven:
		return httpconn.Mixed.New("a success without the server's mark")
	case success && j.route.Stream:
		return j.relay(a, ended, began)
	}
	return j.readWhole(a, ended, success)
}

func (j *job) attemptAt(address, incarnation string) Attempt {
	return Attempt{
		Target: Target{
			Address: address, Incarnation: incarnation,
			MaxConns: share(j.service, len(j.s.host.Snapshot().Entries)),
			Wanted:   func() bool { return j.s.host.Snapshot().AcceptsRequests(incarnation, clock.SinceBoot()) },
		},
		Request: j.req, Left: j.timeForServer(), Once: j.arrived.Retry == entry.RetryNever,
		Member: j.member, Rank: j.rank, After: j.after(),
	}
}

// readWhole takes an answer that is not a stream.
func (j *job) readWhole(a *Answer, ended *entry.AttemptEnded, success bool) error {
	body, err := io.ReadAll(io.LimitReader(a.Body, maxWholeBytes+1))
	if err != nil {
		return err
	}
	if len(body) > maxWholeBytes {
		return httpconn.Broken.New("the answer has more than %d bytes", maxWholeBytes)
	}
	answer := &wholeAnswer{head: a.Head, body: body}
	ended.Outcome = outcome.Ran
	again := a.Head.Status >= http.StatusInternalServerError && j.arrived.Retry != entry.RetryNever
	if !success && again && j.stream == nil {
		j.failure = answer
		return nil
	}
	if j.stream != nil {
		// The head of the stream has gone out; this answer can't follow it.
		return nil
	}
	j.whole, ended.Complete = answer, true
	return nil
}
