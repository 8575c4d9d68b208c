package saddlelink

import (
	"context"
	"crypto/tls"
	"net"

	"github.com/fireflysaddle/fireflysaddle"
)

// TCP is the network of the operating system.
type TCP struct{}

// Listen listens on IP:port.
func (TCP) Listen(address string) (net.Listener, error) {
	return net.Listen("tcp", address)
}

// Dial connects to IP:port.
func (TCP) Dial(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}

// NetworkOrTCP returns n, or TCP if n is nil.
func NetworkOrTCP(n fireflysaddle.Network) fireflysaddle.Network {
	if n == nil {
		return TCP{}
	}
	return n
}

// ListenWrapped listens on IP:port of a network. wrap gets the listener, which is below TLS if the
// network is TLS.
func ListenWrapped(n fireflysaddle.Network, address string, wrap func(net.Listener) net.Listener) (net.Listener, error) {
	secure, ok := n.(*TLS)
	if ok {
		n = TCP{}
	}
	lis, err := n.Listen(address)
	if err != nil {
		return nil, err
	}
	lis = wrap(lis)
	if ok {
		lis = tls.NewListener(lis, secure.config)
	}
	return lis, nil
}
