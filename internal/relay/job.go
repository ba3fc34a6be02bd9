package relay

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"

	"goldcrestseam.dev/goldcrestseam/internal/clock"
	"goldcrestseam.dev/goldcrestseam/internal/decision"
	"goldcrestseam.dev/goldcrestseam/internal/decision/admission"
	"goldcrestseam.dev/goldcrestseam/internal/declaration"
	"goldcrestseam.dev/goldcrestseam/internal/entry"
	"goldcrestseam.dev/goldcrestseam/internal/host"
	"goldcrestseam.dev/goldcrestseam/internal/httpconn"
	"goldcrestseam.dev/goldcrestseam/internal/obs"
	"goldcrestseam.dev/goldcrestseam/internal/outcome"
)

// job is one request, driven by one goroutine.
type job struct {
	s     *Server
	req   *Request
	route *declaration.HostRoute
	// basis is the view in which the route was found.
	basis host.ViewBasis
	// resumeAttrs describe the search for the origin of a stream that is taken up.
	resumeAttrs []slog.Attr
	service     *declaration.Service
	caller      *trackedCaller
	arrived     entry.RequestArrived
	// response is the complete response for the caller.
	response *bufferedResponse
	effects  <-chan entry.Effect
	// member and rank come from the last Dispatch or DecodeAt: the member that the attempt runs
	// for and its rank in the engine's queue.
	member string
	rank   int
	// serverError is a server's 5xx response that may be retried. The caller gets it if no later
	// attempt succeeds.
	serverError *bufferedResponse
	// from is the server of the last attempt that was answered, as the origin of a stream.
	from decision.Origin
	// expected is where control was told that the stream will begin, nil for nothing.
	expected *host.ExpectedOrigin
	// streamed is what the caller has received of a stream, or of an answer that is passed on as it comes; nil before.
	streamed *streamProgress
	// streamBegun is set with streamed; the timers of withDeadline read it.
	streamBegun atomic.Bool
	// callerCtx ends when the caller disconnects.
	callerCtx context.Context
	// unreached is set once a server could not be reached, delivered once one has received the
	// request, if only for its prefill or to refuse it.
	unreached, delivered bool
	log                  jobLog
}

type bufferedResponse struct {
	head Head
	body []byte
}

// serve relays one request and returns once the caller has its final answer. ctx ends when the
// caller disconnects.
func (s *Server) serve(ctx context.Context, req *Request, caller *trackedCaller) {
	at := clock.SinceBoot()
	if s.reducerEnded() {
		s.refuse(req, caller, outcome.Leaving(outcome.NotRun))
		return
	}
	if !s.awaitConfiguration(ctx, req) {
		s.refuse(req, caller, outcome.NoConfiguration())
		return
	}
	snap, route, refusal := s.findRoute(ctx, req)
	basis := s.host.ViewBasis(snap)
	if refusal != nil {
		s.refuse(req, caller, refusal, basis.Attr())
		return
	}
	var from *decision.Origin
	var found *host.Lookup
	if req.resumes(route) {
		if from, found, refusal = s.findOrigin(ctx, req, route, snap); refusal != nil {
			s.refuse(req, caller, refusal, append(resumeAttrs(found, snap), basis.Attr())...)
			return
		}
	}
	j := &job{
		s: s, req: req, route: route, basis: basis, caller: caller, arrived: s.requestArrived(req, at, route, snap, from),
		resumeAttrs: resumeAttrs(found, snap),
	}
	j.service = snap.Declaration.Service(j.arrived.Work.Service)
	j.log = newJobLog(j)
	j.run(ctx)
}

// reducerEnded reports whether nobody decides any more. A process that ends still reads requests from connections that it could not
// close in time.
func (s *Server) reducerEnded() bool {
	select {
	case <-s.host.Stopped():
		return true
	default:
		return false
	}
}

// awaitConfiguration reports whether the entry has a configuration; it waits a limited time for
// one.
func (s *Server) awaitConfiguration(ctx context.Context, req *Request) bool {
	return s.host.Snapshot().Ready() || s.await(ctx, req, "a configuration", s.host.AwaitConfiguration)
}

