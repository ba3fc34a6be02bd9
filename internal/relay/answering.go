package relay

import (
	"context"
	"net/http"

	"goldcrestseam.dev/goldcrestseam/internal/entry"
	"goldcrestseam.dev/goldcrestseam/internal/outcome"
)

// answering is a caller with what it has got so far, so that its request can be ended
// truthfully wherever its goroutine stopped.
type answering struct {
	Caller
	// key is the request's at the reducer, empty before it has got it.
	key string
	// sent is set once a server may have the request.
	sent bool
	// begun and ended are set once a stream's head, and the final answer, went out.
	begun, ended bool
}

func (a *answering) Whole(h *Head, body []byte) {
	a.ended = true
	a.Caller.Whole(h, body)
}

func (a *answering) Refuse(r *outcome.Refusal) {
	a.ended = true
	a.Caller.Refuse(r)
}

func (a *answering) Begin(h *Head) error {
	a.begun = true
	return a.Caller.Begin(h)
}

func (a *answering) End(complete bool) {
	a.ended = true
	a.Caller.End(complete)
}

// Serve relays one request; it returns when the caller has its final answer. ctx
// ends when the caller is gone.
//
// A fault of the program in one request must not end the others: the goroutine's
// panic would end the process, and every stream of the entry with it. The request
// itself is ended by what is known of it. The reducer and consensus keep no such net:
// their state can't be trusted after a panic, and the process ends.
func (s *Server) Serve(ctx context.Context, req *Request, caller Caller) {
	a := &answering{Caller: caller}
	if s.host.CatchPanic(func() { s.serve(ctx, req, a) }, "request_id", req.ID) {
		return
	}
	s.host.CatchPanic(func() { s.abandon(a) }, "request_id", req.ID)
}

// abandon ends a request whose goroutine has panicked.
func (s *Server) abandon(a *answering) {
	if a.key != "" {
		s.host.Post(entry.CallerDisconnected{RequestID: a.key})
	}
	switch {
	case a.ended:
	case a.begun:
		a.End(false)
	case a.sent:
		a.Refuse(faulty(outcome.Unknown))
	default:
		a.Refuse(faulty(outcome.NotRun))
	}
}

// faulty is the refusal of a request that met a fault of the entry itself.
func faulty(what outcome.Outcome) *outcome.Refusal {
	return &outcome.Refusal{
		Status: http.StatusServiceUnavailable, Code: outcome.CodeEntryFailed, Outcome: what,
		Message: "the entry met a fault of its own with this request",
	}
}
