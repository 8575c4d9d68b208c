package saddledaemon

import (
	"context"

	"github.com/rs/zerolog"

	"github.com/fireflysaddle/fireflysaddle/internal/control/saddlecontrol"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlerouting"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
	"github.com/fireflysaddle/fireflysaddle/platform"
)

// routingCache holds the routing configuration of the own replica, decoded. It is
// used by one goroutine.
type routingCache struct {
	version uint64
	routing *saddlerouting.Routing
}

// open returns the configuration as the replica has applied it, nil when there is
// none.
func (c *routingCache) open(ctx context.Context, s *saddlecontrol.Server, log zerolog.Logger) *saddlerouting.Routing {
	if s == nil {
		return c.routing
	}
	out, err := s.FetchRouting(ctx, &saddlewire.RoutingRequest{Have: c.version})
	if err != nil || out.GetRouting() == nil {
		return c.routing
	}
	routing, err := platform.DecodeCompressedRouting(out.GetRouting().GetContent())
	if err != nil {
		log.Error().Err(err).Uint64("routing", out.GetVersion()).Msg("the routing configuration cannot be read; the one before stays")
		return c.routing
	}
	c.version = out.GetVersion()
	c.routing = routing
	return routing
}
