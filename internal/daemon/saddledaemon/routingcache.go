package saddledaemon

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/rs/zerolog"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/control/saddlecontrol"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlerouting"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
	"github.com/fireflysaddle/fireflysaddle/platform"
)

// routingCache caches the decoded routing configuration of the local replica. It is safe for
// concurrent use.
type routingCache struct {
	latest  atomic.Pointer[saddlerouting.Routing] // nil before the first successful fetch
	fetchMu sync.Mutex
	version uint64 // of the latest, guarded by fetchMu
}

// fetch returns the newest routing configuration that the replica has applied. It returns the
// cached configuration if the replica is not open, cannot be read, holds no newer
// configuration or returns an invalid one. The cached configuration is nil before the first
// successful fetch.
func (c *routingCache) fetch(ctx context.Context, s *saddlecontrol.Server, log zerolog.Logger) *saddlerouting.Routing {
	if s == nil {
		return c.latest.Load()
	}
	c.fetchMu.Lock()
	defer c.fetchMu.Unlock()
	out, err := s.FetchRouting(ctx, &saddlewire.RoutingRequest{Have: c.version})
	if err != nil || out.GetRouting() == nil {
		return c.latest.Load()
	}
	routing, err := platform.DecodeStoredRouting(out.GetRouting(), pauseDecoding)
	if err != nil {
		log.Error().Err(err).Uint64("routing", out.GetVersion()).Msg("invalid routing configuration; keeping the previous one")
		return c.latest.Load()
	}
	c.version = out.GetVersion()
	c.latest.Store(routing)
	return routing
}

// hasGroup reports whether the newest configuration has a group. It is true while no
// configuration is known.
func (c *routingCache) hasGroup(ctx context.Context, s *saddlecontrol.Server, log zerolog.Logger, group string) bool {
	has := func(routing *saddlerouting.Routing) bool {
		return routing != nil && routing.Pools[fireflysaddle.Group(group)] != nil
	}
	if has(c.latest.Load()) {
		return true
	}
	routing := c.fetch(ctx, s, log)
	return routing == nil || has(routing)
}
