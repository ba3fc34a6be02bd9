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
	"goldcrestseam.dev/goldcrestseam/internal/httpconn"
	"goldcrestseam.dev/goldcrestseam/internal/outcome"
)

// piece is a part of an answer on its way to the caller, or its end.
type piece struct {
	// offset is the offset after it.
	offset int
	tokens int
	text   string
	finish string
	// end is set on the last one; refusal then says why it is not whole.
	end     bool
	refusal *outcome.Refusal
}

// modelJob is one model request as its goroutine drives it.
type modelJob struct {
	s       *Server
	request *completionRequest
	wireID  string
	arrived entry.RequestArrived
	engine  engineapi.CompletionRequest
	record  *streamRecord
	pieces  chan piece
	// text and offset are what the caller has; from is where it began here.
	text   []byte
	from   int
	offset int
	finish string
	// lacksText tells that the text before offset is not known; known is the
	// part that is.
	lacksText bool
	known     knownText
}

// errCallerGone ends a job whose caller takes no more.
var errCallerGone = errors.New("caller gone")

// run drives the request until its final effect and ends with a last piece.
func (j *modelJob) run(ctx context.Context) {
	key := j.arrived.Work.RequestID
	box := j.s.host.OpenMailbox(key)
	defer j.s.host.CloseMailbox(key)
	defer close(j.pieces)
	j.s.host.Post(j.arrived)
	for {
		select {
		case <-ctx.Done():
			j.s.host.Post(entry.CallerDisconnected{RequestID: j.arrived.Work.RequestID})
			return
		case e := <-box:
			if j.take(ctx, e) {
				return
			}
		}
	}
}

// take carries out one effect; true after the final one.
func (j *modelJob) take(ctx context.Context, e entry.Effect) bool {
	switch e := e.(type) {
	case entry.Dispatch:
		ended, err := j.attempt(ctx, e)
		if errors.Is(err, errCallerGone) {
			j.s.host.Post(entry.CallerDisconnected{RequestID: j.arrived.Work.RequestID})
			return true
		}
		if ended.Complete {
			j.finished()
		}
		j.s.host.Post(ended)
		return false
	case entry.Refuse:
		_ = j.send(ctx, piece{offset: j.offset, end: true, refusal: e.Refusal})
		return true
	default:
		_ = j.send(ctx, piece{offset: j.offset, end: true, finish: j.finish})
		return true
	}
}

// send hands a piece to the caller's side; errCallerGone when nobody takes it.
func (j *modelJob) send(ctx context.Context, p piece) error {
	select {
	case j.pieces <- p:
		return nil
	case <-ctx.Done():
		return errCallerGone
	}
}

// attempt runs the request at one server and tells how that ended.
func (j *modelJob) attempt(ctx context.Context, d entry.Dispatch) (entry.AttemptEnded, error) {
	began := time.Now()
	a := &modelAttempt{modelJob: j, d: d, began: began, start: j.offset}
	a.ended = entry.AttemptEnded{RequestID: d.RequestID, Attempt: d.Attempt, Outcome: outcome.NotRun}
	j.record.dispatched(d)
	j.s.peers.begin(j.record)
	err := a.run(ctx)
	a.ended.Tokens = j.offset - a.start
	a.ended.Elapsed = time.Since(began)
	if a.first > 0 {
		a.ended.FirstToken, a.ended.Decode = a.first, a.ended.Elapsed-a.first
	}
	return a.ended, err
}

// modelAttempt is one attempt at one server.
type modelAttempt struct {
	*modelJob
	d     entry.Dispatch
	began time.Time
	start int
	first time.Duration
	ended entry.AttemptEnded
}

func (a *modelAttempt) run(ctx context.Context) error {
	if a.offset >= a.engine.MaxTokens {
		// The connection broke between the last token and the end marker.
		a.finish, a.ended.Complete, a.ended.Outcome = finishLength, true, outcome.Ran
		return nil
	}
	if a.lacksText && !a.d.Reconnect {
		return a.regenerate(ctx)
	}
	handle, err := a.prefill(ctx)
	if err != nil {
		return err
	}
	if a.ended.AtPrefillServer || a.ended.Complete {
		return nil
	}
	stream, err := a.open(handle)
	if err != nil {
		a.failed(err)
		return nil
	}
	defer stream.close()
	if !a.accepted(stream, a.d.Server, a.d.Incarnation) {
		return nil
	}
	return a.relay(ctx, stream)
}

