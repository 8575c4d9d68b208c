// Package saddlecert issues X.509 certificates for tests.
package saddlecert

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// validity is how long a certificate is valid before and after the time at which it
// was created.
const validity = time.Hour

// Authority is the certificate authority of one fleet.
type Authority struct {
	CertFile string // path of the authority's certificate in PEM
	dir      string
	cert     *x509.Certificate
	key      *ecdsa.PrivateKey
}

// New returns an authority. All its files are removed when the test ends.
func New(t testing.TB) *Authority {
	t.Helper()
	a := &Authority{dir: t.TempDir(), key: newKey(t)}
	a.cert = &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "fleet"},
		NotBefore:             time.Now().Add(-validity),
		NotAfter:              time.Now().Add(validity),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	a.CertFile = a.writePEM(t, "authority.pem", "CERTIFICATE", a.sign(t, a.cert, &a.key.PublicKey))
	return a
}

// Issue signs a certificate with the given common name and returns the paths of the
// certificate and its key in PEM.
func (a *Authority) Issue(t testing.TB, name string) (certFile, keyFile string) {
	t.Helper()
	key := newKey(t)
	cert := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-validity),
		NotAfter:     time.Now().Add(validity),
	}
	der, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	certFile = a.writePEM(t, name+".pem", "CERTIFICATE", a.sign(t, cert, &key.PublicKey))
	return certFile, a.writePEM(t, name+"-key.pem", "EC PRIVATE KEY", der)
}

func (a *Authority) sign(t testing.TB, cert *x509.Certificate, key *ecdsa.PublicKey) []byte {
	t.Helper()
	der, err := x509.CreateCertificate(rand.Reader, cert, a.cert, key, a.key)
	if err != nil {
		t.Fatal(err)
	}
	return der
}

func (a *Authority) writePEM(t testing.TB, name, blockType string, der []byte) string {
	t.Helper()
	file := filepath.Join(a.dir, name)
	if err := os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der}), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

func newKey(t testing.TB) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}
