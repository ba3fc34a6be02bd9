// Package rpc sets up what the system's own processes talk over: Twirp on
// net/http, protected by a shared key, by TLS or by both.
package rpc

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"crypto/tls"
	"crypto/x509"
	"encoding/hex"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/joomcode/errorx"
	"github.com/uber-go/tally/v4"

	"goldcrestseam.dev/goldcrestseam/internal/settings"
)

// Namespace holds the error types of this package.
var Namespace = errorx.NewNamespace("rpc")

// BadAuth is the type of errors about keys and certificates that can't be used.
var BadAuth = Namespace.NewType("bad_auth")

// headerKey carries the hex SHA-256 of the shared key.
const headerKey = "X-Goldcrest-Key"

const (
	dialTimeout = 500 * time.Millisecond
	// idleTimeout is short since a connection can go silent for good while it
	// idles: one that has idled longer is not used again.
	idleTimeout = 5 * time.Second
	// maxIdlePerHost bounds idle connections to one process.
	maxIdlePerHost = 8
)

// Auth holds the loaded keys of one process.
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

// Scheme is the URL scheme that Client speaks.
func (a *Auth) Scheme() string {
	if a.cert != nil {
		return "https"
	}
	return "http"
}

// URL gives the base URL of the process at address.
func (a *Auth) URL(address string) string { return a.Scheme() + "://" + address }

// Client gives an HTTP client that shows the key and certificate. Callers set
// a deadline with the context of each call; Go's transport sends a call again
// only when no byte of it was written on a connection that had idled.
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

// Listen opens the listener for Handler.
func (a *Auth) Listen(ctx context.Context, address string) (net.Listener, error) {
	var lc net.ListenConfig
	plain, err := lc.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	ln := countedListener{Listener: plain, auth: a}
	if a.cert == nil {
		return ln, nil
	}
	return tls.NewListener(ln, &tls.Config{
		Certificates: []tls.Certificate{*a.cert}, ClientCAs: a.roots,
		ClientAuth: tls.RequireAndVerifyClientCert, MinVersion: tls.VersionTLS13,
	}), nil
}

// RequireKey refuses requests that don't show the shared key. Without it a process
// of another deployment that reuses an address could step into this one.
func (a *Auth) RequireKey(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		shown := r.Header.Get(headerKey)
		if subtle.ConstantTimeCompare([]byte(shown), []byte(a.keyHash)) != 1 {
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
	if most, ok := r.Context().Value(silenceKey{}).(time.Duration); ok {
		return bounded(t.next, r, most)
	}
	return t.next.RoundTrip(r)
}
