package saddledaemon

import (
	"context"
	"fmt"

	"github.com/rs/zerolog"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/control/saddlecontrol"
	"github.com/fireflysaddle/fireflysaddle/internal/node/saddleview"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// configuredReplica is a replica that refuses registrations for groups that the configuration
// does not have, if they would replace a target of a configured group.
type configuredReplica struct {
	*saddlecontrol.Server
	routing *routingCache
	view    func() *saddleview.View
	log     zerolog.Logger
}

// Register stores the registration of a target without an agent. It refuses a registration that
// names a group without configuration and the identifier or address of a target of a configured
// group, because the latest start at an address replaces the earlier ones. Once that target has
// left or expired, the registration is accepted: the group may be configured later.
func (r configuredReplica) Register(ctx context.Context, reg *saddlewire.Registration) error {
	if other := r.replaced(ctx, reg); other != nil {
		return &fireflysaddle.RefusedError{
			Code: fireflysaddle.CodeInvalid,
			Message: fmt.Sprintf("group %q is not configured, and %s at %s is a target of group %q",
				reg.GetGroup(), other.GetId(), other.GetAddress(), other.GetGroup()),
		}
	}
	return r.Server.Register(ctx, reg)
}

// replaced returns the target of a configured group that a registration for a group without
// configuration would replace, or nil.
func (r configuredReplica) replaced(ctx context.Context, reg *saddlewire.Registration) *saddlewire.Registration {
	if r.routing.hasGroup(ctx, r.Server, r.log, reg.GetGroup()) {
		return nil
	}
	view := r.view()
	for _, other := range view.Registrations {
		same := other.GetId() == reg.GetId() || other.GetAddress() == reg.GetAddress()
		if same && other.GetGroup() != reg.GetGroup() && !view.Leaving(other) && r.routing.hasGroup(ctx, r.Server, r.log, other.GetGroup()) {
			return other
		}
	}
	return nil
}
