package relay

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/entry"
	"goldcrestseam.dev/goldcrestseam/internal/httpconn"
	"goldcrestseam.dev/goldcrestseam/internal/outcome"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// streamProgress is what the caller has received of a stream.
type streamProgress struct {
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
func (j *job) relayStream(resp *Response, ended *entry.AttemptEnded, start time.Time) error {
	ended.Outcome = outcome.Unknown
	r := bufio.NewReader(resp.Body)
	for {
		event, err := readEvent(r)
		if errors.Is(err, io.EOF) && j.streamed != nil {
			ended.Complete, ended.Outcome = true, outcome.Ran
			return nil
		}
		if err != nil {
			return httpconn.Broken.Wrap(err, "stream")
		}
		if ended.FirstToken == 0 {
			ended.FirstToken = time.Since(start)
			j.log.firstEvent()
		}
		if err := j.sendEvent(resp, event); err != nil {
			return err
		}
		j.s.host.Post(entry.AttemptProgress{
			RequestID: ended.RequestID, Attempt: ended.Attempt, Tokens: j.streamed.events,
		})
	}
}

// sendEvent sends one event to the caller, and the head before the first one.
func (j *job) sendEvent(resp *Response, event []byte) error {
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
	if err := j.caller.SendEvent(event); err != nil {
		return err
	}
	j.streamed.events++
	if id, ok := eventID(event); ok {
		j.streamed.lastID = id
	}
	return nil
}

// readEvent reads one server-sent event with the empty line that ends it. It returns io.EOF
// between two events and io.ErrUnexpectedEOF within one.
func readEvent(r *bufio.Reader) ([]byte, error) {
	var event []byte
	for len(event) <= maxEventBytes {
		line, err := r.ReadSlice('\n')
		event = append(event, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF) && len(event) > 0:
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return event, nil
		}
	}
	return nil, bufio.ErrTooLong
}

// eventID returns the id of an event, if it has one.
func eventID(event []byte) (string, bool) {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value)), true
		}
	}
	return "", false
}
