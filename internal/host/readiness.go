package host

import (
	"context"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc/panics"
	"github.com/uber-go/tally/v4"

	"goldcrestseam.dev/goldcrestseam/internal/callerconn"
	"goldcrestseam.dev/goldcrestseam/internal/clock"
	"goldcrestseam.dev/goldcrestseam/internal/listen"
	"goldcrestseam.dev/goldcrestseam/internal/obs"
)

// stallThreshold is how long the control goroutine may process one event, or the accept loop
// may hand over one caller connection, before the entry counts as not ready. Both take up to
// about 20 ms at 0.19 of a core, and readiness probes come once a second.
const stallThreshold = time.Second

// NotReadyReason says why an entry can't serve callers. It is empty for a ready entry.
type NotReadyReason string

// Reasons why an entry is not ready.
const (
	NoConfiguration    NotReadyReason = "no configuration"
	ControlLoopStalled NotReadyReason = "the control goroutine is stalled"
	AcceptLoopStalled  NotReadyReason = "caller connections are not accepted"
)

// notReadyLogInterval is how often an entry that stays not ready logs that.
const notReadyLogInterval = 5 * time.Second

// readiness is an entry's readiness as last observed, and since when, as time since boot.
type readiness struct {
	reason   NotReadyReason
	since    time.Duration
	loggedAt time.Duration
}

// NotReadyReason returns why this entry can't serve callers at present, or the empty reason if
// it can.
func (h *Host) NotReadyReason() NotReadyReason {
	reason, _ := h.NotReady()
	return reason
}

// NotReady returns why this entry can't serve callers at present, empty if it can, and for how
// long that has been observed. It logs each change, and at intervals an entry that stays not ready
// with what control's replicas answer.
//
// Without the stall checks, an entry that has a configuration but no longer processes events
// or accepts connections would report ready forever and attract callers that get no answer.
func (h *Host) NotReady() (NotReadyReason, time.Duration) {
	now := clock.SinceBoot()
	observed := &readiness{reason: h.notReadyReason(), since: now, loggedAt: now}
	last := h.lastReadiness.Load()
	if last != nil && last.reason == observed.reason {
		if observed.reason == "" || now < last.loggedAt+notReadyLogInterval {
			return last.reason, now - last.since
		}
		observed.since = last.since
	}
	if h.lastReadiness.CompareAndSwap(last, observed) {
		h.logReadiness(observed, now)
	}
	return observed.reason, now - observed.since
}

// observeReadiness logs changes of the readiness also where nobody asks for it.
func (h *Host) observeReadiness(ctx context.Context) {
	for Sleep(ctx, time.Second) {
		h.NotReady()
	}
}

func (h *Host) logReadiness(r *readiness, now time.Duration) {
	h.Log.Info(obs.LineReadiness, "ready", r.reason == "", "reason", string(r.reason), "since_ms", (now - r.since).Milliseconds(),
		"event_ms", h.loop.busyFor().Milliseconds(), "hand_over_ms", h.callerHandOver.busyFor().Milliseconds(),
		"control_refusals", h.Control.Refusals())
}

func (h *Host) notReadyReason() NotReadyReason {
	switch {
	case !h.Snapshot().Ready():
		return NoConfiguration
	case h.loop.busyFor() > stallThreshold:
		return ControlLoopStalled
	case h.callerHandOver.busyFor() > stallThreshold:
		return AcceptLoopStalled
	default:
		return ""
	}
}

// busyTimer holds when the work in progress began, in time since boot, or 0 while idle.
type busyTimer struct{ since atomic.Int64 }

func (b *busyTimer) begin(now time.Duration) { b.since.Store(int64(now)) }

func (b *busyTimer) end() { b.since.Store(0) }

// busyFor returns how long the work in progress has taken so far, or 0 while idle.
func (b *busyTimer) busyFor() time.Duration {
	since := time.Duration(b.since.Load())
	if since == 0 {
		return 0
	}
	return max(0, clock.SinceBoot()-since)
}

// callerRefusal is the answer to a connection beyond the limit, in HTTP since all callers speak it.
const callerRefusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// CallerListener wraps the listener for callers: its open connections are bounded, writes to them have a time
// limit, accepted connections are counted, and the hand-over of each connection is timed for
// NotReadyReason.
func (h *Host) CallerListener(ln net.Listener) net.Listener {
	limited := listen.LimitListener(ln, listen.Limit{
		Connections: h.Settings.MaxCallerConnections(), Refusal: []byte(callerRefusal),
		OnClosed: func(refused bool) {
			h.Metrics.Scope.Tagged(map[string]string{"refused": strconv.FormatBool(refused)}).Counter("caller_connections_over_limit").Inc(1)
		},
	}, h.Log)
	return &callerListener{
		Listener: callerconn.Listener{Listener: limited}, handOver: &h.callerHandOver,
		accepted: h.Metrics.Scope.Counter("caller_connections"),
	}
}

// callerListener must be used by a single accept loop.
type callerListener struct {
	net.Listener
	handOver *busyTimer
	accepted tally.Counter
}

// Accept waits for the next connection. The time until it is called again counts as the
// hand-over of that connection.
func (l *callerListener) Accept() (net.Conn, error) {
	l.handOver.end()
	conn, err := l.Listener.Accept()
	l.handOver.begin(clock.SinceBoot())
	if err == nil {
		l.accepted.Inc(1)
	}
	return conn, err
}

// runListener runs a listener's accept loop and returns why it ended, including by a panic.
//
// Package conc holds a panic back until Wait, which is called only at the end of the process.
// Without the recovery here, an entry whose accept loop panicked would keep running without
// it and without a log line.
func runListener(serve func() error) error {
	err := Failed.New("a listener's accept loop returned without an error")
	r := panics.Try(func() {
		if e := serve(); e != nil {
			err = Failed.Wrap(e, "a listener's accept loop failed")
		}
	})
	if r != nil {
		return Failed.New("a listener's accept loop panicked: %s", r.String())
	}
	return err
}
