package rpc

import (
	"context"
	"io"
	"net/http"
	"time"
)

type readIdleTimeoutKey struct{}

// WithReadIdleTimeout bounds how long a call made with the context waits for the next bytes of
// its answer. The context's deadline bounds the whole call.
//
// A large answer may take longer on a slow link than the deadline of a short call. If the call
// is abandoned and sent again, the answer never arrives, and each retry adds to the load of the
// link that delays it.
func WithReadIdleTimeout(ctx context.Context, timeout time.Duration) context.Context {
	return context.WithValue(ctx, readIdleTimeoutKey{}, timeout)
}

// roundTripWithReadIdleTimeout sends the request and cancels it when the peer sends no bytes for
// the timeout.
func roundTripWithReadIdleTimeout(next http.RoundTripper, r *http.Request, timeout time.Duration) (*http.Response, error) {
	ctx, cancel := context.WithCancel(r.Context())
	timer := time.AfterFunc(timeout, cancel)
	resp, err := next.RoundTrip(r.WithContext(ctx))
	if err != nil {
		timer.Stop()
		cancel()
		return nil, err
	}
	timer.Reset(timeout)
	resp.Body = &idleTimeoutBody{ReadCloser: resp.Body, timer: timer, timeout: timeout, cancel: cancel}
	return resp, nil
}

// idleTimeoutBody is a response body that restarts the timer whenever bytes arrive.
type idleTimeoutBody struct {
	io.ReadCloser
	timer   *time.Timer
	timeout time.Duration
	cancel  context.CancelFunc
}

func (b *idleTimeoutBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.timer.Reset(b.timeout)
	}
	return n, err
}

func (b *idleTimeoutBody) Close() error {
	b.timer.Stop()
	err := b.ReadCloser.Close()
	b.cancel()
	return err
}
