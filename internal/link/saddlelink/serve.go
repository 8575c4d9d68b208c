package saddlelink

import (
	"context"
	"net"

	"storj.io/drpc"
	"storj.io/drpc/drpcmux"
)

// Serve serves calls on a listener until the context is done. register adds the
// services.
func Serve(ctx context.Context, lis net.Listener, register func(drpc.Mux) error) error {
	mux := drpcmux.New()
	if err := register(mux); err != nil {
		return err
	}
	return newServer(mux).Serve(ctx, lis)
}
