package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"goldcrestseam.dev/goldcrestseam/internal/clock"
	"goldcrestseam.dev/goldcrestseam/internal/declaration"
	"goldcrestseam.dev/goldcrestseam/internal/entry"
	"goldcrestseam.dev/goldcrestseam/internal/httpconn"
	"goldcrestseam.dev/goldcrestseam/internal/outcome"
)

// Forwarded is a caller's request that an entry passes on to another one.
type Forwarded struct {
	Request *Request
	// By is the entry that passes it on.
	By string
	// Timeout is how long the caller still waits; 0 if it did not say.
	Timeout time.Duration
}

const (
	// maxForwards bounds the entries that are asked for one request.
	maxForwards = 3
	// forwardSlack is how much longer than a request's time this entry waits for the other one's
	// final answer, which takes the way back.
	forwardSlack = 20 * time.Millisecond
	// refusalMemory is for how long an entry that could not be reached, or could not reach a server of
	// a pool either, is not asked for that pool again. It bounds what entries ask each other when a
	// whole service is down.
	refusalMemory = time.Second
	// forwardChunkBytes is the size of the buffer for the body of a forwarded answer.
	forwardChunkBytes = 8 << 10
)

// recentNames remembers names for a time. It is safe for concurrent use.
type recentNames struct {
	mu    sync.Mutex
	until map[string]time.Time
}

func (r *recentNames) add(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.until == nil {
		r.until = make(map[string]time.Time)
	}
	r.until[name] = time.Now().Add(refusalMemory)
}

func (r *recentNames) has(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Now().Before(r.until[name])
}

// unableKey identifies an entry and the pool that it could not reach.
func (j *job) unableKey(entry string) string { return entry + "/" + poolOf(j.service) }

// poolOf returns the name of the servers' pool that runs a service.
func poolOf(s *declaration.Service) string {
	if s.Kind == declaration.KindModel {
		return s.Model
	}
	return s.Name
}

// cutOff reports whether no server of the request's service answers this entry.
func (j *job) cutOff() bool { return j.s.host.Snapshot().CutOff[poolOf(j.service)] }

// forward passes the request on to an entry that has links to servers, and reports whether the
// caller has its final answer. It returns false as long as the request has not run and no other
// entry could take it, and if this entry may end before the answer: the answer comes through it.
//
// The other entry treats the request as its caller's own: credentials, limits, retries, quarantine
// and usage apply there, once. It is sent to one entry at a time, and to the next one only after a
// refusal that guarantees that it has not run. A forwarded request is not passed on again, so that
// it can't go round.
func (j *job) forward(reason string) bool {
	if j.req.ForwardedBy != "" || j.streamed != nil {
		return false
	}
	defer j.s.forwarding.Add(-1)
	if j.s.forwarding.Add(1) > int64(j.s.host.Settings.MaxStreams) {
		return false
	}
	for _, e := range j.forwardTargets() {
		left := remainingTime(&j.arrived.Work)
		if left <= 0 || j.callerCtx.Err() != nil || !j.mayPassOn() {
			return false
		}
		if j.forwardTo(e, left, reason) {
			return true
		}
	}
	return false
}

// mayPassOn reports whether a planned stop of this entry leaves time for another entry's answer.
func (j *job) mayPassOn() bool {
	stop := j.s.host.Snapshot().Stop
	return stop.MaySend(clock.SinceBoot(), j.arrived.Work.FinishBy)
}

// forwardTargets returns the entries to ask: those of the own data centre first, where bytes are
// cheap, and one of each other data centre before a second one of any.
func (j *job) forwardTargets() []entry.EntryWeight {
	snap := j.s.host.Snapshot()
	var near, far []entry.EntryWeight
	for _, e := range snap.SelectEntries(j.req.ID, len(snap.Entries), "") {
		switch {
		case e.CutOff || j.s.unableEntries.has(j.unableKey(e.Name)) || e.Name == j.s.host.Settings.Name || e.Address == "":
		case e.DataCentre == j.s.host.Settings.DataCentre && len(near) == 0:
			near = append(near, e)
		default:
			far = append(far, e)
		}
	}
	all := append(near, far...)
	return all[:min(maxForwards, len(all))]
}

