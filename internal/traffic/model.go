package traffic

import (
	"context"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/joomcode/errorx"
	"github.com/valyala/fasthttp"

	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
	"goldcrestseam.dev/goldcrestseam/internal/entry"
	"goldcrestseam.dev/goldcrestseam/internal/host"
	"goldcrestseam.dev/goldcrestseam/internal/httpconn"
	"goldcrestseam.dev/goldcrestseam/internal/outcome"
)

// answerPart is a part of an answer on its way to the caller, or the answer's
// end.
type answerPart struct {
	// offset is the number of tokens of the answer up to the end of this part.
	offset       int
	tokens       int
	text         string
	finishReason string
	// last is set on the final part. refusal is then set if the answer is
	// incomplete.
	last    bool
	refusal *outcome.Refusal
}

// modelJob is a model request with the state that its goroutine keeps.
type modelJob struct {
	server      *Server
	request     *completionRequest
	wireID      string
	arrived     entry.RequestArrived
	baseRequest engineapi.CompletionRequest
	record      *streamRecord
	parts       chan answerPart
	// text and offset are the answer that the caller has: its text and its
	// number of tokens. resumeOffset is the offset at which the request was
	// resumed at this entry, or 0.
	text         []byte
	resumeOffset int
	offset       int
	finishReason string
	// textIncomplete is set when the text before offset is not fully known.
	// knownPrefix is then the part that is known.
	textIncomplete bool
	knownPrefix    textPrefix
	// expected is where control was told that the answer will begin, nil for nothing.
	expected *host.ExpectedOrigin
}

// errCallerDisconnected ends a job whose caller no longer reads.
var errCallerDisconnected = errors.New("caller gone")

// run processes the reducer's effects up to the final one. The last part that
// it sends ends the answer; if ctx ends first, the parts channel is closed
// without one.
func (j *modelJob) run(ctx context.Context) {
	key := j.arrived.Work.RequestID
	effects := j.server.host.OpenMailbox(key)
	defer j.server.host.CloseMailbox(key)
	defer close(j.parts)
	j.server.host.Post(j.arrived)
	for {
		select {
		case <-ctx.Done():
			j.server.host.Post(entry.CallerDisconnected{RequestID: j.arrived.Work.RequestID})
			return
		case e := <-effects:
			if j.applyEffect(ctx, e) {
				return
			}
		}
	}
}

// applyEffect executes one effect. It returns true if the job has ended.
func (j *modelJob) applyEffect(ctx context.Context, e entry.Effect) bool {
	switch e := e.(type) {
	case entry.Dispatch:
		result, err := j.runAttempt(ctx, e)
		if errors.Is(err, errCallerDisconnected) {
			j.server.host.Post(entry.CallerDisconnected{RequestID: j.arrived.Work.RequestID})
			return true
		}
		if result.Complete {
			j.recordFinished()
		}
		j.server.host.Post(result)
		return false
	case entry.Refuse:
		_ = j.sendPart(ctx, answerPart{offset: j.offset, last: true, refusal: e.Refusal})
		return true
	default:
		_ = j.sendPart(ctx, answerPart{offset: j.offset, last: true, finishReason: j.finishReason})
		return true
	}
}

// sendPart passes a part to the caller's side. It returns errCallerDisconnected
// if ctx ends first.
func (j *modelJob) sendPart(ctx context.Context, p answerPart) error {
	select {
	case j.parts <- p:
		return nil
	case <-ctx.Done():
		return errCallerDisconnected
	}
}

