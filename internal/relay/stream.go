package relay

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/entry"
	"goldcrestseam.dev/goldcrestseam/internal/httpconn"
	"goldcrestseam.dev/goldcrestseam/internal/outcome"
)

// streamProgress is what the caller has received of an answer that has begun.
type streamProgress struct {
	// plain is set if the answer is no stream of events.
	plain bool
	// events counts the events; lastID is the id of the last one that had an id.
	events int
	lastID string
}

// resumeAfter returns the id of the event after which the next attempt resumes the stream.
func (j *job) resumeAfter() string {
	if j.streamed != nil {
		return j.streamed.lastID
	}
	return j.req.LastEventID
}

// relayStream forwards a stream's events to the caller until the stream ends or fails.
//
// A stream may have neither a length nor chunks and end with its connection; then it is whole if that
// is closed between two events. Only complete events are forwarded: after half an event from a server that fails, the rest of
// the stream from another server could not follow.
func (j *job) relayStream(ctx context.Context, resp *Response, ended *entry.AttemptEnded, start time.Time) error {
	ended.Outcome = outcome.Unknown
	r := j.eventReader(resp)
	defer r.release()
	for {
		event, err := r.next(ctx)
		if errors.Is(err, io.EOF) && j.streamed != nil {
			ended.Complete, ended.Outcome = true, outcome.Ran
			return nil
		}
		if err != nil {
			ended.Oversized = errors.Is(err, bufio.ErrTooLong)
			return httpconn.Broken.Wrap(err, "stream")
		}
		if ended.FirstToken == 0 {
			ended.FirstToken = time.Since(start)
			j.log.firstEvent()
		}
		if err := j.sendEvent(ctx, resp, event); err != nil {
			return err
		}
		r.release()
		j.s.host.Post(entry.AttemptProgress{
			RequestID: ended.RequestID, Attempt: ended.Attempt, Tokens: j.streamed.events,
		})
	}
}

// sendEvent sends one event to the caller, and the head before the first one.
func (j *job) sendEvent(ctx context.Context, resp *Response, event []byte) error {
	if j.streamed == nil {
		if j.arrived.Retry == entry.RetryResuming {
			if err := j.rememberOrigin(); err != nil {
				return err
			}
		}
		j.streamed = &streamProgress{}
		j.streamBegun.Store(true)
		if err := j.caller.BeginStream(&resp.Head); err != nil {
			return err
		}
	}
	if err := j.sendPieces(ctx, event); err != nil {
		return err
	}
	j.streamed.events++
	if id, ok := eventID(event); ok {
		j.streamed.lastID = id
	}
	return nil
}

func (j *job) eventReader(resp *Response) *eventReader {
	return &eventReader{
		r:    bufio.NewReader(resp.Body),
		take: func(ctx context.Context) error { return j.s.events.take(ctx, j.req.ID, j.log.server) },
		put:  j.s.events.put,
	}
}

// sendPieces sends an event to the caller. Of a large one, only a copy of a piece is still in use afterwards, so that a
// caller that reads slowly does not keep the whole of it in memory.
func (j *job) sendPieces(ctx context.Context, event []byte) error {
	if len(event) <= maxHeldBytes {
		return j.caller.SendEvent(ctx, event)
	}
	for len(event) > passOnBytes {
		if err := j.caller.SendEvent(ctx, bytes.Clone(event[:passOnBytes])); err != nil {
			return err
		}
		event = event[passOnBytes:]
	}
	return j.caller.SendEvent(ctx, bytes.Clone(event))
}
