package saddledaemon

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlegateway"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// requestRetries requests a grant of retries for a group from the control leader. It finds
// the leader by asking the replicas that hold the routing configuration. It returns the
// number of retries granted, or 0 if the leader was not reached.
func (g *gateway) requestRetries(ctx context.Context, group fireflysaddle.Group, want, limit int) int {
	in := &saddlewire.RetryRequest{Group: string(group), Want: uint32(want), Limit: uint32(limit)}
	queue := slices.Clone(g.subscriber.View().RoutingSources)
	for queried := map[string]bool{}; len(queue) > 0 && ctx.Err() == nil; queue = queue[1:] {
		if queried[queue[0]] {
			continue
		}
		queried[queue[0]] = true
		out, err := saddlewire.NewDRPCControlClient(g.pool.Conn(ctx, queue[0])).GrantRetries(ctx, in)
		switch {
		case err != nil:
			g.process.log.Warn().Err(err).Str("control", queue[0]).Msg("request for a retry grant failed")
		case out.GetLeads():
			return int(out.GetGranted())
		case out.GetLeader() != "":
			queue = slices.Insert(queue, 1, out.GetLeader())
		}
	}
	return 0
}

// runProbes probes excluded and suspected engines when they are due, or immediately on
// request, until the context ends.
func (g *gateway) runProbes(ctx context.Context) {
	tick := time.NewTicker(probeCheckInterval)
	defer tick.Stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-g.fleet.ProbeRequests():
		}
		began := time.Now()
		for _, t := range g.fleet.StartDueProbes(began) {
			wg.Go(func() {
				callCtx, cancel := context.WithTimeout(ctx, saddlegateway.ProbeTimeout)
				defer cancel()
				report, err := g.client.Report(callCtx, t.Address)
				g.gateway.RecordProbe(time.Now(), began, t, report, err)
			})
		}
	}
}
