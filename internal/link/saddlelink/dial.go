package saddlelink

import (
	"context"
	"time"

	"storj.io/drpc/drpcconn"

	"github.com/fireflysaddle/fireflysaddle"
)

// dialTimeout limits the time to open one connection. Between data centres that
// are tens of milliseconds apart, opening one takes about a tenth of the limit. TCP
// retransmits a lost SYN only after a second, so it is faster to time out earlier
// and dial again.
const dialTimeout = 400 * time.Millisecond

// Dial opens a TCP connection, which the caller has to close. Errors have the
// type *fireflysaddle.NotSentError.
func Dial(ctx context.Context, address string) (*drpcconn.Conn, error) {
	return DialWithNetwork(ctx, TCP{}, address)
}

// DialWithNetwork is like Dial but uses the given network instead of TCP.
func DialWithNetwork(ctx context.Context, network fireflysaddle.Network, address string) (*drpcconn.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	c, err := network.Dial(ctx, address)
	if err != nil {
		return nil, &fireflysaddle.NotSentError{Address: address, Err: err}
	}
	return NewConn(c), nil
}
