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

// fetch returns the newest routing configuration that the replica has applied. It returns the
// cached configuration if the replica is not open, cannot be read, holds no newer
// configuration or returns an invalid one. The cached configuration is nil before the first
// successful fetch.
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
