// Package traffic carries a goldcrest-entry's bytes: the callers' HTTP, the
// streams and calls to backend servers, the messages to other entries, in the
// system's own protocol. It carries out the effects of the entry's reducer (package
// entry), which takes every decision; package host runs it.
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
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
	"goldcrestseam.dev/goldcrestseam/internal/settings"
)

// Failed is the type of errors of an entry that can't start.
var Failed = Namespace.NewType("failed")

const (
	// settleAtStop bounds the wait for settlements at the end.
	settleAtStop = 10 * time.Second
	// endEvents is how long callers' streams may take to get their last event
	// after a stop's time ran out.
	endEvents = 2 * time.Second
)

// Server is one entry.
type Server struct {
	host    *host.Host
	engines *engineClient
	records *recordStore
	peers   *peers
	claims  *claims
	cancels *cancels
	jobs    *jobs
	app     *fiber.App
	callers net.Listener
}

// New makes an entry that listens but does not serve yet. Errors: Failed, and
// those of package host.
func New(set *settings.Entry, log *slog.Logger) (*Server, error) {
	callers, err := net.Listen("tcp", set.CallerAddress)
	if err != nil {
		return nil, Failed.Wrap(err, "caller_address")
	}
	h, err := host.New(set, log, callers.Addr().String())
	if err != nil {
		_ = callers.Close()
		return nil, err
	}
	s := &Server{host: h, callers: callers}
	s.assemble()
	return s, nil
}

func (s *Server) assemble() {
	h := s.host
	h.Start(entry.Config{}, s.carryOut)
	s.engines = newEngineClient()
	s.records = newRecordStore()
	s.jobs = newJobs()
	s.cancels = newCancels(func(address string, req engineapi.CancelRequest) {
		s.engines.cancel(address, req)
	})
	s.peers = &peers{
		cluster: h.Settings.Cluster, identity: h.Identity, auth: h.Auth, http: h.Auth.Client(),
		snapshot: h.Snapshot, log: h.Log, run: h.Spawn, clients: make(map[string]pb.Peer),
	}
	s.claims = newClaims(h.Control, h.Settings.Cluster)
	s.app = s.newApp()
}

// CallerAddress is where callers connect.
func (s *Server) CallerAddress() string { return s.callers.Addr().String() }

// PeerAddress is where other entries connect and metrics are served.
func (s *Server) PeerAddress() string { return s.host.PeerAddress() }

// Run serves until ctx ends, then stops gracefully. Errors: those of package host.
func (s *Server) Run(ctx context.Context) error {
	return s.host.Run(ctx, host.Frontend{
		Loops: []func(context.Context){
			func(ctx context.Context) { s.peers.renew(ctx, s.records) },
			func(ctx context.Context) { s.claims.runClaims(ctx, s.host.Spawn) },
			s.claims.runSettlements,
		},
		Serve:          []func() error{func() error { return s.app.Listener(s.host.CallerListener(s.callers)) }},
		PeerHandler:    pb.NewPeerServer(peerService{s}),
		CancelRequests: s.letGo,
		Shutdown:       func(ctx context.Context) { _ = s.app.ShutdownWithContext(ctx) },
	})
}

// Reload takes over settings that changed.
func (s *Server) Reload(set *settings.Entry) { s.host.Reload(set) }

// letGo hands on the streams that still run and waits for settlements.
func (s *Server) letGo() {
	s.handOnStreams()
	deadline := time.Now().Add(settleAtStop)
	for s.claims.unsettled() > 0 && time.Now().Before(deadline) {
		time.Sleep(host.StopPollInterval)
	}
}

// handOnStreams ends what still runs when the stop's time is over: each caller
// gets an event that tells where to go on, and other entries know the request.
func (s *Server) handOnStreams() {
	if n := s.jobs.count(); n > 0 {
		s.host.Log.Warn("streams are handed on", "streams", n)
	}
	s.jobs.cancelAll()
	deadline := time.Now().Add(endEvents)
	for s.host.OpenRequests() > 0 && time.Now().Before(deadline) {
		time.Sleep(host.StopPollInterval)
	}
}

// heard passes on what a backend server said of itself with an answer.
func (s *Server) heard(server, incarnation string, word said) {
	if word.incarnation != incarnation || word.state == "" {
		return
	}
	s.host.Post(entry.ServerReported{
		Server: server, Incarnation: incarnation, State: word.state, Load: word.load, HasLoad: word.hasLoad,
		FromResponse: true, SentAt: word.sentAt, Backpressure: word.word,
	})
}
