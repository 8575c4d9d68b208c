package saddlelink

import (
	"context"
	"time"

	"github.com/fireflysaddle/fireflysaddle"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcpool"
)

const (
	poolExpiration  = time.Minute // idle time after which a connection is closed
	poolCapacity    = 4096        // idle connections in total
	poolKeyCapacity = 64          // idle connections to one address
)

// Pool reuses idle connections. A drpc connection carries one stream at a time,
// so each call in progress has its own connection. Pool is safe for concurrent
// use.
type Pool struct {
	network fireflysaddle.Network
	pool    *drpcpool.Pool[string, drpcpool.Conn]
}

// NewPool returns an empty pool of TCP connections and a function that closes
// the idle connections.
func NewPool() (*Pool, func() error) { return NewPoolWithNetwork(TCP{}) }

// NewPoolWithNetwork is like NewPool but uses the given network instead of TCP.
func NewPoolWithNetwork(network fireflysaddle.Network) (*Pool, func() error) {
	pool := drpcpool.New[string, drpcpool.Conn](drpcpool.Options{
		Expiration:  poolExpiration,
		Capacity:    poolCapacity,
		KeyCapacity: poolKeyCapacity,
	})
	return &Pool{network: network, pool: pool}, pool.Close
}

// Conn returns a connection to an address that is backed by the pool. Each call takes
// an idle connection from the pool, or dials a new one if there is none, and puts this
// connection into the pool when the call ends. Closing the returned Conn does not close
// pooled connections; it only prevents further calls on the returned Conn.
func (p *Pool) Conn(ctx context.Context, address string) drpc.Conn {
	return p.pool.Get(ctx, address, func(ctx context.Context, address string) (drpcpool.Conn, error) {
		return DialWithNetwork(ctx, p.network, address)
	})
}

var _ drpcpool.Conn = (*drpcconn.Conn)(nil)
