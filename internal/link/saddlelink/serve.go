package saddlelink

import (
	"context"
	"net"

	"storj.io/drpc"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
)

// Serve answers calls on a listener until the context ends. register adds the
// services.
func Serve(ctx context.Context, lis net.Listener, register func(drpc.Mux) error) error {
	mux := drpcmux.New()
	if err := register(mux); err != nil {
		return err
	}
	return drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: managerOptions()}).Serve(ctx, lis)
}