// findRoute returns the request's route and the snapshot in which it looked for it. If there is none and the lease on the entry's view has
// expired, it waits a limited time for a view in force, because the route may have been added
// since.
func (s *Server) findRoute(ctx context.Context, req *Request) (*entry.Snapshot, *declaration.HostRoute, *outcome.Refusal) {
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
		return snap, nil, outcome.OutdatedView()
	}
	return snap, nil, noRoute()
}

// await waits a limited time, and until the end of a planned stop, for something that the entry must know before it can
// answer the request. At most MaxStreams requests wait at a time.
func (s *Server) await(
	ctx context.Context, req *Request, awaited string, wait func(context.Context, time.Duration) bool,
) bool {
	if s.waiting.Add(1) > int64(s.host.Settings.MaxStreams) {
		s.waiting.Add(-1)
		return false
	}
	defer s.waiting.Add(-1)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(s.ended, cancel)()
	limit, start := admission.StartupWait(req.CallerTimeout), time.Now()
	ok := wait(ctx, limit)
	s.host.Log.Info(obs.LineAwaitedConfiguration, "request_id", req.ID, "for", awaited, "came", ok,
		"ms", time.Since(start).Milliseconds(), "limit_ms", limit.Milliseconds(), "waiting", s.waiting.Load())
	return ok
}

// run drives the request until its final effect.
func (j *job) run(ctx context.Context) {
	key := j.arrived.Work.RequestID
	j.caller.key = key
	j.effects = j.s.host.OpenMailbox(key)
	defer j.s.host.CloseMailbox(key)
	j.callerCtx = ctx
	ctx, cancel := j.withDeadline(ctx)
	defer cancel()
	if j.cutOff() && !j.refusedByStop() && j.endCutOff() {
		return
	}
	j.refreshPeers(ctx)
	j.s.host.Post(j.arrived)
	done := ctx.Done()
	for {
		select {
		case <-done:
			done = nil
			if j.handleDisconnect(ctx) {
				return
			}
			j.s.host.Post(entry.DeadlineExpired{RequestID: key})
		case e := <-j.effects:
			if j.handleEffect(ctx, e) {
				return
			}
		case <-j.s.host.Stopped():
			j.endWithoutReducer()
			return
		}
	}
}

// refusedByStop reports whether the reducer refuses the request as this entry stops.
func (j *job) refusedByStop() bool {
	stop := j.s.host.Snapshot().Stop
	return stop.Refuses(clock.SinceBoot(), j.arrived.Work.FinishBy, j.req.ForwardedBy != "")
}

// endWithoutReducer ends a request that the reducer has not ended before its own end.
func (j *job) endWithoutReducer() {
	known := outcome.NotRun
	if j.caller.dispatched {
		known = outcome.Unknown
	}
	j.refuse(outcome.Leaving(known))
}

// endCutOff ends a request of a service whose servers this entry can't reach: another entry serves
// it. It returns false if none can; its servers may just not answer anybody.
func (j *job) endCutOff() bool {
	if j.req.ForwardedBy != "" {
		r := refuseCutOff()
		j.log.refused(r)
		j.caller.Refuse(r)
		return true
	}
	return j.forward("no server answers this entry")
}

// othersMayServe reports whether a refusal is due to this entry's links to servers: it could not reach
// one, or sees none that runs the request while some don't answer it. What a server has received would
// be a retry at the other entry, which would take it for the first send and not count it.
func (j *job) othersMayServe(e *entry.Refuse) bool {
	if e.Refusal.Outcome != outcome.NotRun || e.Refusal.Code == outcome.CodeLeaving || j.delivered {
		return false
	}
	return j.unreached || e.ServersSilent && e.Refusal.Code == outcome.CodeNoServer || j.cutOff() || j.originUnseen(e)
}

