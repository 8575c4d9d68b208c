package saddledaemon

import (
	"context"
	"hash/fnv"
	"slices"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlegateway"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlerouting"
	"github.com/fireflysaddle/fireflysaddle/internal/node/saddleview"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
	"github.com/fireflysaddle/fireflysaddle/platform"
)

// updateView applies a new view of the fleet and requests a fetch when the view names a
// newer routing configuration.
func (g *gateway) updateView(v *saddleview.View) {
	g.fleet.Update(time.Now(), v)
	g.gateway.UpdateQuarantines(time.Now(), v)
	g.gateway.UpdateMembers(time.Now(), v)
	if v.RoutingVersion > g.currentRouting().GetVersion() {
		select {
		case g.fetchRequests <- struct{}{}:
		default:
		}
	}
	g.updateGatewayState(v)
}

// updateGatewayState passes the current routing configuration and the time of its
// confirmation to the gateway. If the view names a newer configuration, the view's
// confirmation time does not apply to the current configuration, and the previous time is
// kept.
func (g *gateway) updateGatewayState(v *saddleview.View) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := saddlegateway.State{Routing: g.routing, Confirmed: g.gateway.State().Confirmed}
	if confirmed := time.Unix(0, v.ConfirmedNs); v.ConfirmedNs > 0 && v.RoutingVersion <= g.routing.GetVersion() {
		s.Confirmed = confirmed
	}
	g.gateway.SetState(s)
}

func (g *gateway) currentRouting() *saddlerouting.Routing {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.routing
}

// fetchRoutings fetches newer routing configurations until the context ends.
func (g *gateway) fetchRoutings(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.fetchRequests:
		}
		for g.subscriber.View().RoutingVersion > g.currentRouting().GetVersion() && ctx.Err() == nil {
			if !g.fetchRouting(ctx) && !sleep(ctx, fetchRetryDelay) {
				return
			}
		}
	}
}

// RoutingSourceOrder returns the addresses of the replicas that hold the newest routing
// configuration in the order in which a node should ask them: first those of its own data
// centre, and the others beginning at a position that depends on the node, so that the
// nodes of a large fleet do not all fetch from the same replica.
func RoutingSourceOrder(v *saddleview.View, node, centre string) []string {
	local := map[string]bool{}
	for _, m := range v.Members {
		if fireflysaddle.Role(m.GetRole()) == fireflysaddle.RoleControl && m.GetCentre() == centre {
			local[m.GetAddress()] = true
		}
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(node)) // never fails
	var near, far []string
	for i := range v.RoutingSources {
		address := v.RoutingSources[(i+int(h.Sum32()))%len(v.RoutingSources)]
		if local[address] {
			near = append(near, address)
		} else {
			far = append(far, address)
		}
	}
	return slices.Concat(near, far)
}

// fetchRouting requests the newest routing configuration from one replica after another of
// those that hold it. It installs the first valid configuration that a replica returns, and
// reports whether a replica returned a valid configuration.
func (g *gateway) fetchRouting(ctx context.Context) bool {
	for _, address := range RoutingSourceOrder(g.subscriber.View(), g.settings.Load().Node, g.settings.Load().Centre) {
		in := &saddlewire.RoutingRequest{Have: g.currentRouting().GetVersion()}
		callCtx, cancel := context.WithTimeout(ctx, fetchTimeout)
		out, err := saddlewire.NewDRPCControlClient(g.pool.Conn(callCtx, address)).FetchRouting(callCtx, in)
		cancel()
		countRoutingFetches.Add(1)
		if err != nil || out.GetRouting() == nil {
			g.process.log.Warn().Err(err).Str("control", address).Msg("could not fetch routing configuration")
			continue
		}
		routing, err := platform.DecodeStoredRouting(out.GetRouting(), pauseDecoding)
		if err != nil {
			g.process.log.Error().Err(err).Str("control", address).Uint64("routing", out.GetVersion()).Msg("invalid routing configuration")
			continue
		}
		g.installRouting(routing)
		return true
	}
	return false
}

// decodingPause is the pause between two steps of decoding a routing configuration. A pause
// lets the runtime look for connections that have become readable; a yield would not.
const decodingPause = time.Millisecond

func pauseDecoding() { time.Sleep(decodingPause) }

// installRouting replaces the current routing configuration if the given one is newer.
func (g *gateway) installRouting(routing *saddlerouting.Routing) {
	g.mu.Lock()
	newer := routing.Version > g.routing.GetVersion()
	previous := g.routing.GetVersion()
	if newer {
		g.routing = routing
	}
	g.mu.Unlock()
	if !newer {
		return
	}
	g.updateGatewayState(g.subscriber.View())
	g.process.log.Info().Uint64("routing", routing.Version).Uint64("before", previous).Int("routes", len(routing.Routes)).
		Msg("routing configuration in force")
}
