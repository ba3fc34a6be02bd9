// Package host runs the entry's reducer (package entry) in a process. It provides
// the single goroutine that steps the reducer, a mailbox of effects for each
// request, the calls to control, the decision log and the sequence of a graceful
// stop. Frontends for callers build on it: package traffic serves the system's own
// protocol, package relay forwards requests unchanged.
package host

import (
	"cmp"
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
	"goldcrestseam.dev/goldcrestseam/internal/decision/admission"
	"goldcrestseam.dev/goldcrestseam/internal/entry"
	"goldcrestseam.dev/goldcrestseam/internal/intake"
	"goldcrestseam.dev/goldcrestseam/internal/obs"
	"goldcrestseam.dev/goldcrestseam/internal/rpc"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
	"goldcrestseam.dev/goldcrestseam/internal/settings"
)

// Namespace holds the error types of this package.
var Namespace = errorx.NewNamespace("host")

// Failed is the type of errors of an entry that can't start or can't keep running.
var Failed = Namespace.NewType("failed")

const (
	// AddressPropagation is how long other entries may still list a leaving entry in
	// their answers with entry addresses. It covers one poll of control, one report and
	// one update of the view.
	AddressPropagation = 2 * time.Second
	// connectGrace is how long callers may still arrive after the last answer that lists this
	// entry has expired: their connection and request may be in flight.
	connectGrace = 500 * time.Millisecond
	// StopPollInterval is how often a stopping entry checks whether its requests have ended.
	StopPollInterval = 20 * time.Millisecond
	// shutdownTimeout bounds the closing of the listeners after all requests have
	// ended. Idle connections would otherwise hold it up.
	shutdownTimeout = 800 * time.Millisecond
	// maxPeerCallBytes bounds a call of another entry: the largest lists suspects and their crashes.
	maxPeerCallBytes = 4 << 20
	// maxRecordCallBytes bounds a call of another entry with the record of a stream.
	maxRecordCallBytes = 16 << 20
	// readHeaderTimeout bounds how long another process of the system may take
	// to send the headers of a call.
	readHeaderTimeout = 5 * time.Second
	reportTimeout     = time.Second
	// watchFailureLogFirst and watchFailureLogInterval limit the log lines about unanswered
	// polls.
	watchFailureLogFirst    = 20
	watchFailureLogInterval = time.Second
)

// Host is one entry's process around its reducer.
type Host struct {
	Settings *settings.Entry
	Identity *pb.EntryIdentity
	Log      *slog.Logger
	Metrics  *obs.Metrics
	Auth     *rpc.Auth
	Control  *ControlClient
	// TaskContext ends when the entry must abort tasks that are still running.
	TaskContext context.Context
	cancelTasks context.CancelFunc
	loop        *loop
	decisionLog *decisionLog
	peers       *peerExchange
	// Origins knows at which servers streams began.
	Origins      *Origins
	tasks        conc.WaitGroup
	peerListener net.Listener
	// callerHandOver times the hand-over of accepted caller connections.
	callerHandOver busyTimer
	lastReadiness  atomic.Pointer[readiness]
	// watchFailureLog limits the rate of log lines about unanswered polls.
	watchFailureLog rate.Sometimes
	// patience is used by the goroutine that polls for the view.
	patience pollPatience
}

// New returns the host of an entry that callers reach at callerAddress. It
// listens on the peer address but does not serve yet. Errors: Failed.
func New(set *settings.Entry, log *slog.Logger, callerAddress string) (*Host, error) {
	auth, err := rpc.LoadAuth(set.Auth)
	if err != nil {
		return nil, Failed.Wrap(err, "auth")
	}
	h := &Host{Settings: set, Log: log, Auth: auth, Metrics: obs.NewMetrics("goldcrest_entry")}
	auth.CountBytes(h.Metrics.Scope)
	h.TaskContext, h.cancelTasks = context.WithCancel(context.Background())
	if h.peerListener, err = auth.Listen(h.TaskContext, cmp.Or(set.ListenAddress, set.PeerAddress), set.MaxPeerConnections(), log); err != nil {
		return nil, Failed.Wrap(err, "peer_address")
	}
	h.Identity = &pb.EntryIdentity{
		Name: set.Name, Incarnation: uuid.NewString(), Region: set.Region, DataCentre: set.DataCentre,
		CallerAddress: callerAddress, PeerAddress: h.peerListener.Addr().String(),
	}
	if set.ListenAddress != "" {
		h.Identity.PeerAddress = set.PeerAddress
	}
	h.watchFailureLog = rate.Sometimes{First: watchFailureLogFirst, Interval: watchFailureLogInterval}
	h.Control = NewControlClient(auth, set.Control)
	h.decisionLog = newDecisionLog(h.Metrics.Scope)
	h.peers = newPeerExchange(h)
	h.Origins = newOrigins(h)
	return h, nil
}

