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

// TLS is a network of TLS 1.3 connections over TCP with mutual authentication:
// both peers present a certificate signed by the fleet's certificate authority.
// The name in a certificate is not compared with the address, since addresses of
// VMs change and the authority signs certificates of the fleet only.
type TLS struct {
	config *tls.Config
}

// AuthorityError reports that the file of the certificate authority contains no
// certificate.
type AuthorityError struct {
	File string
}

// Error returns a message with the name of the file.
func (e *AuthorityError) Error() string {
	return fmt.Sprintf("%s contains no PEM certificate", e.File)
}

// NewTLS returns the network of a process. It reads three PEM files: the certificate
// of the process, its private key, and the certificate of the fleet's authority.
func NewTLS(certFile, keyFile, authorityFile string) (*TLS, error) {
	cert, err := tls.LoadX509KeyPair(certFile, keyFile)
	if err != nil {
		return nil, eris.Wrapf(err, "load certificate %s with key %s", certFile, keyFile)
	}
	pem, err := os.ReadFile(authorityFile)
	if err != nil {
		return nil, eris.Wrap(err, "read certificate of the authority")
	}
	authority := x509.NewCertPool()
	if !authority.AppendCertsFromPEM(pem) {
		return nil, &AuthorityError{File: authorityFile}
	}
	return &TLS{config: &tls.Config{
		MinVersion:             tls.VersionTLS13,
		Certificates:           []tls.Certificate{cert},
		ClientAuth:             tls.RequireAnyClientCert,
		InsecureSkipVerify:     true, // VerifyConnection verifies the peer instead, for clients and servers
		VerifyConnection:       verifier(authority),
		SessionTicketsDisabled: true,
	}}, nil
}

// verifier returns a function which checks that the peer's certificate was
// signed by the authority.
func verifier(authority *x509.CertPool) func(tls.ConnectionState) error {
	return func(state tls.ConnectionState) error {
		if len(state.PeerCertificates) == 0 {
			return eris.New("peer presented no certificate")
		}
		intermediates := x509.NewCertPool()
		for _, c := range state.PeerCertificates[1:] {
			intermediates.AddCert(c)
		}
		_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
			Roots:         authority,
			Intermediates: intermediates,
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

// Dial connects to IP:port and returns after the TLS handshake.
func (t *TLS) Dial(ctx context.Context, address string) (net.Conn, error) {
	d := tls.Dialer{Config: t.config}
	return d.DialContext(ctx, "tcp", address)
}

var _ fireflysaddle.Network = (*TLS)(nil)
