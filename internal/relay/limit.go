package relay

import (
	"context"
	"errors"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/clock"
	"goldcrestseam.dev/goldcrestseam/internal/decision"
)

// answerWay is what of a caller's patience is left for the way: the caller counts from when
// it sends and needs the answer before it leaves. Up to 3 ms each way between a caller and
// an entry, and 14 ms for an entry with 0.19 of a core to read the request and to write
// the answer.
const answerWay = 20 * time.Millisecond

// errTimeOver is the cause of a context that ended with its request's time.
var errTimeOver = errors.New("the request's time is over")

// timeLeft is how long the request may still take.
func timeLeft(w *decision.Work) time.Duration { return w.FinishBy - clock.SinceBoot() }

// timeForServer is how long a server may take for it. A stream is cut no sooner than its
// caller leaves: events under way are of use up to then, and no last word follows them.
func (j *job) timeForServer() time.Duration {
	left := timeLeft(&j.arrived.Work)
	if j.route.Stream {
		left += answerWay
	}
	return left
}

// withLimit gives a context that ends when the request's time is over, answerWay later if
// its stream has begun by then.
func (j *job) withLimit(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	last := time.AfterFunc(timeLeft(&j.arrived.Work)+answerWay, func() { cancel(errTimeOver) })
	first := time.AfterFunc(timeLeft(&j.arrived.Work), func() {
		if !j.begun.Load() {
			cancel(errTimeOver)
		}
	})
	return ctx, func() {
		first.Stop()
		last.Stop()
		cancel(context.Canceled)
	}
}

// callerLeft tells whether the context ended since the caller is gone.
func callerLeft(ctx context.Context) bool {
	return ctx.Err() != nil && !errors.Is(context.Cause(ctx), errTimeOver)
}
