package saddledaemon

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// grant asks the leader for repeated sendings.
func (g *gateway) grant(ctx context.Context, group fireflysaddle.Group, want, limit int) int {
	in := &saddlewire.RetryRequest{Group: string(group), Want: uint32(want), Limit: uint32(limit)}
	queue := slices.Clone(g.attendant.View().RoutingSources)
	for asked := map[string]bool{}; len(queue) > 0 && ctx.Err() == nil; queue = queue[1:] {
		if asked[queue[0]] {
			continue
		}
		asked[queue[0]] = true
		out, err := saddlewire.NewDRPCControlClient(g.pool.Conn(ctx, queue[0])).GrantRetries(ctx, in)
		switch {
		case err != nil:
			g.process.log.Warn().Err(err).Str("control", queue[0]).Msg("no answer to the request for repeated sendings")
		case out.GetLeads():
			return int(out.GetGranted())
		case out.GetLeader() != "":
			queue = slices.Insert(queue, 1, out.GetLeader())
		}
	}
	return 0
}

// probe asks the engines that are passed over for their state.
func (g *gateway) probe(ctx context.Context) {
	tick := time.NewTicker(probeEvery)
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
		for _, t := range g.fleet.StartDueProbes(time.Now()) {
			wg.Go(func() {
				callCtx, cancel := context.WithTimeout(ctx, probeTimeout)
				defer cancel()
				report, err := g.client.Report(callCtx, t.Address)
				g.fleet.RecordProbe(time.Now(), t, report, err)
			})
		}
	}
}
