package saddlectl

import (
	"flag"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/link/saddlelink"
)

// tlsFiles are the PEM files that authenticate an operator to the fleet.
type tlsFiles struct {
	cert      string
	key       string
	authority string
}

func (t *tlsFiles) registerFlags(fs *flag.FlagSet) {
	fs.StringVar(&t.cert, "tls-cert", "", "certificate file, where the fleet uses TLS")
	fs.StringVar(&t.key, "tls-key", "", "private key file of the certificate")
	fs.StringVar(&t.authority, "tls-authority", "", "certificate file of the fleet's certificate authority")
}

// network returns plain TCP if no file is given, and TLS if all three are.
func (t *tlsFiles) network() (fireflysaddle.Network, error) {
	switch {
	case t.cert == "" && t.key == "" && t.authority == "":
		return saddlelink.TCP{}, nil
	case t.cert == "" || t.key == "" || t.authority == "":
		return nil, &usageError{reason: "-tls-cert, -tls-key and -tls-authority must be set together"}
	}
	return saddlelink.NewTLS(t.cert, t.key, t.authority)
}
