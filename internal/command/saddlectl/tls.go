package saddlectl

import (
	"flag"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/link/saddlelink"
)

// tlsFiles are the PEM files by which an operator proves to belong to the fleet.
type tlsFiles struct {
	cert      string
	key       string
	authority string
}

func (t *tlsFiles) register(fs *flag.FlagSet) {
	fs.StringVar(&t.cert, "tls-cert", "", "certificate file, where the fleet uses TLS")
	fs.StringVar(&t.key, "tls-key", "", "private key file of the certificate")
	fs.StringVar(&t.authority, "tls-authority", "", "certificate file of the fleet's authority")
}

// network returns TCP without files, TLS with all three.
func (t *tlsFiles) network() (fireflysaddle.Network, error) {
	switch {
	case t.cert == "" && t.key == "" && t.authority == "":
		return saddlelink.TCP{}, nil
	case t.cert == "" || t.key == "" || t.authority == "":
		return nil, &usageError{reason: "-tls-cert, -tls-key and -tls-authority belong together"}
	}
	return saddlelink.NewTLS(t.cert, t.key, t.authority)
}
