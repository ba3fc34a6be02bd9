// Package host runs the entry's reducer (package entry) in a process: the one
// goroutine that steps it, the mailboxes of requests, the calls to control, the
// log of decisions and the order of a planned stop. Ways in for callers build on
// it: package traffic speaks the system's own protocol, package relay passes
// requests on as they are.
package host

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/joomcode/errorx"
	"github.com/sourcegraph/conc"
	"golang.org/x/time/rate"

	"goldcrestseam.dev/goldcrestseam/internal/clock"
	"goldcrestseam.dev/goldcrestseam/internal/entry"
	"goldcrestseam.dev/goldcrestseam/internal/obs"
	"goldcrestseam.dev/goldcrestseam/internal/rpc"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
	"goldcrestseam.dev/goldcrestseam/internal/settings"
)

// Namespace holds the error types of this package.
var Namespace = errorx.NewNamespace("host")

// Failed is the type of errors of an entry that can't start or go on.
var Failed = Namespace.NewType("failed")

const (
	// LeaveSpread is how long a leaving entry may still stand in other
	// entries' address answers: a poll, a report and a view.
	LeaveSpread = 2 * time.Second
	// answerSlack is how long after the last answer with this entry has run out its callers
	// may still come: a request and its connection are under way.
	answerSlack = 500 * time.Millisecond
	// StopPoll is how often a stopping entry looks whether it is done.
	StopPoll = 20 * time.Millisecond
	// closeTimeout bounds the closing of the listeners, after all requests have
	// ended: it is there for connections that idle.
	closeTimeout = 800 * time.Millisecond
	// readHeaderTimeout bounds how long another process of the system may take
	// to send a call's head.
	readHeaderTimeout = 5 * time.Second
	reportTimeout     = time.Second
	// watchFailuresFirst and watchFailuresEvery bound the lines of polls without an answer.
	watchFailuresFirst = 20
	watchFailuresEvery = time.Second
)

// Host is one entry's process around its reducer.
type Host struct {
	Settings *settings.Entry
	Identity *pb.EntryIdentity
	Log      *slog.Logger
	Metrics  *obs.Metrics
	Auth     *rpc.Auth
	Control  *ControlClient
	// Background ends when the entry must let go of what still runs.
	Background  context.Context
	letGo       context.CancelFunc
	loop        *loop
	decisions   *decisionLog
	peerReports *peerReports
	tasks       conc.WaitGroup
	others      net.Listener
	// callers is the hand-over of callers' connections.
	callers      busy
	lastNotReady atomic.Pointer[NotReady]
	// watchFailures thins the lines of polls without an answer.
	watchFailures rate.Sometimes
}

// New makes the process of an entry that callers reach at callerAddress. It
// listens for other entries but does not serve yet. Errors: Failed.
func New(set *settings.Entry, log *slog.Logger, callerAddress string) (*Host, error) {
	auth, err := rpc.LoadAuth(set.Auth)
	if err != nil {
		return nil, Failed.Wrap(err, "auth")
	}
	h := &Host{Settings: set, Log: log, Auth: auth, Metrics: obs.NewMetrics("goldcrest_entry")}
	auth.CountBytes(h.Metrics.Scope)
	h.Background, h.letGo = context.WithCancel(context.Background())
	if h.others, err = auth.Listen(h.Background, set.PeerAddress); err != nil {
		return nil, Failed.Wrap(err, "peer_address")
	}
	h.Identity = &pb.EntryIdentity{
		Name: set.Name, Incarnation: uuid.NewString(), Region: set.Region, DataCentre: set.DataCentre,
		CallerAddress: callerAddress, PeerAddress: h.others.Addr().String(),
	}
	h.watchFailures = rate.Sometimes{First: watchFailuresFirst, Interval: watchFailuresEvery}
	h.Control = NewControlClient(auth, set.Control)
	h.decisions = newDecisionLog(h.Metrics.Scope)
	h.peerReports = newPeerReports(h)
	return h, nil
}

// Start makes the reducer. carryOut does the effects that belong to the way in
// (probes, cancels, cache polls); the control goroutine calls it and it must not
// block.
func (h *Host) Start(cfg entry.Config, carryOut func(entry.Effect)) {
	cfg.Cluster, cfg.Identity, cfg.MaxStreams = h.Settings.Cluster, h.Identity, h.Settings.MaxStreams
	cfg.Usage = entry.UsageConfig{Window: h.Settings.Usage.Window, BootUnixTime: epoch()}
	h.loop = newLoop(entry.New(cfg), func(e entry.Effect) { h.carryOut(e, carryOut) })
}

// epoch is how long after the start of 1970 the VM was booted, by its wall clock now.
func epoch() time.Duration { return time.Duration(time.Now().UnixNano()) - clock.Boot() }

func (h *Host) carryOut(e entry.Effect, rest func(entry.Effect)) {
	switch e := e.(type) {
	case entry.LogDecision:
		h.decisions.put(e)
	case entry.Report:
		h.Spawn(func() { h.sendReport(e.Request) })
	case entry.ReportToPeers:
		h.peerReports.sendAll(e)
	case entry.AnswerSum:
		h.peerReports.questions.answer(e.Key, e.Sum)
	case entry.AnswerPermit:
		h.peerReports.permits.answer(e.Key, e.Answer)
	case entry.RequestPermit:
		h.Spawn(func() { h.peerReports.askPermit(e) })
	case entry.RequestSum:
		h.Spawn(func() { h.RefreshPeers(h.Background) })
	default:
		rest(e)
	}
}

