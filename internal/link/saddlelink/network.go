package saddlelink

import (
	"context"
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

// NetworkOrTCP returns the network, or TCP where it is nil.
func NetworkOrTCP(n fireflysaddle.Network) fireflysaddle.Network {
	if n == nil {
		return TCP{}
	}
	return n
}
