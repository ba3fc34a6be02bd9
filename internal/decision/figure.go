package decision

import (
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/declaration"
)

// Figure is one number that a decision was taken on, for its log line.
type Figure struct {
	Name  string
	Value float64
}

// OutputTokenCost is how many prompt tokens one output token weighs as in Cost. An
// engine prefills 10,000 tokens a second and decodes 890 in a full batch.
const OutputTokenCost = 11

// PlainCallCost is the Cost of a call of a plain service, in prompt tokens: about
// 10 ms of a backend server.
const PlainCallCost = 100

// PlainCallTime is how long a call of a plain service takes at its server: what the wait
// before one is reckoned with, and what it needs of its time once it starts. Calls of
// two portals were seen to take 15 and 30 ms.
const PlainCallTime = 20 * time.Millisecond

// Cost is the work in prompt tokens, output tokens weighed with OutputTokenCost; at
// least 1.
func (w *Work) Cost() float64 {
	if w.Kind == declaration.KindPlain {
		return PlainCallCost
	}
	return max(1, float64(w.PromptTokens)+OutputTokenCost*float64(w.OutputTokens))
}

// Serves tells whether the server can run the work at all, load left aside.
func (s *Server) Serves(w *Work) bool { return s.Usable && s.can(w) }

// ServesNowOrLater tells whether it may run the work now or once it opens.
func (s *Server) ServesNowOrLater(w *Work) bool { return (s.Usable || s.Throttled) && s.can(w) }

func (s *Server) can(w *Work) bool {
	if s.Kind != w.Kind {
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
