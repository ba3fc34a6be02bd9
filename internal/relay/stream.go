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

// relayed is what the caller has of a stream.
type relayed struct {
	// events counts them, lastID is the id of the last one.
	events int
	lastID string
}

// after is the event that an attempt goes on after.
func (j *job) after() string {
	if j.stream != nil {
		return j.stream.lastID
	}
	return j.req.LastEventID
}

// relay hands a stream's events on until its end or its failure.
//
// Only whole events go on: a server that stops in the middle of one leaves bytes
// that the rest, from another server, could not follow.
func (j *job) relay(a *Response, ended *entry.AttemptEnded, began time.Time) error {
	ended.Outcome = outcome.Unknown
	r := bufio.NewReader(a.Body)
	for {
		event, err := readEvent(r)
		if errors.Is(err, io.EOF) && j.stream != nil && !a.Body.CloseDelimited() {
			ended.Complete, ended.Outcome = true, outcome.Ran
			return nil
		}
		if err != nil {
			return httpconn.Broken.Wrap(err, "stream")
		}
		if ended.FirstToken == 0 {
			ended.FirstToken = time.Since(began)
			j.log.first()
		}
		if err := j.hand(a, event); err != nil {
			return err
		}
		j.s.host.Post(entry.AttemptProgress{
			RequestID: ended.RequestID, Attempt: ended.Attempt, Tokens: j.stream.events,
		})
	}
}

// hand gives the caller one event, and the head before the first.
func (j *job) hand(a *Response, event []byte) error {
	if j.stream == nil {
		j.stream = &relayed{}
		j.begun.Store(true)
		if err := j.caller.BeginStream(&a.Head); err != nil {
			return err
		}
	}
	if err := j.caller.SendEvent(event); err != nil {
		return err
	}
	j.stream.events++
	if id, ok := eventID(event); ok {
		j.stream.lastID = id
	}
	return nil
}

// readEvent reads one server-sent event with the empty line that ends it. Errors:
// io.EOF between two events, io.ErrUnexpectedEOF within one.
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

// eventID gives the id of an event.
func eventID(event []byte) (string, bool) {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value)), true
		}
	}
	return "", false
}
