package relay

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"goldcrestseam.dev/goldcrestseam/internal/declaration"
	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
	"goldcrestseam.dev/goldcrestseam/internal/entry"
	"goldcrestseam.dev/goldcrestseam/internal/httpconn"
)

// probeTimeout bounds one health probe. Probes of a failing server are sent every 200 ms.
const probeTimeout = 400 * time.Millisecond

// runEffect runs the reducer's effects that concern servers rather than one request. Cancel
// effects need no action here: closing the connection cancels the request at its server.
func (s *Server) runEffect(e entry.Effect) {
	if p, ok := e.(entry.Probe); ok {
		s.host.Spawn(func() { s.probe(p) })
	}
}

func (s *Server) probe(p entry.Probe) {
	ctx, cancel := context.WithTimeout(s.host.TaskContext, probeTimeout)
	defer cancel()
	service := serviceOf(s.host.Snapshot().Declaration, p)
	if service == nil || service.HealthPath == "" {
		return
	}
	target := Target{Address: p.Address, Incarnation: p.Incarnation}
	healthy, err := s.backend.Health(ctx, target, service.HealthPath)
	if !healthy {
		s.host.Post(entry.ProbeFailed{Server: p.Server, Incarnation: p.Incarnation, Answered: err == nil || errorx.IsOfType(err, httpconn.Malformed)})
		return
	}
	s.host.Post(entry.ServerReported{Server: p.Server, Incarnation: p.Incarnation, State: engineapi.StateServing})
}

// serviceOf returns a service that the probed server runs, or nil.
func serviceOf(d *declaration.Declaration, p entry.Probe) *declaration.Service {
	if d == nil {
		return nil
	}
	for i := range d.Services {
		s := &d.Services[i]
		if p.Model != "" && s.Model == p.Model || len(p.Services) > 0 && s.Name == p.Services[0] {
			return s
		}
	}
	return nil
}