// originUnseen reports whether a stream can't be taken up here since this entry's view is late: it has no server of the
// build that began the stream, or none that has confirmed itself. Another entry may have one.
func (j *job) originUnseen(e *entry.Refuse) bool {
	from := j.arrived.Work.Origin
	switch {
	case from == nil:
		return false
	case e.Refusal.Code == outcome.CodeStaleView:
		return true
	case e.Refusal.Code == outcome.CodeOriginGone:
		return !slices.ContainsFunc(j.s.host.Snapshot().Builds, func(b entry.Build) bool { return b.Pool == from.Pool && b.Version == from.Version })
	}
	return false
}

// refreshPeers asks the other entries for their load at the engines before one is chosen and,
// while the lease from control is running out, for the servers that are alive.
func (j *job) refreshPeers(ctx context.Context) {
	if j.arrived.Work.Kind == declaration.KindModel || j.s.host.Snapshot().LeaseExpiring {
		j.s.host.RefreshPeerSum(ctx)
	}
}

// handleDisconnect reports whether the caller has disconnected, and if so tells the reducer.
func (j *job) handleDisconnect(ctx context.Context) bool {
	if !callerDisconnected(ctx) {
		return false
	}
	j.s.host.Post(entry.CallerDisconnected{RequestID: j.arrived.Work.RequestID})
	j.log.answered("caller gone")
	if j.streamed != nil {
		j.caller.EndStream(false)
	}
	return true
}

// handleEffect runs one effect and reports whether it was the final one.
func (j *job) handleEffect(ctx context.Context, e entry.Effect) bool {
	switch e := e.(type) {
	case entry.Dispatch:
		ended, next := j.attempt(ctx, e)
		if j.handleDisconnect(ctx) {
			return true
		}
		if next != nil {
			return j.handleEffect(ctx, next)
		}
		j.s.host.Post(ended)
		return false
	case entry.DecodeAt:
		// The request's deadline passed while the reducer chose the engine. The attempt has
		// ended already, and the final effect follows.
		j.log.decodeDropped(e)
		return false
	case entry.Refuse:
		if j.othersMayServe(&e) && j.forward(string(e.Refusal.Code)) {
			return true
		}
		j.refuse(e.Refusal)
		return true
	case entry.Finish:
		j.finish()
		return true
	default:
		panic(fmt.Sprintf("effect %T does not belong to a request", e))
	}
}

// refuse ends a request that no server has answered successfully.
func (j *job) refuse(r *outcome.Refusal) {
	switch {
	case j.streamed != nil:
		j.log.answered("cut", "code", r.Code, "reason", r.Message)
		j.caller.EndStream(false)
	case j.serverError != nil && r.Outcome != outcome.NotRun:
		j.log.answered("server's own failure", "status", j.serverError.head.Status)
		j.caller.Respond(&j.serverError.head, j.serverError.body)
	default:
		j.log.refused(r)
		j.caller.Refuse(r)
	}
}

func (j *job) finish() {
	switch {
	case j.streamed != nil && j.streamed.plain:
		j.log.answered("answer", "status", j.log.status)
		j.caller.EndStream(true)
		return
	case j.streamed != nil:
		j.log.answered("stream", "events", j.streamed.events)
		j.caller.EndStream(true)
		return
	}
	j.log.answered("answer", "status", j.response.head.Status)
	j.caller.Respond(&j.response.head, j.response.body)
}

// attempt sends the request to one server and returns how that ended. A non-nil effect means
// that the reducer has abandoned the attempt itself; the caller runs that effect instead.
func (j *job) attempt(ctx context.Context, d entry.Dispatch) (entry.AttemptEnded, entry.Effect) {
	start := time.Now()
	ended := entry.AttemptEnded{RequestID: d.RequestID, Attempt: d.Attempt, Outcome: outcome.NotRun}
	j.member, j.rank = d.Member, d.Rank
	j.log.dispatched(d)
	j.expectOrigin(d)
	j.caller.dispatched = true
	eventsBefore := j.eventCount()
	cache, next, err := j.prefill(ctx, &d, &ended)
	if next != nil {
		return ended, next
	}
	if err == nil && !ended.AtPrefillServer {
		err = j.send(ctx, d, cache, &ended, start)
	}
	ended.Elapsed = time.Since(start)
	ended.Tokens = j.eventCount() - eventsBefore
	if ended.FirstToken > 0 {
		ended.Decode = ended.Elapsed - ended.FirstToken
	}
	if err != nil {
		classifyFailure(err, &ended, cache != nil)
		ended.NoAnswer = ctx.Err() == nil && j.log.status == 0 && httpconn.NoAnswer(err)
		j.unreached = j.unreached || ended.Unsent && ended.NoAnswer
		ended.ServerDied = ended.ServerDied || j.brokenByCrash(ctx, d, &ended, err)
	}
	j.delivered = j.delivered || !ended.Unsent
	j.log.attemptEnded(d, &ended, err)
	return ended, nil
}

