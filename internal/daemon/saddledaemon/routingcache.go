package saddledaemon

import (
	"context"

	"github.com/rs/zerolog"

	"github.com/fireflysaddle/fireflysaddle/internal/control/saddlecontrol"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlerouting"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
	"github.com/fireflysaddle/fireflysaddle/platform"
)

// routingCache caches the decoded routing configuration of the local replica. It is not
// safe for concurrent use.
type routingCache struct {
	version uint64
	routing *saddlerouting.Routing
}

// fetch returns the configuration that the replica has applied. If the replica is not open
// or returns no newer valid configuration, it returns the cached one, nil if there is none.
func (c *routingCache) fetch(ctx context.Context, s *saddlecontrol.Server, log zerolog.Logger) *saddlerouting.Routing {
	if s == nil {
		return c.routing
	}
	out, err := s.FetchRouting(ctx, &saddlewire.RoutingRequest{Have: c.version})
	if err != nil || out.GetRouting() == nil {
		return c.routing
	}
	routing, err := platform.DecodeCompressedRouting(out.GetRouting().GetContent())
	if err != nil {
		log.Error().Err(err).Uint64("routing", out.GetVersion()).Msg("invalid routing configuration; keeping the previous one")
		return c.routing
	}
	c.version = out.GetVersion()
	c.routing = routing
	return routing
}
