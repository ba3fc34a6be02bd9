package rpc

import (
	"context"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"goldcrestseam.dev/goldcrestseam/internal/devcert"
	"goldcrestseam.dev/goldcrestseam/internal/settings"
)

func keyAuth(t *testing.T, key string) settings.Auth {
	t.Helper()
	path := filepath.Join(t.TempDir(), "key")
	if err := os.WriteFile(path, []byte(key), 0o600); err != nil {
		t.Fatal(err)
	}
	return settings.Auth{SharedKeyFile: path}
}

func load(t *testing.T, s settings.Auth) *Auth {
	t.Helper()
	a, err := LoadAuth(s)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// serve starts a server that answers 200 to the clients that Auth a admits, and returns its
// address.
func serve(t *testing.T, a *Auth) string {
	t.Helper()
	ln, err := a.Listen(context.Background(), "127.0.0.1:0", 0, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	ok := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})
	srv := &http.Server{Handler: a.RequireKey(ok)}
	go srv.Serve(ln)
	t.Cleanup(func() { srv.Close() })
	return ln.Addr().String()
}

func status(a *Auth, address string) int {
	resp, err := a.Client().Get(a.URL(address))
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// Guards against calls between two deployments. A process of another deployment takes over an
// address that this one still uses. Its calls must be rejected.
func TestSharedKeyRejectsOtherDeployments(t *testing.T) {
	server := load(t, keyAuth(t, "0123456789abcdef"))
	address := serve(t, server)
	if got := status(server, address); got != http.StatusOK {
		t.Fatalf("own key: status %d", got)
	}
	for name, client := range map[string]*Auth{
		"other key": load(t, keyAuth(t, "fedcba9876543210")),
		"no key":    load(t, settings.Auth{}),
	} {
		if got := status(client, address); got != http.StatusUnauthorized {
			t.Errorf("%s: status %d, want 401", name, got)
		}
	}
}

func TestTLSAuthenticatesBothSides(t *testing.T) {
	own, err := devcert.Write(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	other, err := devcert.Write(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	server := load(t, own)
	address := serve(t, server)
	if got := status(server, address); got != http.StatusOK {
		t.Fatalf("own CA: status %d", got)
	}
	if got := status(load(t, other), address); got != 0 {
		t.Errorf("another CA: status %d, want no connection", got)
	}
	if got := status(load(t, settings.Auth{}), address); got == http.StatusOK {
		t.Error("plain HTTP was admitted")
	}
}

func TestLoadAuthRefusesBrokenFiles(t *testing.T) {
	broken := settings.Auth{CertFile: "none", KeyFile: "none", CAFile: "none"}
	for _, s := range []settings.Auth{{SharedKeyFile: "none"}, broken} {
		if _, err := LoadAuth(s); err == nil {
			t.Errorf("no error for %+v", s)
		}
	}
}

func TestBytesOnTheWireAreCounted(t *testing.T) {
	server := load(t, keyAuth(t, "0123456789abcdef"))
	scope := tally.NewTestScope("", nil)
	server.CountBytes(scope)
	status(server, serve(t, server))
	// Client and server are the same process. The client may have the answer before the server
	// has counted it.
	var sent, received int64
	for range 500 {
		counters := scope.Snapshot().Counters()
		sent, received = counters[MetricBytesSent+"+"].Value(), counters[MetricBytesReceived+"+"].Value()
		if sent > 0 && sent == received {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("sent %d, received %d; they never became equal", sent, received)
}
