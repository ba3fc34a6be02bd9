package relay

import (
	"context"
	"net/http"

	"goldcrestseam.dev/goldcrestseam/internal/entry"
	"goldcrestseam.dev/goldcrestseam/internal/outcome"
)

// trackedCaller wraps a Caller and records how far its answer has got, so that endAfterPanic can
// end the request correctly wherever its goroutine stopped.
type trackedCaller struct {
	Caller
	// key is the reducer's key of the request, empty before run has opened its mailbox.
	key string
	// dispatched is set once a server may have received the request.
	dispatched bool
	// streamBegun is set once the head of a stream was sent, ended once the final answer was.
	streamBegun, ended bool
}

func (c *trackedCaller) Respond(h *Head, body []byte) {
	c.ended = true
	c.Caller.Respond(h, body)
}

func (c *trackedCaller) Refuse(r *outcome.Refusal) {
	c.ended = true
	c.Caller.Refuse(r)
}

func (c *trackedCaller) BeginStream(h *Head) error {
	c.streamBegun = true
	return c.Caller.BeginStream(h)
}

func (c *trackedCaller) EndStream(complete bool) {
	c.ended = true
	c.Caller.EndStream(complete)
}

// Serve relays one request and returns once the caller has its final answer. ctx ends when the
// caller disconnects.
//
// A panic in one request's goroutine would end the process and with it every stream of the
// entry. Serve recovers from it and ends only this request, by what is known of it. Panics of
// the reducer and of consensus are not recovered: their state can't be trusted afterwards, so
// the process ends.
func (s *Server) Serve(ctx context.Context, req *Request, caller Caller) {
	tracked := &trackedCaller{Caller: caller}
	if s.host.CatchPanic(func() { s.serve(ctx, req, tracked) }, "request_id", req.ID) {
		return
	}
	s.host.CatchPanic(func() { s.endAfterPanic(tracked) }, "request_id", req.ID)
}

// endAfterPanic ends a request whose goroutine has panicked.
func (s *Server) endAfterPanic(tracked *trackedCaller) {
	if tracked.key != "" {
		s.host.Post(entry.CallerDisconnected{RequestID: tracked.key})
	}
	switch {
	case tracked.ended:
	case tracked.streamBegun:
		tracked.EndStream(false)
	case tracked.dispatched:
		tracked.Refuse(entryFailed(outcome.Unknown))
	default:
		tracked.Refuse(entryFailed(outcome.NotRun))
	}
}

// entryFailed returns the refusal of a request whose goroutine panicked.
func entryFailed(requestOutcome outcome.Outcome) *outcome.Refusal {
	return &outcome.Refusal{
		Status: http.StatusServiceUnavailable, Code: outcome.CodeEntryFailed, Outcome: requestOutcome,
		Message: "the entry met a fault of its own with this request",
	}
}
