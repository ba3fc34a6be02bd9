// Package traffic carries a goldcrest-entry's bytes: the callers' HTTP, the
// streams and calls to backend servers, the messages to control and to other
// entries. It carries out the effects of the entry's reducer (package entry),
// which takes every decision.
package traffic

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/google/uuid"
	"github.com/sourcegraph/conc"

	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
	"goldcrestseam.dev/goldcrestseam/internal/entry"
	"goldcrestseam.dev/goldcrestseam/internal/obs"
	"goldcrestseam.dev/goldcrestseam/internal/rpc"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
	"goldcrestseam.dev/goldcrestseam/internal/settings"
)

// Failed is the type of errors of an entry that can't start.
var Failed = Namespace.NewType("failed")

const (
	// leaveSpread is how long a leaving entry may still stand in other
	// entries' address answers: a poll, a report and a view.
	leaveSpread = 2 * time.Second
	// stopPoll is how often a stopping entry looks whether it is done.
	stopPoll = 20 * time.Millisecond
	// settleAtStop bounds the wait for settlements at the end.
	settleAtStop = 10 * time.Second
	// endEvents is how long callers' streams may take to get their last event
	// after a stop's time ran out.
	endEvents = 2 * time.Second
)

// Server is one entry.
type Server struct {
	settings  *settings.Entry
	identity  *pb.EntryIdentity
	log       *slog.Logger
	metrics   *obs.Metrics
	auth      *rpc.Auth
	core      *core
	control   *controlClient
	engines   *engineClient
	records   *recordStore
	peers     *peers
	claims    *claims
	cancels   *cancels
	jobs      *jobs
	decisions *decisionLog
	app       *fiber.App
	tasks     conc.WaitGroup
	// background ends when the entry must let go of what still runs.
	background context.Context
	letGo      context.CancelFunc
	callers    net.Listener
	others     net.Listener
}

// New makes an entry that listens but does not serve yet. Errors: Failed.
func New(set *settings.Entry, log *slog.Logger) (*Server, error) {
	auth, err := rpc.LoadAuth(set.Auth)
	if err != nil {
		return nil, Failed.Wrap(err, "auth")
	}
	s := &Server{settings: set, log: log, auth: auth, metrics: obs.NewMetrics("goldcrest_entry")}
	auth.Count(s.metrics.Scope)
	s.background, s.letGo = context.WithCancel(context.Background())
	if err := s.listen(); err != nil {
		return nil, err
	}
	s.identity = &pb.EntryIdentity{
		Name: set.Name, Incarnation: uuid.NewString(), Region: set.Region, DataCentre: set.DataCentre,
		CallerAddress: s.callers.Addr().String(), PeerAddress: s.others.Addr().String(),
	}
	s.assemble()
	return s, nil
}

func (s *Server) listen() error {
	var err error
	if s.callers, err = net.Listen("tcp", s.settings.CallerAddress); err != nil {
		return Failed.Wrap(err, "caller_address")
	}
	if s.others, err = s.auth.Listen(s.background, s.settings.PeerAddress); err != nil {
		_ = s.callers.Close()
		return Failed.Wrap(err, "peer_address")
	}
	return nil
}

func (s *Server) assemble() {
	reducer := entry.New(entry.Config{
		Cluster: s.settings.Cluster, Identity: s.identity, MaxStreams: s.settings.MaxStreams,
	})
	s.core = newCore(reducer, s.carryOut)
	s.control = newControlClient(s.auth, s.settings.Control)
	s.engines = newEngineClient()
	s.records = newRecordStore()
	s.jobs = newJobs()
	s.decisions = newDecisionLog(s.metrics.Scope)
	s.cancels = newCancels(func(address string, req engineapi.CancelRequest) {
		s.engines.cancel(address, req)
	})
	s.peers = &peers{
		cluster: s.settings.Cluster, identity: s.identity, auth: s.auth, http: s.auth.Client(),
		snapshot: s.core.snapshot.Load, log: s.log, run: s.spawn, clients: make(map[string]pb.Peer),
	}
	s.claims = newClaims(s.control, s.settings.Cluster)
	s.app = s.newApp()
}

