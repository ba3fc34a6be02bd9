package server

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/joomcode/errorx"
	"github.com/sourcegraph/conc"

	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
	"goldcrestseam.dev/goldcrestseam/internal/enginemodel"
	"goldcrestseam.dev/goldcrestseam/internal/outcome"
	"goldcrestseam.dev/goldcrestseam/internal/standin/journal"
)

// Namespace holds the error types of this package.
var Namespace = errorx.NewNamespace("standin")

// Failed is the type of errors of a stand-in that can't start or keep running.
var Failed = Namespace.NewType("failed")

const (
	// modelTickInterval is how often the engine model is advanced.
	modelTickInterval = 2 * time.Millisecond
	// streamRetention is how long an ended stream can still be resumed.
	streamRetention = 30 * time.Second
	// heartbeatInterval is the time between heartbeats on an open stream.
	heartbeatInterval = 250 * time.Millisecond
)

// Server is one incarnation of a stand-in server.
type Server struct {
	config          Config
	incarnation     string
	journal         *journal.Writer
	listener        net.Listener
	announceTrigger chan struct{}
	// activeCalls counts the plain calls in progress.
	activeCalls atomic.Int64

	mu      sync.Mutex
	leaving bool
	// model simulates the engine in virtual time; startedAt is the real time of
	// its time 0.
	model          *enginemodel.Engine
	startedAt      time.Time
	runningStreams map[string]*stream
	streams        map[streamKey]*stream
	endedAt        map[streamKey]time.Time
	eventTimeline  eventTimeline
	importedKV     map[string]exportedKV
	orders         orderState
	entries        []string
}

// New opens the journal and the listener. Errors: Failed.
func New(c Config) (*Server, error) {
	incarnation := uuid.NewString()
	w, err := journal.Open(c.Journal, c.ID, incarnation)
	if err != nil {
		return nil, Failed.Wrap(err, "journal")
	}
	ln, err := net.Listen("tcp", c.Address)
	if err != nil {
		return nil, Failed.Wrap(err, "listen")
	}
	c.Address = ln.Addr().String()
	return &Server{
		config: c, incarnation: incarnation, journal: w, listener: ln,
		announceTrigger: make(chan struct{}, 1),
		model:           enginemodel.New(0, c.modelConfig(), engineapi.Role(c.Role)),
		startedAt:       time.Now(),
		runningStreams:  make(map[string]*stream), streams: make(map[streamKey]*stream),
		endedAt: make(map[streamKey]time.Time), importedKV: make(map[string]exportedKV),
		orders:  newOrderState(engineapi.Role(c.Role), c.Model, c.Version),
		entries: c.Entries,
	}, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Run serves until ctx ends. Then it announces that it leaves, drains the
// running requests and stops. Errors: Failed.
func (s *Server) Run(ctx context.Context) error {
	s.journal.Write(journal.Record{Event: journal.ServerStarted})
	httpServer := &http.Server{Handler: s.handler(), ReadHeaderTimeout: 10 * time.Second}
	workCtx, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	var wg conc.WaitGroup
	defer wg.Wait()
	serveErr := make(chan error, 1)
	wg.Go(func() { serveErr <- httpServer.Serve(s.listener) })
	wg.Go(func() { s.runModel(workCtx) })
	wg.Go(func() { s.announceLoop(workCtx) })
	select {
	case <-ctx.Done():
		s.startLeaving()
		s.drain()
	case err := <-serveErr:
		stopWork()
		return Failed.Wrap(err, "serve")
	}
	stopWork()
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
	defer cancel()
	if httpServer.Shutdown(shutdownCtx) != nil {
		_ = httpServer.Close()
	}
	s.journal.Write(journal.Record{Event: journal.ServerStopped})
	return s.journal.Close()
}

// startLeaving makes the server refuse new work and announce that at once.
func (s *Server) startLeaving() {
	s.mu.Lock()
	alreadyLeaving := s.leaving
	s.leaving = true
	s.mu.Unlock()
	if alreadyLeaving {
		return
	}
	s.journal.Write(journal.Record{Event: journal.ServerLeaving})
	s.triggerAnnounce()
}

// drain waits until the server has been idle for LeaveTime.
func (s *Server) drain() {
	idleSince := time.Now()
	for time.Since(idleSince) < s.config.LeaveTime {
		time.Sleep(modelTickInterval)
		s.mu.Lock()
		busy := s.model.Len() > 0
		s.mu.Unlock()
		if busy || s.activeCalls.Load() > 0 {
			idleSince = time.Now()
		}
	}
}

// state returns the state to announce. The caller must hold mu.
func (s *Server) state() engineapi.State {
	switch {
	case s.leaving:
		return engineapi.StateLeaving
	case s.orders.running != nil:
		return engineapi.StateChanging
	default:
		return engineapi.StateServing
	}
}

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+engineapi.PathHealth, s.handleHealth)
	if s.config.Kind == engineapi.KindPlain {
		mux.HandleFunc("/", s.handleCall)
		return s.withServerHeaders(mux)
	}
	mux.HandleFunc("POST "+engineapi.PathCompletions, s.handleCompletion)
	mux.HandleFunc("GET "+engineapi.PathStreams+"{id...}", s.handleResume)
	mux.HandleFunc("POST "+engineapi.PathCancel, s.handleCancel)
	mux.HandleFunc("POST "+engineapi.PathOrders, s.handleOrder)
	mux.HandleFunc("GET "+engineapi.PathKV+"{id...}", s.handleExportKV)
	mux.HandleFunc("POST "+engineapi.PathKV+"{id...}", s.handleImportKV)
	mux.HandleFunc("GET "+engineapi.PathCacheEvents, s.handleCacheEvents)
	return s.withServerHeaders(mux)
}

// withServerHeaders sets the server's state, incarnation and load on every
// response, and echoes the request's ID and attempt.
func (s *Server) withServerHeaders(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		state, load := s.state(), s.load()
		s.mu.Unlock()
		h := w.Header()
		h.Set(engineapi.HeaderState, string(state))
		h.Set(engineapi.HeaderIncarnation, s.incarnation)
		if data, err := json.Marshal(load); err == nil {
			h.Set(engineapi.HeaderLoad, string(data))
		}
		for _, name := range []string{outcome.HeaderRequestID, outcome.HeaderAttempt} {
			if v := r.Header.Get(name); v != "" {
				h.Set(name, v)
			}
		}
		next.ServeHTTP(w, r)
	})
}

func (s *Server) handleHealth(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	h := engineapi.Health{
		ID: s.config.ID, Incarnation: s.incarnation, State: s.state(),
		Role: s.orders.role, Load: s.load(),
	}
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, h)
}

// writeNotStarted responds that no work on the request was started.
func (s *Server) writeNotStarted(w http.ResponseWriter, state engineapi.State, reason string) {
	w.Header().Set(engineapi.HeaderNotStarted, "true")
	w.Header().Set(engineapi.HeaderState, string(state))
	writeJSON(w, http.StatusConflict, engineapi.Refused{Reason: reason, State: state})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func setRequestHeaders(w http.ResponseWriter, requestID string, attempt uint32) {
	w.Header().Set(outcome.HeaderRequestID, requestID)
	w.Header().Set(outcome.HeaderAttempt, strconv.FormatUint(uint64(attempt), 10))
}
