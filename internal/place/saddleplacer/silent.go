package saddleplacer

import (
	"context"
	"sync"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlerouting"
	"github.com/fireflysaddle/fireflysaddle/internal/node/saddleview"
	"github.com/fireflysaddle/fireflysaddle/internal/place/saddleplan"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// silentProbeInterval is the time between two probes of an engine whose reports have ended.
const silentProbeInterval = time.Second

// silentEngines follows engines that hold layers and whose registrations have ended without
// their leave. Such an engine may report to replicas that this one cannot reach, so its
// layers count as held until a probe shows otherwise. The keys of its maps are target
// identifiers.
type silentEngines struct {
	last     map[string]*saddlewire.Registration // last registrations of engines that hold layers
	probedAt map[string]time.Time
	results  chan silentResult
}

// silentResult is the result of a probe of an engine whose reports have ended.
type silentResult struct {
	reg    *saddlewire.Registration
	report fireflysaddle.EngineReport
	err    error
}

func newSilentEngines() silentEngines {
	return silentEngines{
		last:     map[string]*saddlewire.Registration{},
		probedAt: map[string]time.Time{},
		results:  make(chan silentResult, 256),
	}
}

func (s *silentEngines) clear() {
	clear(s.last)
	clear(s.probedAt)
}

func (s *silentEngines) forget(id string) {
	delete(s.last, id)
	delete(s.probedAt, id)
}

// update records the registrations of a view.
func (s *silentEngines) update(view *saddleview.View, leaving func(*saddlewire.Registration) bool) {
	addresses := make(map[string]struct{}, len(view.Registrations))
	for id, reg := range view.Registrations {
		addresses[reg.GetAddress()] = struct{}{}
		if len(reg.GetLayers()) == 0 || leaving(reg) {
			s.forget(id)
			continue
		}
		s.last[id] = reg
		delete(s.probedAt, id)
	}
	for id, reg := range s.last {
		if _, ok := view.Registrations[id]; ok {
			continue
		}
		if _, reused := addresses[reg.GetAddress()]; reused || leaving(reg) {
			s.forget(id)
		}
	}
}

// silentEngines returns the engines of a pool that hold layers and are not registered at
// present, and starts the probes of these that are due.
func (p *Placer) silentEngines(ctx context.Context, now time.Time, wg *sync.WaitGroup, pool *saddlerouting.Pool, view *saddleview.View) []saddleplan.Engine {
	var out []saddleplan.Engine
	for id, reg := range p.silent.last {
		if _, ok := view.Registrations[id]; ok || fireflysaddle.Group(reg.GetGroup()) != pool.Group {
			continue
		}
		if _, lost := p.lost[fireflysaddle.TargetID(id)]; lost || !holdsLayersOf(pool.Model, reg) {
			p.silent.forget(id)
			continue
		}
		out = append(out, p.planEngine(now, reg, false))
		if now.Sub(p.silent.probedAt[id]) < silentProbeInterval {
			continue
		}
		p.silent.probedAt[id] = now
		p.probeSilent(ctx, wg, reg)
	}
	return out
}

func (p *Placer) probeSilent(ctx context.Context, wg *sync.WaitGroup, reg *saddlewire.Registration) {
	countProbe(probeSilent)
	wg.Go(func() {
		callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		r := silentResult{reg: reg}
		r.report, r.err = p.cfg.Orders.Report(callCtx, reg.GetAddress())
		select {
		case p.silent.results <- r:
		case <-ctx.Done():
		}
	})
}

// recordSilentProbe registers an engine again that still holds its layers. Otherwise others
// take over its layers.
func (p *Placer) recordSilentProbe(ctx context.Context, r silentResult) {
	id := r.reg.GetId()
	if last := p.silent.last[id]; last.GetIncarnation() != r.reg.GetIncarnation() {
		return
	}
	e := p.cfg.Log.Info().Str("target", id).Str("address", r.reg.GetAddress()).Uint64("target_incarnation", r.reg.GetIncarnation())
	if r.err != nil || r.report.Leaving || !holdsLayers(r.report, r.reg) {
		p.silent.forget(id)
		e.AnErr("cause", r.err).Bool("leaving", r.report.Leaving).Msg("engine whose reports ended does not hold its layers")
		return
	}
	e.Msg("engine whose reports ended still holds its layers; registered again")
	p.cfg.OnLayers(ctx, withLayers(r.reg, registeredLayers(r.reg)))
}

// holdsLayers reports whether a report includes all layers of a registration.
func holdsLayers(report fireflysaddle.EngineReport, reg *saddlewire.Registration) bool {
	for _, l := range reg.GetLayers() {
		if !report.Holds(int(l.GetFrom()), int(l.GetTo())) {
			return false
		}
	}
	return true
}
