package saddleplacer

import (
	"cmp"
	"context"
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
	// slowPace is the pace from which an engine is reported as slow.
	slowPace = 1.5
	// replacePace is the pace from which other engines take over an engine's layers.
	replacePace = 2.5
	// paceInterval is the minimum time between two probes of an engine for its pace.
	// Probes are charged for, so engines are probed for their pace only while streaming
	// requests in their data centre are slow, or once they were found slow.
	paceInterval = time.Second
	// occupancyInterval is the time between two probes of an engine for its KV cache
	// occupancy. Only the engines with the first layers are probed for it, because each
	// streaming request passes through one of them.
	occupancyInterval = 700 * time.Millisecond
)

// occupancyTTL is how long a reported occupancy is valid: three probe intervals.
const occupancyTTL = 3 * occupancyInterval

// probes holds the results of the probes of the engines' states.
type probes struct {
	paces             map[string]float64   // of slow engines, by target
	occupied          map[string]occupancy // of engines with the first layers, by target
	pacesProbedAt     map[string]time.Time // time of the last probe for the pace, by target
	occupancyProbedAt map[string]time.Time // time of the last probe for the occupancy, by target
	results           chan probeResult
}

// occupancy is the KV cache occupancy that an engine reported.
type occupancy struct {
	centre string
	tokens uint64
	at     time.Time
}

// probeResult is the answer of an engine to a probe.
type probeResult struct {
	target string
	centre string
	layers int
	first  bool // holds the first layers
	report fireflysaddle.EngineReport
}

func newProbes() probes {
	return probes{
		paces:             map[string]float64{},
		occupied:          map[string]occupancy{},
		pacesProbedAt:     map[string]time.Time{},
		occupancyProbedAt: map[string]time.Time{},
		results:           make(chan probeResult, 256),
	}
}

func (s *probes) clear() {
	clear(s.paces)
	clear(s.occupied)
	clear(s.pacesProbedAt)
	clear(s.occupancyProbedAt)
}

// startProbes probes the engines that are due: for their pace the engines of data
// centres whose streaming requests are slow and those that were slow before, for
// their occupancy the engines with the first layers.
func (p *Placer) startProbes(ctx context.Context, now time.Time, wg *sync.WaitGroup, pool *saddlerouting.Pool, view *saddleview.View) {
	slow := map[string]bool{}
	for _, m := range view.Members {
		for _, c := range m.GetSlow() {
			slow[c] = true
		}
	}
	suspected := suspectCounts(view)
	for id, reg := range view.Registrations {
		if fireflysaddle.Group(reg.GetGroup()) != pool.Group || len(reg.GetLayers()) == 0 || suspected[id] > 0 || view.Leaving(reg) {
			continue
		}
		paceDue := (slow[reg.GetCentre()] || p.probes.paces[id] > 0) && now.Sub(p.probes.pacesProbedAt[id]) >= paceInterval
		first := reg.GetLayers()[0].GetFrom() == 0
		occupancyDue := first && now.Sub(p.probes.occupancyProbedAt[id]) >= occupancyInterval
		if !paceDue && !occupancyDue {
			continue
		}
		p.probes.pacesProbedAt[id] = now
		p.probes.occupancyProbedAt[id] = now
		p.probe(ctx, wg, reg, first)
	}
}

func (p *Placer) probe(ctx context.Context, wg *sync.WaitGroup, reg *saddlewire.Registration, first bool) {
	probesTotal.Add(1)
	held := reg.GetLayers()[0]
	r := probeResult{target: reg.GetId(), centre: reg.GetCentre(), layers: int(held.GetTo() - held.GetFrom()), first: first}
	wg.Go(func() {
		callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		var err error
		if r.report, err = p.cfg.Orders.Report(callCtx, reg.GetAddress()); err != nil {
			p.cfg.Log.Debug().Err(err).Str("target", r.target).Msg("engine probe failed")
			return
		}
		select {
		case p.probes.results <- r:
		case <-ctx.Done():
		}
	})
}

// recordProbe stores the result of a probe, and passes the state of all engines on if it
// has changed.
func (p *Placer) recordProbe(ctx context.Context, now time.Time, r probeResult) {
	changed := p.recordPace(r)
	if r.first && r.layers > 0 {
		tokens := uint64(r.report.KVUsed / float64(r.layers))
		changed = changed || p.probes.occupied[r.target].tokens != tokens
		p.probes.occupied[r.target] = occupancy{centre: r.centre, tokens: tokens, at: now}
	}
	if !changed {
		return
	}
	var state saddlecontrol.EngineState
	for target, factor := range p.probes.paces {
		state.StepTimeFactors = append(state.StepTimeFactors, &saddlewire.Pace{Target: target, Factor: factor})
	}
	for centre, tokens := range p.probes.occupiedByCentre(now) {
		state.OccupiedTokens = append(state.OccupiedTokens, &saddlewire.CentreLoad{Centre: centre, Tokens: tokens})
	}
	slices.SortFunc(state.StepTimeFactors, func(a, b *saddlewire.Pace) int { return cmp.Compare(a.GetTarget(), b.GetTarget()) })
	slices.SortFunc(state.OccupiedTokens, func(a, b *saddlewire.CentreLoad) int { return cmp.Compare(a.GetCentre(), b.GetCentre()) })
	p.cfg.OnEngineState(ctx, state)
}

// occupiedByCentre returns the occupied tokens of each data centre. Reports older than
// occupancyTTL are removed, because the engine may be gone.
func (s *probes) occupiedByCentre(now time.Time) map[string]uint64 {
	out := map[string]uint64{}
	for target, o := range s.occupied {
		if now.Sub(o.at) > occupancyTTL {
			delete(s.occupied, target)
			continue
		}
		out[o.centre] += o.tokens
	}
	return out
}

// recordPace stores the pace of an engine and reports whether it has changed. A pace below
// slowPace counts as none.
func (p *Placer) recordPace(r probeResult) bool {
	old := p.probes.paces[r.target]
	pace := r.report.StepTimeFactor
	if pace < slowPace {
		pace = 0
		delete(p.probes.paces, r.target)
	} else {
		p.probes.paces[r.target] = pace
	}
	if old == pace {
		return false
	}
	p.cfg.Log.Info().Str("target", r.target).Float64("pace", r.report.StepTimeFactor).Float64("before", old).Msg("engine pace changed")
	return true
}
