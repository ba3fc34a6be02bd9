package relay

import (
	"log/slog"
	"net/http"

	"goldcrestseam.dev/goldcrestseam/internal/outcome"
)

func noRoute() *outcome.Refusal {
	return &outcome.Refusal{
		Status: http.StatusNotFound, Code: outcome.CodeNotFound, Outcome: outcome.NotRun,
		Message: "no route begins this path",
	}
}

func (s *Server) refuse(req *Request, caller Caller, r *outcome.Refusal, extra ...slog.Attr) {
	s.logRefused(req, "", r, extra...)
	caller.Refuse(r)
}
