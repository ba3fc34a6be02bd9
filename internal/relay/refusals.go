package relay

import (
	"net/http"

	"goldcrestseam.dev/goldcrestseam/internal/outcome"
)

func noRoute() *outcome.Refusal {
	return &outcome.Refusal{
		Status: http.StatusNotFound, Code: outcome.CodeNotFound, Outcome: outcome.NotRun,
		Message: "no route begins this path",
	}
}

func (s *Server) refuse(req *Request, caller Caller, r *outcome.Refusal) {
	s.logRefused(req, "", r)
	caller.Refuse(r)
}
