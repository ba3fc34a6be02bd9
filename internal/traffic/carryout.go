package traffic

import (
	"context"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/entry"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

const (
	probeTimeout  = 250 * time.Millisecond
	cancelTimeout = time.Second
	reportTimeout = time.Second
)

// carryOut does what the reducer decided beside the requests' own effects. It
// is called by the control goroutine and must not block it.
func (s *Server) carryOut(e entry.Effect) {
	switch e := e.(type) {
	case entry.LogDecision:
		s.decisions.put(e)
	case entry.Probe:
		s.spawn(func() { s.probe(e) })
	case entry.PollCache:
		s.spawn(func() { s.pollCache(e) })
	case entry.Cancel:
		s.cancels.plan(e)
	case entry.Report:
		s.spawn(func() { s.sendReport(e.Request) })
	}
}

func (s *Server) sendReport(req *pb.ReportRequest) {
	ctx, cancel := context.WithTimeout(s.background, reportTimeout)
	defer cancel()
	var resp *pb.ReportResponse
	err := s.control.call(ctx, controlTry, func(ctx context.Context, c pb.Control) error {
		var err error
		resp, err = c.Report(ctx, req)
		return err
	})
	if err != nil {
		s.core.post(entry.ReportFailed{Request: req})
		return
	}
	s.core.post(entry.ReportTaken{Request: req, TellInFull: resp.GetTellInFull()})
}

func (s *Server) pollCache(p entry.PollCache) {
	events, ok := s.engines.cacheEvents(p.Address, p.After)
	if ok {
		s.core.post(entry.CacheReported{Server: p.Server, Incarnation: p.Incarnation, Events: events})
	}
}

func (s *Server) probe(p entry.Probe) {
	health, ok := s.engines.health(p.Address, probeTimeout)
	if !ok {
		s.core.post(entry.ProbeFailed{Server: p.Server, Incarnation: p.Incarnation})
		return
	}
	s.core.post(entry.ServerSaid{
		Server: health.ID, Incarnation: health.Incarnation, State: health.State,
		Load: health.Load, HasLoad: true,
	})
}