// Start creates the reducer. applyFrontendEffect applies the effects that belong to
// the frontend (probes, cancellations, cache polls). It is called by the control
// goroutine and must not block.
func (h *Host) Start(cfg entry.Config, applyFrontendEffect func(entry.Effect)) {
	cfg.Cluster, cfg.Identity, cfg.MaxStreams = h.Settings.Cluster, h.Identity, h.Settings.MaxStreams
	limit := h.Settings.RetryLimit
	cfg.RetryLimit = &admission.RetryLimit{
		Ratio: limit.Ratio, Constant: limit.Constant, Window: limit.Window, Entries: limit.Entries,
	}
	cfg.Usage = entry.UsageConfig{Window: h.Settings.Usage.Window, BootUnixTime: bootUnixTime()}
	h.loop = newLoop(entry.New(cfg), func(e entry.Effect) { h.applyEffect(e, applyFrontendEffect) })
}

// bootUnixTime is the Unix time at which the VM booted, according to its current wall clock.
func bootUnixTime() time.Duration { return time.Duration(time.Now().UnixNano()) - clock.SinceBoot() }

func (h *Host) applyEffect(e entry.Effect, applyFrontendEffect func(entry.Effect)) {
	switch e := e.(type) {
	case entry.LogDecision:
		h.decisionLog.enqueue(e)
	case entry.Report:
		h.Spawn(func() { h.sendReport(e.Request) })
	case entry.ReportToPeers:
		h.peers.sendAll(e)
	case entry.NotifySuspects:
		h.peers.notices.notify(e)
	case entry.RequestView:
		h.Spawn(func() { h.peers.requestView(e) })
	case entry.AnswerView:
		h.peers.viewRequests.resolve(e.Key, e.View)
	case entry.AnswerSum:
		h.peers.sumRequests.resolve(e.Key, e.Sum)
	case entry.AnswerPermit:
		h.peers.permitRequests.resolve(e.Key, e.Answer)
	case entry.RequestPermit:
		h.Spawn(func() { h.peers.requestPermit(e) })
	case entry.RequestSum:
		h.Spawn(func() { h.RefreshPeerSum(h.TaskContext) })
	default:
		applyFrontendEffect(e)
	}
}

