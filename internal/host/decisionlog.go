package host

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/uber-go/tally/v4"

	"goldcrestseam.dev/goldcrestseam/internal/entry"
	"goldcrestseam.dev/goldcrestseam/internal/obs"
)

const (
	// decisionBuffer takes up some seconds of lines at the peak.
	decisionBuffer = 16384
	// drainFor bounds how long the last lines are waited for at the end.
	drainFor = time.Second
)

// decisionLog hands lines from the control goroutine to the one that writes
// them. Standard output can block for as long as its reader is paused; the
// control goroutine would stand still with it, and all callers. When the buffer
// is full lines are dropped and counted.
type decisionLog struct {
	lines   chan entry.LogDecision
	dropped tally.Counter
}

func newDecisionLog(scope tally.Scope) *decisionLog {
	return &decisionLog{
		lines: make(chan entry.LogDecision, decisionBuffer), dropped: scope.Counter("log_lines_dropped"),
	}
}

func (l *decisionLog) put(d entry.LogDecision) {
	select {
	case l.lines <- d:
	default:
		l.dropped.Inc(1)
	}
}

// writeDecisions writes lines until ctx ends, and then what is left.
func (h *Host) writeDecisions(ctx context.Context) {
	for {
		select {
		case d := <-h.decisions.lines:
			h.logDecision(d)
		case <-ctx.Done():
			h.writeLeftDecisions()
			return
		}
	}
}

func (h *Host) writeLeftDecisions() {
	for end := time.Now().Add(drainFor); time.Now().Before(end); {
		select {
		case d := <-h.decisions.lines:
			h.logDecision(d)
		default:
			return
		}
	}
}

// logDecision writes one line. Routing lines may be sampled, refusals and
// changes of servers and views are always written.
func (h *Host) logDecision(d entry.LogDecision) {
	h.CountDecision(d)
	sampled := d.Kind == entry.LogRoute || d.Kind == entry.LogWait
	if sampled && rand.Float64() >= h.Settings.Log.SampleRouting {
		return
	}
	attrs := []slog.Attr{slog.String("kind", d.Kind), slog.String("reason", d.Reason)}
	for _, a := range []struct{ name, value string }{
		{"request_id", WireIDOf(d.RequestID)}, {"member", d.Member}, {"profile", d.Profile},
		{"class", d.Class}, {"server", d.Server}, {"source", d.Source},
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
	h.Log.LogAttrs(h.TaskContext, slog.LevelInfo, obs.LineDecision, attrs...)
}

// CountDecision counts a line under names that always have the same labels: the
// metrics library panics when one name comes with two sets of them.
func (h *Host) CountDecision(d entry.LogDecision) {
	h.Metrics.Scope.Tagged(map[string]string{"kind": d.Kind}).Counter("decisions").Inc(1)
	if d.Kind == entry.LogRefuse {
		h.Metrics.Scope.Tagged(map[string]string{"code": d.Reason}).Counter("refusals").Inc(1)
	}
}