// CallerAddress is where callers connect.
func (s *Server) CallerAddress() string { return s.callers.Addr().String() }

// PeerAddress is where other entries connect and metrics are served.
func (s *Server) PeerAddress() string { return s.others.Addr().String() }

// Run serves until ctx ends, then stops gracefully: it leaves the address
// answers, serves callers that hold older ones, finishes what runs, and only
// then closes. Errors: Failed.
func (s *Server) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.Background())
	defer stop()
	others := &http.Server{Handler: s.otherHandler(), ReadHeaderTimeout: 5 * time.Second}
	failed := make(chan error, 2)
	var loops conc.WaitGroup
	loops.Go(func() { s.orDie(func() { s.core.run(work) }) })
	loops.Go(func() { s.orDie(func() { s.writeDecisions(work) }) })
	loops.Go(func() { s.orDie(func() { s.watch(work) }) })
	loops.Go(func() { s.orDie(func() { s.peers.renew(work, s.records) }) })
	loops.Go(func() { s.orDie(func() { s.claims.runClaims(work, s.spawn) }) })
	loops.Go(func() { s.orDie(func() { s.claims.runSettlements(work) }) })
	loops.Go(func() { failed <- s.app.Listener(callerListener{s.callers}) })
	loops.Go(func() { failed <- others.Serve(s.others) })
	s.log.Info("entry serves", "callers", s.CallerAddress(), "peers", s.PeerAddress(),
		"incarnation", s.identity.Incarnation)
	var err error
	select {
	case <-ctx.Done():
		s.leave()
	case err = <-failed:
	}
	s.letGo()
	s.closeListeners(others)
	stop()
	loops.Wait()
	s.tasks.Wait()
	_ = s.metrics.Close()
	if err != nil {
		return Failed.Wrap(err, "serve")
	}
	s.log.Info("entry stopped")
	return nil
}

// leave runs the planned stop up to the point where nothing is cut off any more.
func (s *Server) leave() {
	keep := s.settings.AnswerKeep + leaveSpread
	s.log.Info("entry leaves", "keep", keep.String(), "requests", s.core.openRequests())
	s.core.post(entry.Stop{Keep: keep})
	time.Sleep(keep)
	deadline := time.Now().Add(s.settings.StopTimeout)
	for s.core.openRequests() > 0 && time.Now().Before(deadline) {
		time.Sleep(stopPoll)
	}
	s.handOnStreams()
	deadline = time.Now().Add(settleAtStop)
	for s.claims.unsettled() > 0 && time.Now().Before(deadline) {
		time.Sleep(stopPoll)
	}
}

// handOnStreams ends what still runs when the stop's time is over: each caller
// gets an event that tells where to go on, and other entries know the request.
func (s *Server) handOnStreams() {
	if n := s.jobs.count(); n > 0 {
		s.log.Warn("streams are handed on", "streams", n)
	}
	s.jobs.cancelAll()
	deadline := time.Now().Add(endEvents)
	for s.core.openRequests() > 0 && time.Now().Before(deadline) {
		time.Sleep(stopPoll)
	}
}

func (s *Server) closeListeners(others *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), endEvents)
	defer cancel()
	_ = s.app.ShutdownWithContext(ctx)
	_ = others.Shutdown(ctx)
	_ = others.Close()
}

// otherHandler serves other entries, metrics and health on the peer address.
func (s *Server) otherHandler() http.Handler {
	mux := http.NewServeMux()
	peer := pb.NewPeerServer(peerService{s})
	mux.Handle(peer.PathPrefix(), s.auth.Require(peer))
	mux.Handle("GET /metrics", s.metrics.Handler)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		if !s.core.snapshot.Load().Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

// heard passes on what a backend server said of itself with an answer.
func (s *Server) heard(server, incarnation string, word said) {
	if word.incarnation != incarnation || word.state == "" {
		return
	}
	s.core.post(entry.ServerSaid{
		Server: server, Incarnation: incarnation, State: word.state, Load: word.load, HasLoad: word.hasLoad,
	})
}
