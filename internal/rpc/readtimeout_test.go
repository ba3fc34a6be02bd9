package rpc

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/settings"
)

// Guards against a call that hangs on a peer that sends no bytes, before the answer or in the
// middle of it.
func TestCallEndsWhenPeerSendsNoBytes(t *testing.T) {
	const timeout = 100 * time.Millisecond
	for name, partial := range map[string]string{"no answer": "", "half an answer": "half"} {
		release := make(chan struct{})
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if partial != "" {
				_, _ = io.WriteString(w, partial)
				_ = http.NewResponseController(w).Flush()
			}
			<-release
		}))
		t.Cleanup(server.Close)
		t.Cleanup(func() { close(release) })
		if err := read(t, WithReadIdleTimeout(t.Context(), timeout), server.URL); err == nil {
			t.Errorf("%s: the call did not fail", name)
		}
	}
}

// Guards against an answer that is abandoned although its bytes keep arriving. The time is virtual, so
// that pieces are as far apart as intended on a busy machine, too.
func TestSlowButSteadyResponseIsRead(t *testing.T) {
	const timeout = 200 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		ln := newPipeListener()
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			for range 10 {
				time.Sleep(timeout - time.Millisecond)
				_, _ = io.WriteString(w, "piece")
				_ = http.NewResponseController(w).Flush()
			}
		})}
		go func() { _ = server.Serve(ln) }()
		client := load(t, settings.Auth{TrustedNetwork: true}).Client()
		client.Transport.(*keyTransport).next.(*http.Transport).DialContext = ln.dial
		if err := readFrom(t, WithReadIdleTimeout(t.Context(), timeout), client, "http://pipe"); err != nil {
			t.Error(err)
		}
		client.CloseIdleConnections()
		_ = server.Close()
	})
}

// pipeListener accepts connections within the process, which virtual time can wait for.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *pipeListener) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case l.conns <- server:
		return client, nil
	case <-l.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func read(t *testing.T, ctx context.Context, url string) error {
	t.Helper()
	return readFrom(t, ctx, load(t, settings.Auth{TrustedNetwork: true}).Client(), url)
}

func readFrom(t *testing.T, ctx context.Context, client *http.Client, url string) error {
	t.Helper()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, err = io.ReadAll(resp.Body)
	return err
}