func (j *job) eventCount() int {
	if j.streamed == nil {
		return 0
	}
	return j.streamed.events
}

// classifyFailure records in ended what a failed call implies. Only a connection that could not
// be opened proves that no server received the request, and only if no other engine has
// prefilled it. A failed prefill leaves the outcome NotRun, since a prefill alone does not run
// the request.
func classifyFailure(err error, ended *entry.AttemptEnded, prefilled bool) {
	ended.ServerDied = errorx.IsOfType(err, httpconn.Refused)
	ended.Unsent = errorx.IsOfType(err, httpconn.NotSent) && !prefilled
	if errorx.IsOfType(err, httpconn.NotSent) {
		return
	}
	if ended.Outcome == outcome.Ran {
		return
	}
	if ended.AtPrefillServer {
		ended.PrefillBroken = true
		return
	}
	ended.Outcome = outcome.Unknown
}

// brokenByCrash reports whether a connection broke because the server's process has ended. A crash
// ends the connections of all requests that ran there, and if only the next request that is refused
// told of it, nobody would be charged with it.
func (j *job) brokenByCrash(ctx context.Context, d entry.Dispatch, ended *entry.AttemptEnded, err error) bool {
	if ctx.Err() != nil || !errorx.IsOfType(err, httpconn.Broken) {
		return false
	}
	target := j.newAttempt(d.Address, d.Incarnation).Target
	if ended.AtPrefillServer {
		target = j.newAttempt(d.PrefillAddress, d.PrefillIncarnation).Target
	}
	return j.s.backend.NothingListens(ctx, target)
}

func (j *job) send(ctx context.Context, d entry.Dispatch, cache *KVCache, ended *entry.AttemptEnded, start time.Time) error {
	attempt := j.newAttempt(d.Address, d.Incarnation)
	attempt.KVCache = cache
	if cache == nil {
		attempt.FetchAddress = d.FetchAddress
	}
	sent := clock.SinceBoot()
	resp, err := j.s.backend.Send(ctx, attempt)
	if err != nil {
		j.freeCache(cache)
		return err
	}
	defer resp.Body.Close()
	j.log.status = resp.Head.Status
	j.reportStatus(d.Server, d.Incarnation, sent, resp.ServerStatus)
	success := resp.Head.Status >= http.StatusOK && resp.Head.Status < http.StatusMultipleChoices
	switch {
	case resp.ServerStatus.NotRun:
		j.freeCache(cache)
		ended.ServerDied = resp.ServerStatus.OtherIncarnation
		return nil
	case success && !resp.ServerStatus.Sealed:
		return httpconn.Mismatched.New("success response without the server's seal")
	case success && j.route.Stream:
		j.from = decision.Origin{Pool: d.Pool, Version: d.Version, Incarnation: d.Incarnation}
		return j.relayStream(ctx, resp, ended, start)
	}
	return j.relayAnswer(ctx, resp, ended)
}

func (j *job) newAttempt(address, incarnation string) Attempt {
	return Attempt{
		Target: Target{
			Address: address, Incarnation: incarnation,
			MaxConns:        connectionShare(j.service, len(j.s.host.Snapshot().Entries)),
			AcceptsRequests: func() bool { return j.s.host.Snapshot().AcceptsRequests(incarnation, clock.SinceBoot()) },
		},
		Request: j.req, Timeout: j.serverTimeout(), AtMostOnce: j.arrived.Retry == entry.RetryNever,
		Member: j.member, Rank: j.rank, ResumeAfter: j.resumeAfter(),
	}
}
