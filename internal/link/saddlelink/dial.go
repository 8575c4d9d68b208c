package saddlelink

import (
	"context"
	"time"

	"storj.io/drpc/drpcconn"

	"github.com/fireflysaddle/fireflysaddle"
)

// dialTimeout bounds the opening of one connection. Between data centres that are
// tens of milliseconds apart it takes a tenth of that; a first packet that was lost
// is sent again after a second, and dialling anew is sooner.
const dialTimeout = 400 * time.Millisecond

// Dial opens a TCP connection that the caller closes. An error is a
// *fireflysaddle.NotSentError.
func Dial(ctx context.Context, address string) (*drpcconn.Conn, error) {
	return DialWithNetwork(ctx, TCP{}, address)
}

// DialWithNetwork is Dial over another network.
func DialWithNetwork(ctx context.Context, network fireflysaddle.Network, address string) (*drpcconn.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	c, err := network.Dial(ctx, address)
	if err != nil {
		return nil, &fireflysaddle.NotSentError{Address: address, Err: err}
	}
	return NewConn(c), nil
}
