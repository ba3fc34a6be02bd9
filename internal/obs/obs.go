// Package obs sets up logs and metrics the same way in every process.
package obs

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"

	"goldcrestseam.dev/goldcrestseam/internal/settings"
)

// reportInterval is how often tally hands its counters to the registry.
const reportInterval = time.Second

// readHeaderTimeout bounds how long a reader of metrics may take to ask.
const readHeaderTimeout = 5 * time.Second

// NewLogger gives a logger of JSON lines with the process's name.
func NewLogger(w io.Writer, process string, s settings.Log) *slog.Logger {
	var level slog.Level
	if err := level.UnmarshalText([]byte(s.Level)); err != nil {
		level = slog.LevelInfo
	}
	handler := slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level})
	return slog.New(handler).With("process", process)
}

// Metrics is a process's metrics: a scope to count in and a page to scrape.
type Metrics struct {
	Scope   tally.Scope
	Handler http.Handler
	closer  io.Closer
}

// NewMetrics gives metrics under the prefix, with process and Go figures.
func NewMetrics(prefix string) *Metrics {
	registry := prometheus.NewRegistry()
	reporter := tallyprom.NewReporter(tallyprom.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         prefix,
		CachedReporter: reporter,
		Separator:      tallyprom.DefaultSeparator,
	}, reportInterval)
	return &Metrics{
		Scope:   scope,
		Handler: promhttp.HandlerFor(registry, promhttp.HandlerOpts{}),
		closer:  closer,
	}
}

// Serve serves the page at /metrics of an address of its own until ctx ends. Without
// it the process goes on: nobody's request needs metrics.
func (m *Metrics) Serve(ctx context.Context, address string, log *slog.Logger) {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", m.Handler)
	server := &http.Server{Addr: address, Handler: mux, ReadHeaderTimeout: readHeaderTimeout}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		log.Error("metrics are not served", "address", address, "error", err.Error())
	}
}

// Close writes out what is counted.
func (m *Metrics) Close() error { return m.closer.Close() }