// runAttempt runs the request at one server and returns the result for the
// reducer.
func (j *modelJob) runAttempt(ctx context.Context, dispatch entry.Dispatch) (entry.AttemptEnded, error) {
	startedAt := time.Now()
	a := &modelAttempt{modelJob: j, dispatch: dispatch, startedAt: startedAt, startOffset: j.offset}
	a.result = entry.AttemptEnded{RequestID: dispatch.RequestID, Attempt: dispatch.Attempt, Outcome: outcome.NotRun}
	j.record.setDispatched(dispatch)
	j.expectOrigin(dispatch)
	j.server.peers.startReplication(j.record)
	err := a.run(ctx)
	a.result.Tokens = j.offset - a.startOffset
	a.result.Elapsed = time.Since(startedAt)
	if a.timeToFirstToken > 0 {
		a.result.FirstToken, a.result.Decode = a.timeToFirstToken, a.result.Elapsed-a.timeToFirstToken
	}
	return a.result, err
}

// modelAttempt is one attempt of a model request at one server.
type modelAttempt struct {
	*modelJob
	dispatch         entry.Dispatch
	startedAt        time.Time
	startOffset      int
	timeToFirstToken time.Duration
	result           entry.AttemptEnded
}

func (a *modelAttempt) run(ctx context.Context) error {
	if a.offset >= a.baseRequest.MaxTokens {
		// All tokens have arrived; the previous connection broke before the end
		// marker.
		a.finishReason, a.result.Complete, a.result.Outcome = finishLength, true, outcome.Ran
		return nil
	}
	if a.textIncomplete && !a.dispatch.Reconnect {
		return a.regenerate(ctx)
	}
	handle, err := a.runPrefill(ctx)
	if err != nil {
		return err
	}
	if a.result.AtPrefillServer || a.result.Complete {
		return nil
	}
	stream, err := a.openStream(handle)
	if err != nil {
		a.connectionFailed(a.dispatch.Server, err)
		return nil
	}
	defer stream.close()
	if !a.checkAccepted(stream, a.dispatch.Server, a.dispatch.Incarnation) {
		return nil
	}
	return a.relayTokens(ctx, stream)
}

func (a *modelAttempt) openStream(kvHandle string) (*engineStream, error) {
	if a.dispatch.Reconnect {
		return a.server.engines.reconnectStream(a.dispatch.Address, a.wireID, a.dispatch.EngineAttempt, a.offset)
	}
	req := a.engineRequest(a.dispatch.EngineAttempt)
	req.KVHandle = kvHandle
	return a.server.engines.openStream(a.dispatch.Address, req)
}

// engineRequest returns the engine's request, which continues after the text
// that the caller has.
func (a *modelAttempt) engineRequest(attempt uint32) engineapi.CompletionRequest {
	req := a.baseRequest
	req.Attempt = attempt
	req.GeneratedText, req.GeneratedTokens = string(a.text), a.offset
	return req
}

// connectionFailed logs and records why a connection to a server failed.
func (a *modelAttempt) connectionFailed(server string, err error) {
	a.server.logAttemptFailed(a.wireID, server, a.dispatch.Attempt, err)
	a.recordFailure(err)
}

// recordFailure records why a connection failed. If it could not be opened,
// nothing was sent. If it was refused, the server's process is gone.
func (a *modelAttempt) recordFailure(err error) {
	a.result.NoAnswer = httpconn.NoAnswer(err)
	a.result.ServerDied = errorx.IsOfType(err, httpconn.Refused) || (a.dispatch.Reconnect && httpconn.ProcessGone(err))
	if errorx.IsOfType(err, httpconn.NotSent) && !a.dispatch.Reconnect {
		a.result.Unsent = a.result.AtPrefillServer || a.dispatch.PrefillServer == ""
		return
	}
	a.result.Outcome = outcome.Unknown
}

