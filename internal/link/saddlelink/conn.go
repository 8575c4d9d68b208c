package saddlelink

import (
	"context"
	"net"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcstream"
	"storj.io/drpc/drpcwire"
)

// MaxMessageBytes is the maximum size of one message. It has to be
// large enough for the activations of a long prompt, and for the largest request body
// that the settings allow, with its metadata. The library's default of 4 MiB is too
// small for both.
const MaxMessageBytes = 80 << 20

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: MaxMessageBytes}}
}

// keptSendBytes is the size from which a server drops the buffer of a sent message. The snapshots
// of a large fleet are hundreds of kilobytes, once on each of hundreds of streams.
const keptSendBytes = 64 << 10

func newServer(handler drpc.Handler) *drpcserver.Server {
	opts := managerOptions()
	opts.Stream = drpcstream.Options{MaximumBufferSize: keptSendBytes}
	return drpcserver.NewWithOptions(handler, drpcserver.Options{Manager: opts})
}

// NewConn returns a drpc connection over an open network connection, for callers
// that do not use Dial.
func NewConn(c net.Conn) *drpcconn.Conn {
	return drpcconn.NewWithOptions(c, drpcconn.Options{Manager: managerOptions()})
}

// ServeConn serves calls on one connection until the connection is closed or the
// context is done. register adds the services.
func ServeConn(ctx context.Context, c net.Conn, register func(drpc.Mux) error) error {
	mux := drpcmux.New()
	if err := register(mux); err != nil {
		return err
	}
	return newServer(mux).ServeOne(ctx, c)
}