func (h *Host) sendReport(req *pb.ReportRequest) {
	ctx, cancel := context.WithTimeout(h.Background, reportTimeout)
	defer cancel()
	var resp *pb.ReportResponse
	err := h.Control.Call(ctx, ControlTry, func(ctx context.Context, c pb.Control) error {
		var err error
		resp, err = c.Report(ctx, req)
		return err
	})
	if err != nil {
		h.Post(entry.ReportFailed{Request: req})
		return
	}
	h.Post(entry.ReportAnswered{Request: req, ResendInFull: resp.GetTellInFull(), Term: resp.GetTerm()})
}

// Post hands an event to the reducer. After the end it does nothing.
func (h *Host) Post(ev entry.Event) { h.loop.post(ev) }

// Open gives the mailbox of a request; Close must follow.
func (h *Host) Open(id string) <-chan entry.Effect { return h.loop.open(id) }

// Close drops the mailbox of a request.
func (h *Host) Close(id string) { h.loop.close(id) }

// OpenRequests is how many requests have a mailbox.
func (h *Host) OpenRequests() int { return h.loop.openRequests() }

// Snapshot is what the reducer published last; never nil.
func (h *Host) Snapshot() *entry.Snapshot { return h.loop.snapshot.Load() }

// Configured waits until the entry has learned a configuration, at most so long; false
// if it has not, or ctx has ended.
func (h *Host) Configured(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-h.loop.configured:
		return true
	case <-timer.C:
	case <-ctx.Done():
	case <-h.loop.stopped:
	}
	return false
}

// PeerAddress is where other entries connect and metrics are served.
func (h *Host) PeerAddress() string { return h.others.Addr().String() }

// Way is a way in for callers as Run drives it.
type Way struct {
	// Loops run until their context ends.
	Loops []func(context.Context)
	// Serve are the listeners' loops; each returns when Shutdown is called, or
	// earlier with the error that ends the entry.
	Serve []func() error
	// Peers serves other entries; nil where there is nothing to serve them.
	Peers http.Handler
	// LetGo ends what still runs when the time of a planned stop is over.
	LetGo func()
	// Shutdown closes the listeners.
	Shutdown func(ctx context.Context)
}

// Run serves until ctx ends, then stops gracefully: it leaves the address
// answers, serves callers that hold older ones, finishes what runs, and only
// then closes. Errors: Failed.
func (h *Host) Run(ctx context.Context, way Way) error {
	work, stop := context.WithCancel(context.Background())
	defer stop()
	others := &http.Server{Handler: h.otherHandler(way.Peers), ReadHeaderTimeout: readHeaderTimeout}
	failed := make(chan error, len(way.Serve)+1)
	var loops conc.WaitGroup
	for _, loop := range append([]func(context.Context){h.loop.run, h.writeDecisions, h.watch}, way.Loops...) {
		loops.Go(func() { h.OrDie(func() { loop(work) }) })
	}
	for _, serve := range append(way.Serve, func() error { return others.Serve(h.others) }) {
		loops.Go(func() { failed <- untilEnd(serve) })
	}
	if h.Settings.MetricsAddress != "" {
		loops.Go(func() { h.OrDie(func() { h.Metrics.Serve(work, h.Settings.MetricsAddress, h.Log) }) })
	}
	h.Log.Info("entry serves", "callers", h.Identity.CallerAddress, "peers", h.PeerAddress(),
		"incarnation", h.Identity.Incarnation)
	var err error
	select {
	case <-ctx.Done():
		h.leave(way.LetGo)
	case err = <-failed:
		h.Log.Error("a listener ended; the entry ends", "error", err.Error())
	}
	h.letGo()
	closing, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	way.Shutdown(closing)
	_ = others.Shutdown(closing)
	_ = others.Close()
	stop()
	loops.Wait()
	h.tasks.Wait()
	_ = h.Metrics.Close()
	if err != nil {
		return Failed.Wrap(err, "serve")
	}
	h.Log.Info("entry stopped")
	return nil
}

// leave runs the planned stop up to the point where nothing is cut off any more.
func (h *Host) leave(letGo func()) {
	keep := h.Settings.EntryListTTL + LeaveSpread
	h.Log.Info("entry leaves", "keep", keep.String(), "requests", h.OpenRequests())
	h.Post(entry.Stop{
		AcceptFor: keep, ShortOnlyAfter: h.Settings.EntryListTTL + answerSlack, EndsAfter: keep + h.Settings.StopTimeout,
	})
	time.Sleep(keep)
	deadline := time.Now().Add(h.Settings.StopTimeout)
	for h.OpenRequests() > 0 && time.Now().Before(deadline) {
		time.Sleep(StopPoll)
	}
	letGo()
}

// otherHandler serves other entries, metrics and health on the peer address.
func (h *Host) otherHandler(peers http.Handler) http.Handler {
	mux := http.NewServeMux()
	if peers != nil {
		mux.Handle("/", h.Auth.RequireKey(peers))
	}
	mux.Handle(pb.PeerLoadPathPrefix, h.Auth.RequireKey(pb.NewPeerLoadServer(h.peerReports)))
	mux.Handle("GET /metrics", h.Metrics.Handler)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		if h.NotReady() != "" {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

// Reload takes over the settings that can change while the entry runs: where
// control is. The rest counts from the next start on.
func (h *Host) Reload(set *settings.Entry) {
	h.Control.Learn(set.Control)
	h.Log.Info("settings reloaded", "control", set.Control)
}
