package relay

import (
	"net/http"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/outcome"
)

// soon is when to come back after a state that lasts about a second.
const soon = time.Second

func notReady() *outcome.Refusal {
	return &outcome.Refusal{
		Status: http.StatusServiceUnavailable, Code: outcome.CodeStaleView, Outcome: outcome.NotRun,
		Message: "this entry has not learned its configuration yet; ask another", RetryAfter: soon,
	}
}

func noRoute() *outcome.Refusal {
	return &outcome.Refusal{
		Status: http.StatusNotFound, Code: outcome.CodeNotFound, Outcome: outcome.NotRun,
		Message: "no route begins this path",
	}
}

func (s *Server) refuse(req *Request, caller Caller, r *outcome.Refusal) {
	s.logRefused(req.ID, "", r, 0)
	caller.Refuse(r)
}
