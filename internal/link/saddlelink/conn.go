package saddlelink

import (
	"context"
	"net"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"
)

// MaxMessageBytes bounds one message. It takes in the activations of a long
// prompt, and the largest body that the settings allow with what goes with it;
// the library's default of 4 MiB does not.
const MaxMessageBytes = 80 << 20

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: MaxMessageBytes}}
}

func newServer(handler drpc.Handler) *drpcserver.Server {
	return drpcserver.NewWithOptions(handler, drpcserver.Options{Manager: managerOptions()})
}

// NewConn returns a drpc connection over one that is open. It is for callers that
// dial by themselves.
func NewConn(c net.Conn) *drpcconn.Conn {
	return drpcconn.NewWithOptions(c, drpcconn.Options{Manager: managerOptions()})
}

// ServeConn answers calls on one connection until it or the context ends.
// register adds the services.
func ServeConn(ctx context.Context, c net.Conn, register func(drpc.Mux) error) error {
	mux := drpcmux.New()
	if err := register(mux); err != nil {
		return err
	}
	return newServer(mux).ServeOne(ctx, c)
}
