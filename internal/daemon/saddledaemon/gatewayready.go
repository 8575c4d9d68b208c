package saddledaemon

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// ready returns nil if the gateway can serve requests. Otherwise it returns an error that
// states the reason.
func (g *gateway) ready() error {
	s := g.gateway.State()
	switch {
	case g.shuttingDown.Load():
		return eris.New("the gateway is shutting down")
	case s.Routing == nil:
		return eris.New("no routing configuration has been fetched yet")
	case keyLease(*g.settings.Load()) > 0 && g.subscriber.Now().Sub(s.Confirmed) > keyLease(*g.settings.Load()):
		return eris.New("the key lease has expired: control has not confirmed the configuration in time")
	case !g.coverageWaitDone.Load():
		return eris.New("the usable engines do not hold all layers of every model yet")
	}
	return nil
}

// awaitCoverage sets coverageWaitDone once the usable engines hold all layers of every
// model or maxCoverageWait has passed.
func (g *gateway) awaitCoverage(ctx context.Context) {
	for !g.coverageWaitDone.Load() {
		if g.allModelsCovered(time.Now()) || time.Since(g.started) > maxCoverageWait {
			g.coverageWaitDone.Store(true)
			g.process.log.Info().Int64("after_ms", time.Since(g.started).Milliseconds()).Msg("no longer waiting for engines that hold all layers of every model")
			return
		}
		if !sleep(ctx, coverageCheckInterval) {
			return
		}
	}
}

func (g *gateway) allModelsCovered(now time.Time) bool {
	routing := g.currentRouting()
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
