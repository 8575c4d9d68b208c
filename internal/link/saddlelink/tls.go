package saddlelink

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net"
	"os"

	"github.com/rotisserie/eris"

	"github.com/fireflysaddle/fireflysaddle"
)

// TLS is TCP under TLS 1.3 whose both ends prove by a certificate of the
// fleet's own authority that they belong to it. The name in a certificate is
// not compared with the address: addresses of VMs change, the authority signs
// for nothing but the fleet.
type TLS struct {
	config *tls.Config
}

// AuthorityError says that a file holds no certificate of an authority.
type AuthorityError struct {
	File string
}

// Error names the file.
func (e *AuthorityError) Error() string {
	return fmt.Sprintf("%s holds no certificate in PEM", e.File)
}

// NewTLS returns the network of a process with a certificate and its key, in
// PEM files, and the certificate of the fleet's authority.
func NewTLS(certFile, keyFile, authorityFile string) (*TLS, error) {
	cert, err := tls.LoadX509KeyPair(certFile, keyFile)
	if err != nil {
		return nil, eris.Wrapf(err, "load certificate %s with key %s", certFile, keyFile)
	}
	text, err := os.ReadFile(authorityFile)
	if err != nil {
		return nil, eris.Wrap(err, "read the authority's certificate")
	}
	authority := x509.NewCertPool()
	if !authority.AppendCertsFromPEM(text) {
		return nil, &AuthorityError{File: authorityFile}
	}
	return &TLS{config: &tls.Config{
		MinVersion:             tls.VersionTLS13,
		Certificates:           []tls.Certificate{cert},
		ClientAuth:             tls.RequireAnyClientCert,
		InsecureSkipVerify:     true, // replaced by VerifyConnection, for both ends
		VerifyConnection:       verifier(authority),
		SessionTicketsDisabled: true,
	}}, nil
}

// verifier checks that the other end's certificate was signed by the authority.
func verifier(authority *x509.CertPool) func(tls.ConnectionState) error {
	return func(state tls.ConnectionState) error {
		if len(state.PeerCertificates) == 0 {
			return eris.New("the other end shows no certificate")
		}
		between := x509.NewCertPool()
		for _, c := range state.PeerCertificates[1:] {
			between.AddCert(c)
		}
		_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
			Roots:         authority,
			Intermediates: between,
			KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
		})
		return err
	}
}

// Listen listens on IP:port.
func (t *TLS) Listen(address string) (net.Listener, error) {
	lis, err := TCP{}.Listen(address)
	if err != nil {
		return nil, err
	}
	return tls.NewListener(lis, t.config), nil
}

// Dial connects to IP:port and returns once both ends have proved themselves.
func (t *TLS) Dial(ctx context.Context, address string) (net.Conn, error) {
	d := tls.Dialer{Config: t.config}
	return d.DialContext(ctx, "tcp", address)
}

var _ fireflysaddle.Network = (*TLS)(nil)
