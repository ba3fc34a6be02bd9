package relay

import (
	"context"
	"errors"
	"io"
	"net/http"

	"goldcrestseam.dev/goldcrestseam/internal/entry"
	"goldcrestseam.dev/goldcrestseam/internal/httpconn"
	"goldcrestseam.dev/goldcrestseam/internal/outcome"
)

const (
	// maxAnswerBytes bounds the body of an answer that is not a stream.
	maxAnswerBytes = 16 << 20
	// maxHeldBytes bounds what is held of such an answer. A longer one is passed on as it comes, so that what an entry
	// holds does not grow with what servers send. Up to it an answer that breaks off can be replaced by another server's.
	maxHeldBytes = 64 << 10
	// passOnBytes is the size of the pieces in which a longer one is passed on.
	passOnBytes = 16 << 10
)

// errAnswerTooLarge ends an answer whose body goes beyond maxAnswerBytes.
var errAnswerTooLarge = httpconn.Broken.New("the body of the answer exceeds %d bytes", maxAnswerBytes)

// relayAnswer reads an answer that is not a stream. It holds a short one until it is whole, and passes a longer one on as it
// comes. A longer failure that may be followed by another attempt is dropped.
func (j *job) relayAnswer(ctx context.Context, resp *Response, ended *entry.AttemptEnded) error {
	success := resp.Head.Status >= http.StatusOK && resp.Head.Status < http.StatusMultipleChoices
	retryable := resp.Head.Status >= http.StatusInternalServerError && j.arrived.Retry != entry.RetryNever
	if resp.Body.Length() > maxAnswerBytes {
		ended.Outcome, ended.Oversized = outcome.Ran, true
		return errAnswerTooLarge
	}
	body, whole, err := readHeld(resp.Body)
	if err != nil {
		return err
	}
	ended.Outcome = outcome.Ran
	switch {
	case j.streamed != nil:
		// The head of the stream has been sent, so this answer can't be passed on.
		return nil
	case !success && retryable && !whole:
		return nil
	case !success && retryable:
		j.serverError = &bufferedResponse{head: resp.Head, body: body}
		return nil
	case whole:
		j.response, ended.Complete = &bufferedResponse{head: resp.Head, body: body}, true
		return nil
	}
	ended.AnswerBegun = true
	err = j.passOn(ctx, resp, body)
	ended.Complete, ended.Oversized = err == nil, errors.Is(err, errAnswerTooLarge)
	if err != nil {
		ended.Outcome = outcome.Unknown
	}
	return err
}

// readHeld reads a body as far as it is held, and reports whether that is the whole body.
func readHeld(body io.Reader) ([]byte, bool, error) {
	held, err := io.ReadAll(io.LimitReader(body, maxHeldBytes+1))
	return held, len(held) <= maxHeldBytes, err
}

// passOn begins the caller's answer with what was read of its body, and copies the rest as it comes. The caller of passOn
// ends it. Errors: those of the body, of the caller and of ctx, errAnswerTooLarge.
func (j *job) passOn(ctx context.Context, resp *Response, begin []byte) error {
	j.streamed = &streamProgress{plain: true}
	j.streamBegun.Store(true)
	if err := j.caller.BeginStream(&resp.Head); err != nil {
		return err
	}
	if err := j.caller.SendEvent(ctx, begin); err != nil {
		return err
	}
	sent := len(begin)
	// The caller may read a piece until SendEvent has returned for the next one.
	pieces := [2][]byte{make([]byte, passOnBytes), make([]byte, passOnBytes)}
	for n := 0; ; n++ {
		piece := pieces[n%len(pieces)]
		size, err := resp.Body.Read(piece)
		if sent += size; sent > maxAnswerBytes {
			return errAnswerTooLarge
		}
		if size > 0 {
			if sendErr := j.caller.SendEvent(ctx, piece[:size]); sendErr != nil {
				return sendErr
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
