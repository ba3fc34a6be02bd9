package decision

import (
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/declaration"
)

// Figure is one numeric input of a decision, written to its log line.
type Figure struct {
	Name  string
	Value float64
}

// OutputTokenCost is the weight of an output token in Cost, in prompt tokens. An engine
// prefills 10,000 tokens per second and decodes 890 in a full batch.
const OutputTokenCost = 11

// PlainCallCost is the Cost of a call to a plain service, in prompt tokens: about 10 ms of a
// backend server.
const PlainCallCost = 100

// PlainCallTime is the estimated duration of a call to a plain service at its server, used
// both for the wait in the queue and for the time that the call itself needs. Calls take 15
// to 30 ms.
const PlainCallTime = 20 * time.Millisecond

// Cost returns the work in prompt tokens, at least 1; an output token counts as
// OutputTokenCost prompt tokens.
func (w *Work) Cost() float64 {
	if w.Kind == declaration.KindPlain {
		return PlainCallCost
	}
	return max(1, float64(w.PromptTokens)+OutputTokenCost*float64(w.OutputTokens))
}

// Serves reports whether the server can run the request, apart from its load.
func (s *Server) Serves(w *Work) bool { return s.Usable && s.matches(w) }

// ServesNowOrLater reports whether the server can run the request now or once it is no
// longer throttled.
func (s *Server) ServesNowOrLater(w *Work) bool { return (s.Usable || s.Throttled) && s.matches(w) }

func (s *Server) matches(w *Work) bool {
	if s.Kind != w.Kind || w.Origin != nil && !w.Origin.Allows(s) || w.SoftwareVersion != nil && *w.SoftwareVersion != s.SoftwareVersion {
		return false
	}
	if w.Kind == declaration.KindPlain {
		return contains(s.Services, w.Service)
	}
	return s.Model == w.Model && (w.Adapter == "" || contains(s.Adapters, w.Adapter))
}

func contains(list []string, name string) bool {
	for _, item := range list {
		if item == name {
			return true
		}
	}
	return false
}
