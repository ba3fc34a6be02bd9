// Package obs sets up logging and metrics, alike in every process.
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

	"goldcrestseam.dev/goldcrestseam/internal/listen"
	"goldcrestseam.dev/goldcrestseam/internal/settings"
)

// reportInterval is how often tally updates the Prometheus registry.
const reportInterval = time.Second

const (
	// readHeaderTimeout bounds how long a client may take to send the headers of a scrape, maxHeaderBytes their size.
	readHeaderTimeout = 5 * time.Second
	maxHeaderBytes    = 16 << 10
	// maxScrapeConnections bounds the connections at the address for metrics.
	maxScrapeConnections = 16
)

// NewLogger returns a logger that writes JSON lines, each with the name of the process.
func NewLogger(w io.Writer, process string, s settings.Log) *slog.Logger {
	var level slog.Level
	if err := level.UnmarshalText([]byte(s.Level)); err != nil {
		level = slog.LevelInfo
	}
	handler := slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level})
	return slog.New(handler).With("process", process)
}

// Metrics holds the metrics of a process: the scope that records them and the handler that
// serves them to Prometheus.
type Metrics struct {
	Scope   tally.Scope
	Handler http.Handler
	closer  io.Closer
}

// NewMetrics returns an empty set of metrics whose names begin with the prefix.
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

// Serve serves /metrics on a separate address until ctx ends. If it fails, the process keeps
// running: requests don't depend on metrics.
func (m *Metrics) Serve(ctx context.Context, address string, log *slog.Logger) {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", m.Handler)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	ln, err := listen.Open(ctx, address, log)
	if err == nil {
		err = server.Serve(listen.LimitListener(ln, listen.Limit{Connections: maxScrapeConnections}, log))
	}
	if !errors.Is(err, http.ErrServerClosed) {
		log.Error("metrics server failed", "address", address, "error", err.Error())
	}
}

// Close flushes the recorded metrics to the registry and stops the updates.
func (m *Metrics) Close() error { return m.closer.Close() }
