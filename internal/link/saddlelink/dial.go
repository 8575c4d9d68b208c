package saddlelink

import (
	"context"
	"net"
	"time"

	"storj.io/drpc/drpcconn"

	"github.com/fireflysaddle/fireflysaddle"
)

// dialTimeout bounds the opening of one connection.
const dialTimeout = time.Second

// Dial opens a connection that the caller closes. An error is a
// *fireflysaddle.NotSentError.
func Dial(ctx context.Context, address string) (*drpcconn.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, &fireflysaddle.NotSentError{Address: address, Err: err}
	}
	return Over(c), nil
}
