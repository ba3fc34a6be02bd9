// Package rpc sets up the calls between the processes of this system: Twirp on net/http,
// protected by a shared key, by TLS or by both.
package rpc

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"crypto/tls"
	"crypto/x509"
	"encoding/hex"
	"log/slog"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/joomcode/errorx"
	"github.com/uber-go/tally/v4"

	"goldcrestseam.dev/goldcrestseam/internal/listen"
	"goldcrestseam.dev/goldcrestseam/internal/settings"
)

// Namespace holds the error types of this package.
var Namespace = errorx.NewNamespace("rpc")

// BadAuth is the type of errors about keys and certificates that can't be used.
var BadAuth = Namespace.NewType("bad_auth")

// headerKey is the header that carries the hex SHA-256 of the shared key.
const headerKey = "X-Goldcrest-Key"

const (
	dialTimeout = 500 * time.Millisecond
	// idleTimeout is short because the peer of an idle connection can become unreachable without
	// closing it. A connection that has been idle longer is not reused.
	idleTimeout = 5 * time.Second
	// maxIdlePerHost bounds the idle connections to one process.
	maxIdlePerHost = 8
)

// Auth holds the keys and certificates of one process.
type Auth struct {
	keyHash string
	cert    *tls.Certificate
	roots   *x509.CertPool
	// sent and received count bytes on the wire; nil until CountBytes.
	sent     tally.Counter
	received tally.Counter
}

// LoadAuth reads the files that the settings name. Errors: BadAuth.
func LoadAuth(s settings.Auth) (*Auth, error) {
	a := &Auth{}
	if s.SharedKeyFile != "" {
		key, err := os.ReadFile(s.SharedKeyFile)
		if err != nil {
			return nil, BadAuth.Wrap(err, "shared key")
		}
		sum := sha256.Sum256(key)
		a.keyHash = hex.EncodeToString(sum[:])
	}
	if !s.TLS() {
		return a, nil
	}
	cert, err := tls.LoadX509KeyPair(s.CertFile, s.KeyFile)
	if err != nil {
		return nil, BadAuth.Wrap(err, "certificate")
	}
	roots, err := os.ReadFile(s.CAFile)
	if err != nil {
		return nil, BadAuth.Wrap(err, "CA")
	}
	a.cert, a.roots = &cert, x509.NewCertPool()
	if !a.roots.AppendCertsFromPEM(roots) {
		return nil, BadAuth.New("%s holds no certificate", s.CAFile)
	}
	return a, nil
}

// Scheme returns the URL scheme that Client uses.
func (a *Auth) Scheme() string {
	if a.cert != nil {
		return "https"
	}
	return "http"
}

// URL returns the base URL of the process at address.
func (a *Auth) URL(address string) string { return a.Scheme() + "://" + address }

// Client returns an HTTP client that presents the key and certificate. Callers set a deadline
// with the context of each call. Go's transport retries a call only if no byte of it was written
// on a connection that had been idle.
func (a *Auth) Client() *http.Client {
	transport := &http.Transport{
		DialContext:         a.dial,
		IdleConnTimeout:     idleTimeout,
		MaxIdleConnsPerHost: maxIdlePerHost,
	}
	if a.cert != nil {
		transport.TLSClientConfig = &tls.Config{
			Certificates: []tls.Certificate{*a.cert}, RootCAs: a.roots, MinVersion: tls.VersionTLS13,
		}
	}
	return &http.Client{Transport: &keyTransport{next: transport, keyHash: a.keyHash}}
}

// MaxHeaderBytes bounds the heads of calls between the system's processes.
const MaxHeaderBytes = 16 << 10

// Listen opens the listener for the process's handlers, with TLS if there is a certificate. At most maxConnections are
// open, 0 means no limit. Errors: those of listen.Open.
func (a *Auth) Listen(ctx context.Context, address string, maxConnections int, log *slog.Logger) (net.Listener, error) {
	tcp, err := listen.Open(ctx, address, log)
	if err != nil {
		return nil, err
	}
	limited := listen.LimitListener(tcp, listen.Limit{Connections: maxConnections}, log)
	ln := countedListener{Listener: limited, auth: a}
	if a.cert == nil {
		return ln, nil
	}
	return tls.NewListener(ln, &tls.Config{
		Certificates: []tls.Certificate{*a.cert}, ClientCAs: a.roots,
		ClientAuth: tls.RequireAndVerifyClientCert, MinVersion: tls.VersionTLS13,
	}), nil
}

// RequireKey rejects requests without the shared key. Otherwise a process of another deployment
// that takes over an address could join this deployment.
func (a *Auth) RequireKey(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		presented := r.Header.Get(headerKey)
		if subtle.ConstantTimeCompare([]byte(presented), []byte(a.keyHash)) != 1 {
			http.Error(w, "wrong or missing shared key", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}

type keyTransport struct {
	next    http.RoundTripper
	keyHash string
}

func (t *keyTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if t.keyHash != "" {
		r = r.Clone(r.Context())
		r.Header.Set(headerKey, t.keyHash)
	}
	if timeout, ok := r.Context().Value(readIdleTimeoutKey{}).(time.Duration); ok {
		return roundTripWithReadIdleTimeout(t.next, r, timeout)
	}
	return t.next.RoundTrip(r)
}