func (j *job) forwardTo(e entry.EntryWeight, left time.Duration, reason string) bool {
	ctx, cancel := context.WithTimeout(j.callerCtx, left+transitAllowance+forwardSlack)
	defer cancel()
	defer context.AfterFunc(j.s.ended, cancel)()
	j.log.forwarding(e.Name, reason)
	f := Forwarded{Request: j.req, By: j.s.host.Settings.Name}
	if j.req.CallerTimeout > 0 {
		f.Timeout = j.req.CallerTimeout - (clock.SinceBoot() - j.arrived.Work.Arrived)
	}
	resp, err := j.s.backend.Forward(ctx, e.Address, f)
	j.log.forwarded(e.Name, reason, resp, err)
	if errorx.IsOfType(err, httpconn.NotSent) || err == nil && passOnAgain(resp) {
		j.s.unableEntries.add(j.unableKey(e.Name))
		closeBody(resp)
		return false
	}
	if err != nil {
		j.forwardFailed(ctx)
		return true
	}
	defer closeBody(resp)
	j.relayForwarded(ctx, resp)
	return true
}

func closeBody(resp *Response) {
	if resp != nil {
		resp.Body.Close()
	}
}

// forwardFailed ends a request that was passed on and got no answer: the other entry may have run it.
func (j *job) forwardFailed(ctx context.Context) {
	if j.callerCtx.Err() != nil {
		j.log.answered("caller gone")
		return
	}
	r := j.s.brokenForward()
	if ctx.Err() != nil && r.Code != outcome.CodeLeaving {
		r.Status, r.Code = http.StatusGatewayTimeout, outcome.CodeDeadline
	}
	j.log.refused(r)
	j.caller.Refuse(r)
}

// brokenForward is the final answer to a request that another entry may have run.
func (s *Server) brokenForward() *outcome.Refusal {
	r := &outcome.Refusal{
		Status: http.StatusBadGateway, Code: outcome.CodeOutcomeUnknown, Outcome: outcome.Unknown,
		Message: "the request was passed on to another entry and no whole answer came; it may have run",
	}
	if s.ended.Err() != nil {
		r.Code = outcome.CodeLeaving
	}
	return r
}

// passOnAgain reports whether another entry may do better: this one guarantees that the request has
// not run, since it can't reach a server either, or stops.
func passOnAgain(resp *Response) bool {
	if resp.Head.Status != http.StatusServiceUnavailable {
		return false
	}
	switch resp.ServerStatus.RefusedBy {
	case outcome.CodeCutOff, outcome.CodeNoServer, outcome.CodeStaleView, outcome.CodeLeaving:
		return true
	}
	return false
}

// relayForwarded passes the other entry's answer on to the caller.
func (j *job) relayForwarded(ctx context.Context, resp *Response) {
	success := resp.Head.Status >= http.StatusOK && resp.Head.Status < http.StatusMultipleChoices
	if success && j.route.Stream {
		j.relayForwardedStream(ctx, resp)
		return
	}
	oversized := resp.Body.Length() > maxAnswerBytes
	body, whole, err := readHeld(resp.Body)
	switch {
	case err != nil || oversized:
		r := j.s.brokenForward()
		j.log.refused(r)
		j.caller.Refuse(r)
	case whole:
		j.log.answered("forwarded", "status", resp.Head.Status)
		j.caller.Respond(&resp.Head, body)
	default:
		complete := j.passOn(ctx, resp, body) == nil
		j.logForwardedStream(resp, complete)
		j.caller.EndStream(complete)
	}
}

func (j *job) relayForwardedStream(ctx context.Context, resp *Response) {
	if err := j.caller.BeginStream(&resp.Head); err != nil {
		j.log.answered("caller gone")
		j.caller.EndStream(false)
		return
	}
	for {
		// The caller reads the bytes after SendEvent has returned, so each chunk is its own.
		chunk := make([]byte, forwardChunkBytes)
		n, err := resp.Body.Read(chunk)
		if n > 0 {
			if sendErr := j.caller.SendEvent(ctx, chunk[:n]); sendErr != nil {
				err = sendErr
			}
		}
		if err != nil {
			complete := errors.Is(err, io.EOF) && !resp.Body.CloseDelimited()
			j.logForwardedStream(resp, complete)
			j.caller.EndStream(complete)
			return
		}
	}
}

func (j *job) logForwardedStream(resp *Response, complete bool) {
	if !complete && j.s.ended.Err() != nil {
		j.log.answered("cut", "status", resp.Head.Status, "code", outcome.CodeLeaving)
		return
	}
	j.log.answered("forwarded", "status", resp.Head.Status, "complete", complete)
}

// refuseCutOff answers a forwarded request at an entry that can't reach a server either.
func refuseCutOff() *outcome.Refusal {
	return &outcome.Refusal{
		Status: http.StatusServiceUnavailable, Code: outcome.CodeCutOff, Outcome: outcome.NotRun, RetryAfter: time.Second,
		Message: "this entry is cut off from the backend servers; ask another",
	}
}
