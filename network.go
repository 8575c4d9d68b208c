package fireflysaddle

import (
	"context"
	"net"
)

// Network opens listeners and connections between the system's own processes.
// Implementations are safe for concurrent use.
type Network interface {
	// Listen listens on IP:port.
	Listen(address string) (net.Listener, error)
	// Dial connects to IP:port.
	Dial(ctx context.Context, address string) (net.Conn, error)
}
