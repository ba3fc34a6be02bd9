package rpc

import (
	"context"
	"io"
	"net/http"
	"time"
)

type silenceKey struct{}

// WithReadIdleTimeout bounds how long a call made with the context waits for the next bytes of its
// answer, where the context's deadline bounds the whole call.
//
// Failure: an answer takes longer on its way than a short call may. Given up as a whole and
// asked for again it never arrives, and each try puts more onto the link that holds it up.
func WithReadIdleTimeout(ctx context.Context, most time.Duration) context.Context {
	return context.WithValue(ctx, silenceKey{}, most)
}

// bounded sends the request and ends it when its peer gives nothing for so long.
func bounded(next http.RoundTripper, r *http.Request, most time.Duration) (*http.Response, error) {
	ctx, cancel := context.WithCancel(r.Context())
	timer := time.AfterFunc(most, cancel)
	resp, err := next.RoundTrip(r.WithContext(ctx))
	if err != nil {
		timer.Stop()
		cancel()
		return nil, err
	}
	timer.Reset(most)
	resp.Body = &boundedBody{ReadCloser: resp.Body, timer: timer, most: most, cancel: cancel}
	return resp, nil
}

// boundedBody is an answer's body whose bytes must keep coming.
type boundedBody struct {
	io.ReadCloser
	timer  *time.Timer
	most   time.Duration
	cancel context.CancelFunc
}

func (b *boundedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.timer.Reset(b.most)
	}
	return n, err
}

func (b *boundedBody) Close() error {
	b.timer.Stop()
	err := b.ReadCloser.Close()
	b.cancel()
	return err
}
