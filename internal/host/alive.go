package host

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc/panics"
	"github.com/uber-go/tally/v4"

	"goldcrestseam.dev/goldcrestseam/internal/callerconn"
	"goldcrestseam.dev/goldcrestseam/internal/clock"
	"goldcrestseam.dev/goldcrestseam/internal/obs"
)

// aliveWithin is how long the control goroutine may take for one event, or the callers'
// listener to hand a connection over, before the entry no longer counts as ready: both take
// up to some 20 ms at 0.19 of a core, and who asks for readiness asks once a second.
const aliveWithin = time.Second

// NotReadyReason is why an entry can't serve callers.
type NotReadyReason string

// Reasons of NotReadyReason; the empty one is that of a ready entry.
const (
	NoConfiguration    NotReadyReason = "no configuration"
	ControlLoopStalled NotReadyReason = "the control goroutine stands still"
	AcceptLoopStalled  NotReadyReason = "callers' connections are not taken"
)

// NotReadyReason tells why this entry can't serve callers now, empty if it can. Each change is
// logged.
//
// Failure: an entry that holds a configuration and decides nothing any more, or takes no
// connections, would say that it is ready for ever and draw callers that nobody answers.
func (h *Host) NotReadyReason() NotReadyReason {
	why := h.notReadyReason()
	if last := h.lastNotReady.Swap(&why); last == nil || *last != why {
		h.Log.Info(obs.LineReadiness, "ready", why == "", "reason", string(why),
			"event_ms", h.loop.busyFor().Milliseconds(), "hand_over_ms", h.callers.busyFor().Milliseconds())
	}
	return why
}

func (h *Host) notReadyReason() NotReadyReason {
	switch {
	case !h.Snapshot().Ready():
		return NoConfiguration
	case h.loop.busyFor() > aliveWithin:
		return ControlLoopStalled
	case h.callers.busyFor() > aliveWithin:
		return AcceptLoopStalled
	default:
		return ""
	}
}

// busy is since when something has been done, in time since boot; 0 while it waits.
type busy struct{ since atomic.Int64 }

func (b *busy) begin(now time.Duration) { b.since.Store(int64(now)) }

func (b *busy) end() { b.since.Store(0) }

// busyFor is how long it has been done by now.
func (b *busy) busyFor() time.Duration {
	since := time.Duration(b.since.Load())
	if since == 0 {
		return 0
	}
	return max(0, clock.SinceBoot()-since)
}

// CallerListener gives the connections of the listener for callers: writes to them are
// bounded, each one accepted is counted, and how long it takes to hand one over is known.
func (h *Host) CallerListener(ln net.Listener) net.Listener {
	return &callerListener{
		Listener: callerconn.Listener{Listener: ln}, handOver: &h.callers,
		accepted: h.Metrics.Scope.Counter("caller_connections"),
	}
}

// callerListener is used by one accept loop.
type callerListener struct {
	net.Listener
	handOver *busy
	accepted tally.Counter
}

// Accept waits for the next connection. Until it is called again the last one is being
// handed over.
func (l *callerListener) Accept() (net.Conn, error) {
	l.handOver.end()
	conn, err := l.Listener.Accept()
	l.handOver.begin(clock.SinceBoot())
	if err == nil {
		l.accepted.Inc(1)
	}
	return conn, err
}

// untilEnd runs a listener's loop and gives why it ended.
//
// Failure: conc keeps a panic until Wait, which comes at the end of the process. An entry
// whose callers' loop had panicked would live on without it and without a line.
func untilEnd(serve func() error) error {
	err := Failed.New("a listener's loop ended by itself")
	r := panics.Try(func() {
		if e := serve(); e != nil {
			err = Failed.Wrap(e, "a listener's loop ended")
		}
	})
	if r != nil {
		return Failed.New("a listener's loop panicked: %s", r.String())
	}
	return err
}
