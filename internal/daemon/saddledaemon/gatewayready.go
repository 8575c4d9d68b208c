package saddledaemon

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// ready returns nil when the gateway can serve.
func (g *gateway) ready() error {
	s := g.gateway.State()
	switch {
	case g.leaving.Load():
		return eris.New("the process was told to stop")
	case s.Routing == nil:
		return eris.New("no routing configuration is known yet")
	case keyLease(g.settings) > 0 && g.attendant.Now().Sub(s.Confirmed) > keyLease(g.settings):
		return eris.New("control has not been heard for too long to trust keys")
	case !g.covered.Load():
		return eris.New("no engines hold all layers yet")
	}
	return nil
}

// watchCover notes once that chains stand for every model.
func (g *gateway) watchCover(ctx context.Context) {
	for !g.covered.Load() {
		if g.chainsStand(time.Now()) || time.Since(g.started) > openAnyway {
			g.covered.Store(true)
			g.process.log.Info().Int64("after_ms", time.Since(g.started).Milliseconds()).Msg("ready for drafts")
			return
		}
		if !pause(ctx, coverEvery) {
			return
		}
	}
}

func (g *gateway) chainsStand(now time.Time) bool {
	routing := g.held()
	if routing == nil {
		return false
	}
	for _, pool := range routing.Pools {
		if pool.Model != nil && !g.fleet.Covered(now, pool) {
			return false
		}
	}
	return true
}
