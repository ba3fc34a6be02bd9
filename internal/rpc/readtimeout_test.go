package rpc

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
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

// Guards against an answer that is abandoned although its bytes keep arriving.
func TestSlowButSteadyResponseIsRead(t *testing.T) {
	const timeout = 200 * time.Millisecond
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for range 10 {
			time.Sleep(timeout / 4)
			_, _ = io.WriteString(w, "piece")
			_ = http.NewResponseController(w).Flush()
		}
	}))
	t.Cleanup(server.Close)
	if err := read(t, WithReadIdleTimeout(t.Context(), timeout), server.URL); err != nil {
		t.Error(err)
	}
}

func read(t *testing.T, ctx context.Context, url string) error {
	t.Helper()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		t.Fatal(err)
	}
	client := load(t, settings.Auth{TrustedNetwork: true}).Client()
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, err = io.ReadAll(resp.Body)
	return err
}
