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

// Guards against a call that hangs at a peer that gives nothing, before its answer or in the middle of it.
func TestSilentPeerEndsTheCall(t *testing.T) {
	const most = 100 * time.Millisecond
	for name, first := range map[string]string{"no answer": "", "half an answer": "half"} {
		release := make(chan struct{})
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if first != "" {
				_, _ = io.WriteString(w, first)
				_ = http.NewResponseController(w).Flush()
			}
			<-release
		}))
		t.Cleanup(server.Close)
		t.Cleanup(func() { close(release) })
		if err := read(t, WithReadIdleTimeout(t.Context(), most), server.URL); err == nil {
			t.Errorf("%s: read to its end", name)
		}
	}
}

// Guards against an answer that is given up though it keeps coming.
func TestAnswerThatKeepsComingIsTaken(t *testing.T) {
	const most = 200 * time.Millisecond
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for range 10 {
			time.Sleep(most / 4)
			_, _ = io.WriteString(w, "piece")
			_ = http.NewResponseController(w).Flush()
		}
	}))
	t.Cleanup(server.Close)
	if err := read(t, WithReadIdleTimeout(t.Context(), most), server.URL); err != nil {
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
