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
	// decisionBufferSize holds a few seconds of decisions at peak load.
	decisionBufferSize = 16384
	// finalFlushTimeout bounds the writing of the remaining decisions when the entry ends.
	finalFlushTimeout = time.Second
)

// decisionLog passes decisions from the control goroutine to the goroutine that
// writes them. Standard output can block for as long as its reader is paused, which
// would block the control goroutine and with it all callers. When the buffer is full,
// decisions are dropped and counted.
type decisionLog struct {
	queue   chan entry.LogDecision
	dropped tally.Counter
}

func newDecisionLog(scope tally.Scope) *decisionLog {
	return &decisionLog{
		queue: make(chan entry.LogDecision, decisionBufferSize), dropped: scope.Counter("log_lines_dropped"),
	}
}

func (l *decisionLog) enqueue(d entry.LogDecision) {
	select {
	case l.queue <- d:
	default:
		l.dropped.Inc(1)
	}
}

// writeDecisions writes decisions until ctx ends, and then the remaining ones.
func (h *Host) writeDecisions(ctx context.Context) {
	for {
		select {
		case d := <-h.decisionLog.queue:
			h.logDecision(d)
		case <-ctx.Done():
			h.flushDecisions()
			return
		}
	}
}

func (h *Host) flushDecisions() {
	for end := time.Now().Add(finalFlushTimeout); time.Now().Before(end); {
		select {
		case d := <-h.decisionLog.queue:
			h.logDecision(d)
		default:
			return
		}
	}
}

// logDecision writes one decision. Routing and waiting decisions may be sampled.
// Refusals and changes of servers and views are always written.
func (h *Host) logDecision(d entry.LogDecision) {
	h.CountDecision(d)
	sampled := d.Kind == entry.LogRoute || d.Kind == entry.LogWait
	if sampled && rand.Float64() >= h.Settings.Log.SampleRouting {
		return
	}
	attrs := []slog.Attr{slog.String("kind", d.Kind), slog.String("reason", d.Reason)}
	for _, a := range []struct{ name, value string }{
		{"request_id", WireIDOf(d.RequestID)}, {"member", d.Member}, {"profile", d.Profile},
		{"class", d.Class}, {"server", d.Server}, {"version", d.Version}, {"source", d.Source}, {"from", d.From},
	} {
		if a.value != "" {
			attrs = append(attrs, slog.String(a.name, a.value))
		}
	}
	if len(d.Parts) > 0 {
		attrs = append(attrs, slog.Any("parts", d.Parts))
	}
	figures := make([]any, 0, len(d.Figures))
	for _, f := range d.Figures {
		figures = append(figures, slog.Float64(f.Name, f.Value))
	}
	attrs = append(attrs, slog.Group("figures", figures...))
	h.Log.LogAttrs(h.TaskContext, slog.LevelInfo, obs.LineDecision, attrs...)
}

// CountDecision counts a decision. Each metric always has the same label names,
// since the metrics library panics if a metric comes with two sets of them.
func (h *Host) CountDecision(d entry.LogDecision) {
	h.Metrics.Scope.Tagged(map[string]string{"kind": d.Kind}).Counter("decisions").Inc(1)
	if d.Kind == entry.LogRefuse {
		h.Metrics.Scope.Tagged(map[string]string{"code": d.Reason}).Counter("refusals").Inc(1)
	}
}