// checkAccepted evaluates the response status and headers. It returns false if
// the server does not run the request.
func (a *modelAttempt) checkAccepted(stream *engineStream, server, incarnation string) bool {
	a.server.reportServerStatus(server, incarnation, stream.serverStatus)
	switch {
	case stream.serverStatus.incarnation != "" && stream.serverStatus.incarnation != incarnation:
		// The server has restarted: the new incarnation knows nothing of
		// requests that ran in the old one.
		a.result.ServerDied, a.result.StreamUnknown = a.dispatch.Reconnect, true
		a.result.Outcome = outcome.Unknown
	case stream.status == fasthttp.StatusOK:
		return true
	case stream.status == fasthttp.StatusConflict, stream.status == fasthttp.StatusTooManyRequests, stream.serverStatus.notStarted:
		a.result.Outcome = outcome.NotRun
	case stream.status == fasthttp.StatusNotFound && a.dispatch.Reconnect:
		a.result.StreamUnknown, a.result.Outcome = true, outcome.Unknown
	case stream.status < fasthttp.StatusInternalServerError:
		a.result.Invalid = true
	default:
		a.result.Outcome = outcome.Unknown
	}
	return false
}

// relayTokens passes the stream's tokens to the caller until the stream ends or
// breaks.
func (a *modelAttempt) relayTokens(ctx context.Context, stream *engineStream) error {
	a.result.Outcome = outcome.Unknown
	a.server.host.Post(entry.AttemptProgress{RequestID: a.dispatch.RequestID, Attempt: a.dispatch.Attempt})
	finishReason := ""
	for {
		if ctx.Err() != nil {
			return errCallerDisconnected
		}
		chunk, done, err := stream.next()
		if err != nil {
			a.server.host.Log.Info("engine stream failed before its end marker", "request_id", a.wireID, "server", a.dispatch.Server, "version", a.dispatch.Version, "error", err.Error())
			return nil
		}
		if done {
			a.result.Complete = finishReason != ""
			a.finishReason, a.result.Outcome = finishReason, outcome.Ran
			return nil
		}
		isNew, ok := a.checkContinuity(chunk)
		if !ok {
			return nil
		}
		if chunk.FinishReason != "" {
			finishReason = chunk.FinishReason
		}
		if !isNew {
			continue
		}
		if err := a.forward(ctx, chunk); err != nil {
			return err
		}
	}
}

// checkContinuity checks that a chunk starts at the current offset of the
// answer. A chunk that the caller already has is skipped (isNew is false). A
// gap or a partial overlap fails the attempt (ok is false); the next attempt
// asks for the missing tokens by offset. Without the check, a lost or duplicate
// chunk would corrupt the caller's text unnoticed.
func (a *modelAttempt) checkContinuity(chunk engineapi.Chunk) (isNew, ok bool) {
	switch {
	case chunk.Heartbeat || chunk.Tokens == 0:
		return false, true
	case chunk.Offset == a.offset:
		return true, true
	case chunk.Offset+chunk.Tokens <= a.offset:
		return false, true
	default:
		return false, false
	}
}

func (a *modelAttempt) forward(ctx context.Context, chunk engineapi.Chunk) error {
	if a.timeToFirstToken == 0 {
		took := time.Since(a.startedAt)
		if err := a.rememberOrigin(); err != nil {
			return err
		}
		a.timeToFirstToken = took
	}
	a.offset += chunk.Tokens
	a.text = append(a.text, chunk.Text...)
	a.recordProgress()
	a.server.host.Post(entry.AttemptProgress{RequestID: a.dispatch.RequestID, Attempt: a.dispatch.Attempt, Tokens: a.offset - a.startOffset})
	return a.sendPart(ctx, answerPart{offset: a.offset, tokens: chunk.Tokens, text: chunk.Text})
}

// recordProgress updates the stream record, from which another entry may
// resume. It does so only while the text is known from the start.
func (j *modelJob) recordProgress() {
	if !j.textIncomplete {
		j.record.setProgress(j.text, j.offset)
	}
}

func (j *modelJob) recordFinished() {
	if !j.textIncomplete {
		j.record.setFinished(j.text, j.offset)
	}
}

// fingerprint hashes its parts, separated so that they cannot run together.
// Where members must not share a fingerprint, the member's name is a part.
func fingerprint(parts ...string) uint64 {
	h := xxhash.New()
	for _, p := range parts {
		_, _ = h.WriteString(p)
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64()
}
