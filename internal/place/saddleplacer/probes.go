package saddleplacer

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/control/saddlecontrol"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlerouting"
	"github.com/fireflysaddle/fireflysaddle/internal/node/saddleview"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

const (
	// slowStepTimeFactor is the step time factor from which an engine is reported as
	// slow.
	slowStepTimeFactor = 1.5
	// replaceStepTimeFactor is the step time factor from which other engines take over
	// an engine's layers.
	replaceStepTimeFactor = 2.5
	// stepTimeInterval is the minimum time between two probes of an engine for its step
	// time factor. Because each probe is billed, an engine is probed for this factor only
	// while drafts in its data centre are slow or after the engine was found slow.
	stepTimeInterval = time.Second
	// occupancyInterval is the time between two probes of an engine for its KV cache
	// occupancy. Only engines that hold the first layer of the model are probed for their
	// occupancy, because each draft passes through one of them.
	occupancyInterval = 700 * time.Millisecond
)

// occupancyTTL is how long a reported occupancy is valid: three probe intervals.
const occupancyTTL = 3 * occupancyInterval

// probes holds the results of the probes of engines. The keys of its maps are target
// identifiers.
type probes struct {
	stepTimeFactors   map[string]float64   // step time factors of slow engines
	occupied          map[string]occupancy // KV cache occupancy of engines that hold the first layer of the model
	stepTimeProbedAt  map[string]time.Time // time of the last probe that was sent
	occupancyProbedAt map[string]time.Time // time of the last probe that was sent
	leaving           map[string]uint64    // incarnations of engines that announced that they are leaving
	results           chan probeResult
}

// occupancy is the KV cache occupancy that an engine reported.
type occupancy struct {
	section fireflysaddle.Section
	tokens  uint64
	at      time.Time
}

// probeResult is the report of a probed engine, with the layers that the engine held when
// the probe was sent.
type probeResult struct {
	target          string
	incarnation     uint64
	section         fireflysaddle.Section
	layers          int // number of layers held
	holdsFirstLayer bool
	report          fireflysaddle.EngineReport
}

func newProbes() probes {
	return probes{
		stepTimeFactors:   map[string]float64{},
		occupied:          map[string]occupancy{},
		stepTimeProbedAt:  map[string]time.Time{},
		occupancyProbedAt: map[string]time.Time{},
		leaving:           map[string]uint64{},
		results:           make(chan probeResult, 256),
	}
}

func (s *probes) clear() {
	clear(s.stepTimeFactors)
	clear(s.occupied)
	clear(s.stepTimeProbedAt)
	clear(s.occupancyProbedAt)
	clear(s.leaving)
}

// startProbes probes the engines of a pool for which a probe is due:
//   - for the step time factor, engines in data centres whose drafts are slow, and engines
//     that were found slow before;
//   - for the occupancy, engines that hold the first layer of the model.
//
// Each report has both figures, so each probe counts for both.
func (p *Placer) startProbes(ctx context.Context, now time.Time, wg *sync.WaitGroup, pool *saddlerouting.Pool, view *saddleview.View) {
	slow := map[string]bool{}
	for _, m := range view.Members {
		for _, c := range m.GetSlow() {
			slow[c] = true
		}
	}
	suspected := newSuspicions(view)
	for id, reg := range view.Registrations {
		if fireflysaddle.Group(reg.GetGroup()) != pool.Group || len(reg.GetLayers()) == 0 || !holdsLayersOf(pool.Model, reg) || suspected.entries(id) > 0 || p.leaving(view, reg) {
			continue
		}
		stepTimeDue := (slow[reg.GetCentre()] || p.probes.stepTimeFactors[id] > 0) && now.Sub(p.probes.stepTimeProbedAt[id]) >= stepTimeInterval
		holdsFirstLayer := reg.GetLayers()[0].GetFrom() == 0
		occupancyDue := holdsFirstLayer && now.Sub(p.probes.occupancyProbedAt[id]) >= occupancyInterval
		if !stepTimeDue && !occupancyDue {
			continue
		}
		p.probes.stepTimeProbedAt[id] = now
		p.probes.occupancyProbedAt[id] = now
		if occupancyDue {
			countProbe(probeOccupancy)
		} else {
			countProbe(probeStepTime)
		}
		p.probeEngine(ctx, wg, reg, holdsFirstLayer)
	}
}

