// Package traffic implements the network I/O of an entry that speaks the
// system's native HTTP protocol: requests from callers, streams and calls to
// backend servers, and RPCs between entries. It executes the effects that the
// entry's reducer (package entry) returns. The reducer makes every decision;
// package host runs it.
package traffic

import (
	"context"
	"log/slog"
	"net"
	"time"

	"github.com/gofiber/fiber/v2"

	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
	"goldcrestseam.dev/goldcrestseam/internal/entry"
	"goldcrestseam.dev/goldcrestseam/internal/host"
	"goldcrestseam.dev/goldcrestseam/internal/intake"
	"goldcrestseam.dev/goldcrestseam/internal/listen"
	"goldcrestseam.dev/goldcrestseam/internal/obs"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
	"goldcrestseam.dev/goldcrestseam/internal/settings"
)

// Failed is the error type for an entry that cannot start.
var Failed = Namespace.NewType("failed")

const (
	// stopSettlementTimeout bounds how long a stopping entry waits for control
	// to accept outstanding settlements.
	stopSettlementTimeout = 10 * time.Second
	// finalEventTimeout bounds how long a stopping entry waits for cancelled
	// streams to deliver their final event.
	finalEventTimeout = 2 * time.Second
)

// Server is an entry that serves the native HTTP protocol.
type Server struct {
	host           *host.Host
	engines        *engineClient
	records        *recordStore
	peers          *peerClient
	claims         *claimClient
	cancels        *cancelScheduler
	jobs           *jobRegistry
	bodies         *intake.Budget
	app            *fiber.App
	callerListener net.Listener
}

// New returns an entry that listens but does not serve yet. Errors: Failed and
// the errors of package host.
func New(set *settings.Entry, log *slog.Logger) (*Server, error) {
	listener, err := listen.Open(context.Background(), set.CallerAddress, log)
	if err != nil {
		return nil, Failed.Wrap(err, "caller_address")
	}
	h, err := host.New(set, log, listener.Addr().String())
	if err != nil {
		_ = listener.Close()
		return nil, err
	}
	s := &Server{host: h, callerListener: listener}
	s.initComponents()
	return s, nil
}

func (s *Server) initComponents() {
	h := s.host
	h.Start(entry.Config{}, s.applyEffect)
	s.engines = newEngineClient()
	s.records = newRecordStore()
	s.jobs = newJobRegistry()
	s.cancels = newCancelScheduler(func(address string, req engineapi.CancelRequest) {
		s.engines.cancel(address, req)
	})
	s.peers = &peerClient{
		cluster: h.Settings.Cluster, identity: h.Identity, auth: h.Auth, http: h.Auth.Client(),
		snapshot: h.Snapshot, log: h.Log, spawn: h.Spawn, clients: make(map[string]pb.Peer),
	}
	s.claims = newClaimClient(h.Control, h.Settings.Cluster)
	s.bodies = intake.NewBudget(h.Settings.BodyMemory(), h.Metrics.Scope, h.Log)
	s.app = s.newApp()
}

// CallerAddress returns the address on which callers connect.
func (s *Server) CallerAddress() string { return s.callerListener.Addr().String() }

// PeerAddress returns the address on which other entries connect and metrics
// are served.
func (s *Server) PeerAddress() string { return s.host.PeerAddress() }

// Run serves until ctx ends, then stops gracefully. Errors: those of package
// host.
func (s *Server) Run(ctx context.Context) error {
	return s.host.Run(ctx, host.Frontend{
		Loops: []func(context.Context){
			func(ctx context.Context) { s.peers.runRenewals(ctx, s.records) },
			func(ctx context.Context) { s.claims.runClaims(ctx, s.host.Spawn) },
			s.claims.runSettlements,
			s.engines.kept.CloseIdle,
		},
		Serve:          []func() error{func() error { return s.app.Listener(s.host.CallerListener(s.callerListener)) }},
		PeerHandler:    pb.NewPeerServer(peerService{s}),
		OpenRequests:   s.host.OpenRequests,
		CancelRequests: s.finishStop,
		Shutdown: func(ctx context.Context) {
			// Calls of plain services go on without their callers.
			s.host.CancelTasks()
			_ = s.app.ShutdownWithContext(ctx)
		},
	})
}

// Reload applies changed settings.
func (s *Server) Reload(set *settings.Entry) { s.host.Reload(set) }

// finishStop hands off the streams that still run and waits for settlements.
func (s *Server) finishStop() {
	s.handOffStreams()
	deadline := time.Now().Add(stopSettlementTimeout)
	for s.claims.unsettled() > 0 && time.Now().Before(deadline) {
		time.Sleep(host.StopPollInterval)
	}
}

// handOffStreams cancels the requests that still run when the stop timeout
// expires. Each caller gets an event that says where to resume; other entries
// hold a copy of the stream's record.
func (s *Server) handOffStreams() {
	if n := s.jobs.count(); n > 0 {
		s.host.Log.Warn("stop timeout expired; cancelling running requests, which callers can resume at other entries", "streams", n)
	}
	s.jobs.cancelAll()
	deadline := time.Now().Add(finalEventTimeout)
	for s.host.OpenRequests() > 0 && time.Now().Before(deadline) {
		time.Sleep(host.StopPollInterval)
	}
}

// reportServerStatus passes the status that a backend server attached to an
// answer to the reducer. A status of another incarnation is dropped.
func (s *Server) reportServerStatus(server, incarnation string, status serverStatus) {
	if status.incarnation != incarnation || status.state == "" {
		return
	}
	s.host.Post(entry.ServerReported{
		Server: server, Incarnation: incarnation, State: status.state, Load: status.load, HasLoad: status.hasLoad,
		FromResponse: true, SentAt: status.sentAt, Backpressure: status.backpressure,
	})
}

// logAttemptFailed writes a line for an attempt whose server gave no whole answer.
func (s *Server) logAttemptFailed(requestID, server string, attempt uint32, err error) {
	s.host.Log.Info(obs.LineAttemptFailed, "request_id", requestID, "server", server, "attempt", attempt, "error", err.Error())
}
