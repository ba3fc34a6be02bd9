package relay

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// eventReader reads the events of a stream, one at a time. A large one holds memory of the budget until it is released.
type eventReader struct {
	r *bufio.Reader
	// take waits for the memory of a large event, put gives it back.
	take func(context.Context) error
	put  func()
	held bool
}

// next reads one server-sent event with the empty line that ends it. It returns io.EOF between two events,
// io.ErrUnexpectedEOF within one and bufio.ErrTooLong for one beyond maxEventBytes.
func (e *eventReader) next(ctx context.Context) ([]byte, error) {
	var event []byte
	for {
		line, err := e.r.ReadSlice('\n')
		if len(event)+len(line) > maxEventBytes {
			return nil, bufio.ErrTooLong
		}
		if !e.held && len(event)+len(line) > maxHeldBytes {
			if err := e.take(ctx); err != nil {
				return nil, err
			}
			e.held = true
			event = append(make([]byte, 0, maxEventBytes), event...)
		}
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
}

// release gives the memory of the last event back.
func (e *eventReader) release() {
	if e.held {
		e.held = false
		e.put()
	}
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