func (h *Host) sendReport(req *pb.ReportRequest) {
	ctx, cancel := context.WithTimeout(h.TaskContext, reportTimeout)
	defer cancel()
	var resp *pb.ReportResponse
	err := h.Control.Call(ctx, ControlAttemptTimeout, func(ctx context.Context, c Replica) error {
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

// Post passes an event to the reducer. It does nothing after the reducer has stopped.
func (h *Host) Post(ev entry.Event) { h.loop.post(ev) }

// OpenMailbox creates the mailbox of effects for a request. Call CloseMailbox when done.
func (h *Host) OpenMailbox(id string) <-chan entry.Effect { return h.loop.openMailbox(id) }

// CloseMailbox removes the mailbox of a request.
func (h *Host) CloseMailbox(id string) { h.loop.closeMailbox(id) }

// OpenRequests returns how many requests have a mailbox.
func (h *Host) OpenRequests() int { return h.loop.openRequests() }

// Snapshot returns the snapshot that the reducer published last, an empty one before Start.
func (h *Host) Snapshot() *entry.Snapshot {
	if h.loop == nil {
		return &entry.Snapshot{}
	}
	return h.loop.snapshot.Load()
}

// Stopped is closed once the reducer has ended: who waits for an effect then gets none any more.
func (h *Host) Stopped() <-chan struct{} { return h.loop.stopped }

// AwaitConfiguration waits up to the given time until the entry has a configuration. It returns
// false on timeout and if ctx has ended.
func (h *Host) AwaitConfiguration(ctx context.Context, wait time.Duration) bool {
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

// PeerAddress returns the address for other entries, which also serves metrics and health.
func (h *Host) PeerAddress() string { return h.peerListener.Addr().String() }

// Frontend serves callers by one protocol. Run starts and stops it.
type Frontend struct {
	// Loops are background loops that run until their context ends.
	Loops []func(context.Context)
	// Serve are the accept loops of the listeners. Each returns when Shutdown is
	// called, or earlier with an error, which ends the entry.
	Serve []func() error
	// PeerHandler serves calls from other entries, or is nil if there are none.
	PeerHandler http.Handler
	// OpenRequests returns how many requests a graceful stop has to wait for.
	OpenRequests func() int
	// CloseKept closes the connections between two requests that have nothing to read, or is nil. It is called
	// repeatedly while a graceful stop waits; OpenRequests includes those it has not closed yet.
	CloseKept func()
	// CancelRequests ends the requests that still run at the deadline of a graceful stop. It may do so until
	// Shutdown ends.
	CancelRequests func()
	// Shutdown closes the listeners. Tasks of the entry still run.
	Shutdown func(ctx context.Context)
}

// closeKept closes the connections that no request is on and returns how many requests are open after it.
func (f *Frontend) closeKept() int {
	if f.CloseKept != nil {
		f.CloseKept()
	}
	return f.OpenRequests()
}

// Run serves until ctx ends, then stops gracefully: it withdraws the entry from the
// addresses that callers get, still serves callers with older addresses, finishes
// running requests, and only then closes the listeners. Errors: Failed.
func (h *Host) Run(ctx context.Context, frontend Frontend) error {
	loopCtx, stop := context.WithCancel(context.Background())
	defer stop()
	peerServer := &http.Server{Handler: h.peerHandler(frontend.PeerHandler), ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: rpc.MaxHeaderBytes}
	failed := make(chan error, len(frontend.Serve)+1)
	var loops conc.WaitGroup
	for _, loop := range append([]func(context.Context){h.loop.run, h.writeDecisions, h.watch, h.observeReadiness}, frontend.Loops...) {
		loops.Go(func() { h.ExitOnPanic(func() { loop(loopCtx) }) })
	}
	for _, serve := range append(frontend.Serve, func() error { return peerServer.Serve(h.peerListener) }) {
		loops.Go(func() { failed <- runListener(serve) })
	}
	if h.Settings.MetricsAddress != "" {
		loops.Go(func() { h.ExitOnPanic(func() { h.Metrics.Serve(loopCtx, h.Settings.MetricsAddress, h.Log) }) })
	}
	h.Log.Info("entry is serving", "callers", h.Identity.CallerAddress, "peers", h.PeerAddress(),
		"control", h.Settings.Control, "incarnation", h.Identity.Incarnation)
	var err error
	select {
	case <-ctx.Done():
		h.leave(&frontend)
	case err = <-failed:
		h.Log.Error("listener failed; stopping the entry", "error", err.Error())
	}
	shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	frontend.Shutdown(shutdownCtx)
	h.CancelTasks()
	_ = peerServer.Shutdown(shutdownCtx)
	_ = peerServer.Close()
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

// leave performs the graceful stop up to the point where closing the listeners cuts off no
// request.
func (h *Host) leave(frontend *Frontend) {
	acceptFor := h.Settings.EntryListTTL + AddressPropagation
	h.Log.Info("entry is leaving", "keep", acceptFor.String(), "requests", frontend.OpenRequests())
	begun := time.Now()
	h.Post(entry.Stop{
		AcceptFor: acceptFor, ShortOnlyAfter: h.Settings.EntryListTTL + connectGrace, EndsAfter: acceptFor + h.Settings.StopTimeout,
	})
	time.Sleep(acceptFor)
	deadline := time.Now().Add(h.Settings.StopTimeout)
	for frontend.closeKept() > 0 && time.Now().Before(deadline) {
		time.Sleep(StopPollInterval)
	}
	h.Log.Info("entry closes its listeners", "requests", frontend.OpenRequests(), "after_ms", time.Since(begun).Milliseconds())
	frontend.CancelRequests()
}

// CancelTasks ends TaskContext. Run does so once the listeners are closed.
func (h *Host) CancelTasks() { h.cancelTasks() }

// peerHandler serves other entries, metrics and health on the peer address.
func (h *Host) peerHandler(frontendHandler http.Handler) http.Handler {
	mux := http.NewServeMux()
	// Callers' bodies have a budget of their own, so that they can't keep the entries from each other.
	bodies := intake.NewBudget(h.Settings.CallMemory(), h.Metrics.Scope.SubScope("peers"), h.Log)
	if frontendHandler != nil {
		mux.Handle("/", h.Auth.RequireKey(bodies.Handler(frontendHandler, maxRecordCallBytes)))
	}
	mux.Handle(pb.PeerLoadPathPrefix, h.Auth.RequireKey(bodies.Handler(pb.NewPeerLoadServer(h.peers), maxPeerCallBytes)))
	mux.Handle("GET /metrics", h.Metrics.Handler)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		if h.NotReadyReason() != "" {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

// Reload applies the settings that can change while the entry runs: the addresses
// of control. The others take effect at the next start.
func (h *Host) Reload(set *settings.Entry) {
	h.Control.AddAddresses(set.Control)
	h.Log.Info("settings reloaded", "control", set.Control)
}
