package relay

import (
	"context"
	"errors"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/clock"
	"goldcrestseam.dev/goldcrestseam/internal/decision"
)

// transitAllowance is the part of a caller's timeout that is reserved for the network and for
// the entry's own work: the caller counts from when it sends, and needs the answer before it
// disconnects. It covers up to 3 ms each way between caller and entry, and 14 ms for an entry
// with 0.19 of a core to read the request and to write the answer.
const transitAllowance = 20 * time.Millisecond

// errDeadlinePassed is the cause of a context that ended at its request's deadline.
var errDeadlinePassed = errors.New("request deadline passed")

// errEntryEnds is the cause of a context that ended with the entry's planned stop.
var errEntryEnds = errors.New("the entry ends")

// remainingTime returns the time until the request's deadline.
func remainingTime(w *decision.Work) time.Duration { return w.FinishBy - clock.SinceBoot() }

// serverTimeout returns how long a server may take. A stream gets transitAllowance on top, until
// its caller disconnects: events that arrive up to then are still of use, and no refusal can
// follow a stream.
func (j *job) serverTimeout() time.Duration {
	left := remainingTime(&j.arrived.Work)
	if j.route.Stream {
		left += transitAllowance
	}
	return left
}

// withDeadline returns a context that ends at the request's deadline, or transitAllowance later
// if its stream has begun by then, and at the end of a planned stop.
func (j *job) withDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	streamTimer := time.AfterFunc(remainingTime(&j.arrived.Work)+transitAllowance, func() { cancel(errDeadlinePassed) })
	timer := time.AfterFunc(remainingTime(&j.arrived.Work), func() {
		if !j.streamBegun.Load() {
			cancel(errDeadlinePassed)
		}
	})
	stopWatching := context.AfterFunc(j.s.ended, func() { cancel(errEntryEnds) })
	return ctx, func() {
		stopWatching()
		timer.Stop()
		streamTimer.Stop()
		cancel(context.Canceled)
	}
}

// callerDisconnected reports whether the context ended because the caller disconnected.
func callerDisconnected(ctx context.Context) bool {
	cause := context.Cause(ctx)
	return ctx.Err() != nil && !errors.Is(cause, errDeadlinePassed) && !errors.Is(cause, errEntryEnds)
}