func (a *modelAttempt) open(kvHandle string) (*engineStream, error) {
	if a.d.Reconnect {
		return a.s.engines.rejoinStream(a.d.Address, a.wireID, a.d.EngineAttempt, a.offset)
	}
	req := a.engineRequest(a.d.EngineAttempt)
	req.KVHandle = kvHandle
	return a.s.engines.openStream(a.d.Address, req)
}

// engineRequest is what the engine is asked: to go on from what the caller has.
func (a *modelAttempt) engineRequest(attempt uint32) engineapi.CompletionRequest {
	req := a.engine
	req.Attempt = attempt
	req.GeneratedText, req.GeneratedTokens = string(a.text), a.offset
	return req
}

// failed notes how a connection failed. A connection that could not be opened
// has sent nothing; one that is refused tells that the process is gone.
func (a *modelAttempt) failed(err error) {
	a.ended.ServerDied = errorx.IsOfType(err, httpconn.Refused) || (a.d.Reconnect && httpconn.Gone(err))
	if errorx.IsOfType(err, httpconn.NotSent) && !a.d.Reconnect {
		return
	}
	a.ended.Outcome = outcome.Unknown
}

// accepted reads the answer's head; false when the server does not run it.
func (a *modelAttempt) accepted(stream *engineStream, server, incarnation string) bool {
	a.s.heard(server, incarnation, stream.said)
	switch {
	case stream.said.incarnation != "" && stream.said.incarnation != incarnation:
		// Another life of the server: what ran in the old one is gone.
		a.ended.ServerDied, a.ended.StreamUnknown = a.d.Reconnect, true
		a.ended.Outcome = outcome.Unknown
	case stream.status == fasthttp.StatusOK:
		return true
	case stream.status == fasthttp.StatusConflict, stream.status == fasthttp.StatusTooManyRequests, stream.said.notStarted:
		a.ended.Outcome = outcome.NotRun
	case stream.status == fasthttp.StatusNotFound && a.d.Reconnect:
		a.ended.StreamUnknown, a.ended.Outcome = true, outcome.Unknown
	case stream.status < fasthttp.StatusInternalServerError:
		a.ended.Invalid = true
	default:
		a.ended.Outcome = outcome.Unknown
	}
	return false
}

// relay hands the stream's tokens on until its end or its failure.
func (a *modelAttempt) relay(ctx context.Context, stream *engineStream) error {
	a.ended.Outcome = outcome.Unknown
	a.s.host.Post(entry.AttemptProgress{RequestID: a.d.RequestID, Attempt: a.d.Attempt})
	finish := ""
	for {
		if ctx.Err() != nil {
			return errCallerGone
		}
		chunk, done, err := stream.next()
		if err != nil {
			a.s.host.Log.Info("stream broke", "request_id", a.wireID, "server", a.d.Server, "error", err.Error())
			return nil
		}
		if done {
			a.ended.Complete = finish != ""
			a.finish, a.ended.Outcome = finish, outcome.Ran
			return nil
		}
		fresh, ok := a.joins(chunk)
		if !ok {
			return nil
		}
		if chunk.FinishReason != "" {
			finish = chunk.FinishReason
		}
		if !fresh {
			continue
		}
		if err := a.hand(ctx, chunk); err != nil {
			return err
		}
	}
}

// joins checks that a chunk goes on where the answer stands. One that the
// caller has already is left out; a gap, or a chunk that overlaps, breaks the
// attempt, and a fresh connection asks for what is missing from the offset on.
// Otherwise a lost or doubled chunk would go unseen into the caller's text.
func (a *modelAttempt) joins(chunk engineapi.Chunk) (fresh, ok bool) {
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

func (a *modelAttempt) hand(ctx context.Context, chunk engineapi.Chunk) error {
	if a.first == 0 {
		a.first = time.Since(a.began)
	}
	a.offset += chunk.Tokens
	a.text = append(a.text, chunk.Text...)
	a.noteProgress()
	a.s.host.Post(entry.AttemptProgress{RequestID: a.d.RequestID, Attempt: a.d.Attempt, Tokens: a.offset - a.start})
	return a.send(ctx, piece{offset: a.offset, tokens: chunk.Tokens, text: chunk.Text})
}

// noteProgress keeps in the record only text that is known from the start on:
// another entry goes on from it.
func (j *modelJob) noteProgress() {
	if !j.lacksText {
		j.record.progress(j.text, j.offset)
	}
}

func (j *modelJob) finished() {
	if !j.lacksText {
		j.record.finish(j.text, j.offset)
	}
}

// fingerprint names content under its member.
func fingerprint(parts ...string) uint64 {
	h := xxhash.New()
	for _, p := range parts {
		_, _ = h.WriteString(p)
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64()
}
