package saddledaemon

import (
	"context"
	"time"

	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlegateway"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlerouting"
	"github.com/fireflysaddle/fireflysaddle/internal/node/saddleview"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
	"github.com/fireflysaddle/fireflysaddle/platform"
)

// take takes up each new view.
func (g *gateway) take(v *saddleview.View) {
	g.fleet.Update(v)
	if v.Routing > g.held().GetVersion() {
		select {
		case g.fetch <- struct{}{}:
		default:
		}
	}
	g.use(v)
}

// use has the gateway serve by the routing held. How fresh that is counts only
// while no newer one is known.
func (g *gateway) use(v *saddleview.View) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := saddlegateway.State{Routing: g.routing, Confirmed: g.gateway.State().Confirmed}
	if confirmed := time.Unix(0, v.ConfirmedNs); v.ConfirmedNs > 0 && v.Routing <= g.routing.GetVersion() {
		s.Confirmed = confirmed
	}
	g.gateway.SetState(s)
}

func (g *gateway) held() *saddlerouting.Routing {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.routing
}

// follow fetches each newer routing configuration until the context ends.
func (g *gateway) follow(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.fetch:
		}
		for g.attendant.View().Routing > g.held().GetVersion() && ctx.Err() == nil {
			if !g.fetchOnce(ctx) && !pause(ctx, fetchAgain) {
				return
			}
		}
	}
}

// fetchOnce asks the replicas that hold the newest configuration for it.
func (g *gateway) fetchOnce(ctx context.Context) bool {
	for _, address := range g.attendant.View().RoutingSources {
		in := &saddlewire.RoutingRequest{Have: g.held().GetVersion()}
		callCtx, cancel := context.WithTimeout(ctx, fetchTimeout)
		out, err := saddlewire.NewDRPCControlClient(g.pool.Conn(callCtx, address)).FetchRouting(callCtx, in)
		cancel()
		countFetches.Add(1)
		if err != nil || out.GetRouting() == nil {
			g.process.log.Warn().Err(err).Str("control", address).Msg("routing configuration not fetched")
			continue
		}
		routing, err := platform.DecodeCompressedRouting(out.GetRouting().GetContent())
		if err != nil {
			g.process.log.Error().Err(err).Str("control", address).Uint64("routing", out.GetVersion()).Msg("routing configuration cannot be read")
			continue
		}
		g.install(routing)
		return true
	}
	return false
}

// install takes up a routing configuration unless a newer one is held.
func (g *gateway) install(routing *saddlerouting.Routing) {
	g.mu.Lock()
	newer := routing.Version > g.routing.GetVersion()
	before := g.routing.GetVersion()
	if newer {
		g.routing = routing
	}
	g.mu.Unlock()
	if !newer {
		return
	}
	g.use(g.attendant.View())
	g.process.log.Info().Uint64("routing", routing.Version).Uint64("before", before).Int("routes", len(routing.Routes)).
		Msg("routing configuration in force")
}