func (p *Placer) probeEngine(ctx context.Context, wg *sync.WaitGroup, reg *saddlewire.Registration, holdsFirstLayer bool) {
	held := reg.GetLayers()[0]
	r := probeResult{target: reg.GetId(), incarnation: reg.GetIncarnation(), section: fireflysaddle.SectionOf(reg), layers: int(held.GetTo() - held.GetFrom()), holdsFirstLayer: holdsFirstLayer}
	wg.Go(func() {
		callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		var err error
		if r.report, err = p.cfg.Orders.Report(callCtx, reg.GetAddress()); err != nil && !r.report.Leaving {
			p.cfg.Log.Debug().Err(err).Str("target", r.target).Msg("engine probe failed")
			return
		}
		select {
		case p.probes.results <- r:
		case <-ctx.Done():
		}
	})
}

// recordProbe stores the result of a probe, and reports the state of all engines to
// OnEngineState if it has changed.
func (p *Placer) recordProbe(ctx context.Context, now time.Time, r probeResult) {
	if r.report.Leaving {
		p.recordLeaving(r)
		return
	}
	changed := p.recordStepTimeFactor(r)
	if r.holdsFirstLayer && r.layers > 0 {
		tokens := uint64(r.report.KVUsed / float64(r.layers))
		changed = changed || p.probes.occupied[r.target].tokens != tokens
		p.probes.occupied[r.target] = occupancy{section: r.section, tokens: tokens, at: now}
	}
	if !changed {
		return
	}
	var state saddlecontrol.EngineState
	for target, factor := range p.probes.stepTimeFactors {
		state.StepTimeFactors = append(state.StepTimeFactors, &saddlewire.Pace{Target: target, Factor: factor})
	}
	occupied := p.probes.occupiedBySection(now)
	for _, s := range slices.SortedFunc(maps.Keys(occupied), fireflysaddle.Section.Compare) {
		state.OccupiedTokens = append(state.OccupiedTokens, &saddlewire.SectionLoad{Group: string(s.Group), Centre: string(s.Centre), Tokens: occupied[s]})
	}
	slices.SortFunc(state.StepTimeFactors, func(a, b *saddlewire.Pace) int { return cmp.Compare(a.GetTarget(), b.GetTarget()) })
	p.cfg.OnEngineState(ctx, state)
}

// recordLeaving records that an engine announced that it is leaving. Other engines take over
// its layers.
func (p *Placer) recordLeaving(r probeResult) {
	if incarnation, ok := p.probes.leaving[r.target]; ok && incarnation == r.incarnation {
		return
	}
	p.probes.leaving[r.target] = r.incarnation
	p.cfg.Log.Info().Str("target", r.target).Uint64("target_incarnation", r.incarnation).Msg("target announced that it is leaving")
}

// leaving reports whether an engine is leaving, by its registration or by its own answer to
// a probe.
func (p *Placer) leaving(view *saddleview.View, reg *saddlewire.Registration) bool {
	incarnation, ok := p.probes.leaving[reg.GetId()]
	return view.Leaving(reg) || (ok && incarnation == reg.GetIncarnation())
}

// occupiedBySection returns the occupied tokens of the engines. Reports older than
// occupancyTTL are removed, because the engine may have stopped.
func (s *probes) occupiedBySection(now time.Time) map[fireflysaddle.Section]uint64 {
	out := map[fireflysaddle.Section]uint64{}
	for target, o := range s.occupied {
		if now.Sub(o.at) > occupancyTTL {
			delete(s.occupied, target)
			continue
		}
		out[o.section] += o.tokens
	}
	return out
}

// recordStepTimeFactor stores the step time factor of a slow engine. A factor below
// slowStepTimeFactor is not stored. recordStepTimeFactor reports whether the stored factor
// has changed.
func (p *Placer) recordStepTimeFactor(r probeResult) bool {
	old := p.probes.stepTimeFactors[r.target]
	factor := r.report.StepTimeFactor
	if factor < slowStepTimeFactor {
		factor = 0
		delete(p.probes.stepTimeFactors, r.target)
	} else {
		p.probes.stepTimeFactors[r.target] = factor
	}
	if old == factor {
		return false
	}
	p.cfg.Log.Info().Str("target", r.target).Float64("pace", r.report.StepTimeFactor).Float64("before", old).Msg("engine step time factor changed")
	return true
}
