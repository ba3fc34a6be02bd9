// Package devcert creates a temporary CA with one certificate for the demo and
// for tests. It is unsuitable for deployments: the CA's key is not stored, so
// that no second certificate can be issued.
package devcert

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/joomcode/errorx"

	"goldcrestseam.dev/goldcrestseam/internal/settings"
)

// Namespace holds the error types of this package.
var Namespace = errorx.NewNamespace("devcert")

// Failed is the type of all errors of this package.
var Failed = Namespace.NewType("failed")

// validity is how long the certificates are valid. It covers the longest test run.
const validity = 24 * time.Hour

// Write writes a CA, a certificate for the loopback addresses and its key to dir, and
// returns the settings that use them. Errors: Failed.
func Write(dir string) (settings.Auth, error) {
	caKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return settings.Auth{}, Failed.Wrap(err, "CA key")
	}
	ca := template("goldcrestseam test CA")
	ca.IsCA, ca.BasicConstraintsValid = true, true
	ca.KeyUsage = x509.KeyUsageCertSign
	caDER, err := x509.CreateCertificate(rand.Reader, ca, ca, &caKey.PublicKey, caKey)
	if err != nil {
		return settings.Auth{}, Failed.Wrap(err, "CA certificate")
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return settings.Auth{}, Failed.Wrap(err, "key")
	}
	leaf := template("goldcrestseam test process")
	leaf.IPAddresses = []net.IP{net.IPv4(127, 0, 0, 1), net.IPv6loopback}
	leaf.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	leafDER, err := x509.CreateCertificate(rand.Reader, leaf, ca, &key.PublicKey, caKey)
	if err != nil {
		return settings.Auth{}, Failed.Wrap(err, "certificate")
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return settings.Auth{}, Failed.Wrap(err, "key")
	}
	return writeFiles(dir, caDER, leafDER, keyDER)
}

func template(name string) *x509.Certificate {
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: big.NewInt(now.UnixNano()),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-time.Minute),
		NotAfter:     now.Add(validity),
	}
}

func writeFiles(dir string, caDER, leafDER, keyDER []byte) (settings.Auth, error) {
	auth := settings.Auth{
		CAFile:   filepath.Join(dir, "ca.pem"),
		CertFile: filepath.Join(dir, "cert.pem"),
		KeyFile:  filepath.Join(dir, "key.pem"),
	}
	files := []struct {
		path, kind string
		der        []byte
	}{
		{auth.CAFile, "CERTIFICATE", caDER},
		{auth.CertFile, "CERTIFICATE", leafDER},
		{auth.KeyFile, "PRIVATE KEY", keyDER},
	}
	for _, f := range files {
		data := pem.EncodeToMemory(&pem.Block{Type: f.kind, Bytes: f.der})
		if err := os.WriteFile(f.path, data, 0o600); err != nil {
			return settings.Auth{}, Failed.Wrap(err, "write")
		}
	}
	return auth, nil
}
