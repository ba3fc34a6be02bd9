package traffic

import (
	"context"
	"log/slog"
	"math/rand/v2"
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
		s.logDecision(e)
	case entry.Probe:
		s.spawn(func() { s.probe(e) })
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

// logDecision writes one line. Routing lines may be sampled, refusals and
// changes of servers and views are always written.
func (s *Server) logDecision(d entry.LogDecision) {
	s.countDecision(d)
	sampled := d.Kind == entry.LogRoute || d.Kind == entry.LogWait
	if sampled && rand.Float64() >= s.settings.Log.SampleRouting {
		return
	}
	attrs := []slog.Attr{slog.String("kind", d.Kind), slog.String("reason", d.Reason)}
	for _, a := range []struct{ name, value string }{
		{"request_id", d.RequestID}, {"member", d.Member}, {"profile", d.Profile},
		{"class", d.Class}, {"server", d.Server},
	} {
		if a.value != "" {
			attrs = append(attrs, slog.String(a.name, a.value))
		}
	}
	figures := make([]any, 0, len(d.Figures))
	for _, f := range d.Figures {
		figures = append(figures, slog.Float64(f.Name, f.Value))
	}
	attrs = append(attrs, slog.Group("figures", figures...))
	s.log.LogAttrs(s.background, slog.LevelInfo, "decision", attrs...)
}

// countDecision counts under names that always have the same labels: the
// metrics library panics when one name comes with two sets of them.
func (s *Server) countDecision(d entry.LogDecision) {
	s.metrics.Scope.Tagged(map[string]string{"kind": d.Kind}).Counter("decisions").Inc(1)
	if d.Kind == entry.LogRefuse {
		s.metrics.Scope.Tagged(map[string]string{"code": d.Reason}).Counter("refusals").Inc(1)
	}
}
