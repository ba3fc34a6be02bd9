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

// Failed is the type of errors of a stand-in that can't start or go on.
var Failed = Namespace.NewType("failed")

const (
	// tick is how often the engine's model is moved on.
	tick = 2 * time.Millisecond
	// streamKeep is how long a stream that ended can still be read.
	streamKeep = 30 * time.Second
	// heartbeatEvery is how often a waiting stream says that it is alive.
	heartbeatEvery = 250 * time.Millisecond
)

// Server is one life of one stand-in.
type Server struct {
	config      Config
	incarnation string
	journal     *journal.Writer
	listener    net.Listener
	wake        chan struct{}
	// calls counts plain calls that run.
	calls atomic.Int64

	mu      sync.Mutex
	leaving bool
	// model is the engine in virtual time; began is its time 0.
	model   *enginemodel.Engine
	began   time.Time
	running map[string]*stream
	streams map[streamKey]*stream
	ended   map[streamKey]time.Time
	events  eventLog
	kv      map[string]kvCopy
	orders  orderBook
	entries []string
}

// New listens and opens the journal. Errors: Failed.
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
		wake:    make(chan struct{}, 1),
		model:   enginemodel.New(0, c.model(), engineapi.Role(c.Role)),
		began:   time.Now(),
		running: make(map[string]*stream), streams: make(map[streamKey]*stream),
		ended: make(map[streamKey]time.Time), kv: make(map[string]kvCopy),
		orders:  newOrderBook(engineapi.Role(c.Role), c.Model, c.Version),
		entries: c.Entries,
	}, nil
}

// Address is where it serves.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Run serves until ctx ends, then leaves: it says so, finishes what runs and
// stops. Errors: Failed.
func (s *Server) Run(ctx context.Context) error {
	s.journal.Write(journal.Record{Event: journal.ServerStarted})
	hs := &http.Server{Handler: s.handler(), ReadHeaderTimeout: 10 * time.Second}
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var wg conc.WaitGroup
	defer wg.Wait()
	served := make(chan error, 1)
	wg.Go(func() { served <- hs.Serve(s.listener) })
	wg.Go(func() { s.runModel(work) })
	wg.Go(func() { s.announceLoop(work) })
	select {
	case <-ctx.Done():
		s.leave()
		s.drain()
	case err := <-served:
		stop()
		return Failed.Wrap(err, "serve")
	}
	stop()
	closing, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
	defer cancel()
	if hs.Shutdown(closing) != nil {
		_ = hs.Close()
	}
	s.journal.Write(journal.Record{Event: journal.ServerStopped})
	return s.journal.Close()
}

// leave makes the server take no new work and say so at once.
func (s *Server) leave() {
	s.mu.Lock()
	already := s.leaving
	s.leaving = true
	s.mu.Unlock()
	if already {
		return
	}
	s.journal.Write(journal.Record{Event: journal.ServerLeaving})
	s.announceNow()
}

// drain waits until nothing has run for LeaveTime.
func (s *Server) drain() {
	idleSince := time.Now()
	for time.Since(idleSince) < s.config.LeaveTime {
		time.Sleep(tick)
		s.mu.Lock()
		busy := s.model.Len() > 0
		s.mu.Unlock()
		if busy || s.calls.Load() > 0 {
			idleSince = time.Now()
		}
	}
}

// state must be called with mu held.
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
	mux.HandleFunc("GET "+engineapi.PathHealth, s.health)
	if s.config.Kind == engineapi.KindPlain {
		mux.HandleFunc("/", s.call)
		return s.withHeaders(mux)
	}
	mux.HandleFunc("POST "+engineapi.PathCompletions, s.complete)
	mux.HandleFunc("GET "+engineapi.PathStreams+"{id...}", s.resume)
	mux.HandleFunc("POST "+engineapi.PathCancel, s.cancel)
	mux.HandleFunc("POST "+engineapi.PathOrders, s.order)
	mux.HandleFunc("GET "+engineapi.PathKV+"{id...}", s.exportKV)
	mux.HandleFunc("POST "+engineapi.PathKV+"{id...}", s.importKV)
	mux.HandleFunc("GET "+engineapi.PathCacheEvents, s.cacheEvents)
	return s.withHeaders(mux)
}

// withHeaders puts what the server says of itself on every answer, and the echo
// of the request's id and attempt.
func (s *Server) withHeaders(next http.Handler) http.Handler {
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

func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	h := engineapi.Health{
		ID: s.config.ID, Incarnation: s.incarnation, State: s.state(),
		Role: s.orders.role, Load: s.load(),
	}
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, h)
}

// notStarted answers that nothing was begun.
func (s *Server) notStarted(w http.ResponseWriter, state engineapi.State, reason string) {
	w.Header().Set(engineapi.HeaderNotStarted, "true")
	w.Header().Set(engineapi.HeaderState, string(state))
	writeJSON(w, http.StatusConflict, engineapi.Refused{Reason: reason, State: state})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func echo(w http.ResponseWriter, requestID string, attempt uint32) {
	w.Header().Set(outcome.HeaderRequestID, requestID)
	w.Header().Set(outcome.HeaderAttempt, strconv.FormatUint(uint64(attempt), 10))
}
