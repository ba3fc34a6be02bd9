package traffic

import (
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/entry"
	"goldcrestseam.dev/goldcrestseam/internal/httpconn"
)

const (
	probeTimeout  = 250 * time.Millisecond
	cancelTimeout = time.Second
)

// applyEffect executes effects of the reducer that belong to no single request
// goroutine. The reducer's goroutine calls it, so it must not block.
func (s *Server) applyEffect(e entry.Effect) {
	switch e := e.(type) {
	case entry.Probe:
		s.host.Spawn(func() { s.probe(e) })
	case entry.PollCache:
		s.host.Spawn(func() { s.pollCache(e) })
	case entry.Cancel:
		s.cancels.schedule(e)
	}
}

func (s *Server) pollCache(p entry.PollCache) {
	events, ok := s.engines.cacheEvents(p.Address, p.After)
	if ok {
		s.host.Post(entry.CacheReported{Server: p.Server, Incarnation: p.Incarnation, Events: events})
	}
}

func (s *Server) probe(p entry.Probe) {
	health, ok, err := s.engines.health(p.Address, probeTimeout)
	if !ok {
		s.host.Post(entry.ProbeFailed{Server: p.Server, Incarnation: p.Incarnation, Answered: !httpconn.NoAnswer(err)})
		return
	}
	s.host.Post(entry.ServerReported{
		Server: health.ID, Incarnation: health.Incarnation, State: health.State,
		Load: health.Load, HasLoad: true,
	})
}
