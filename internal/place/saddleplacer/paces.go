package saddleplacer

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlerouting"
	"github.com/fireflysaddle/fireflysaddle/internal/node/saddleview"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

const (
	// paceSlow is the factor from which an engine counts as slow.
	paceSlow = 1.5
	// paceLost is the factor from which other engines are given an engine's layers.
	paceLost = 2.5
	// paceEvery is the least time between two looks at an engine. A look is priced,
	// so engines are looked at only while drafts go slowly, or were found slow.
	paceEvery = time.Second
)

// paces is what is known of slow engines.
type paces struct {
	factors  map[string]float64 // of slow engines, by target
	lookedAt map[string]time.Time
	looked   chan paceLook
}

// paceLook is the answer of an engine that was looked at.
type paceLook struct {
	target string
	factor float64
}

func newPaces() paces {
	return paces{factors: map[string]float64{}, lookedAt: map[string]time.Time{}, looked: make(chan paceLook, 256)}
}

func (s *paces) clear() {
	clear(s.factors)
	clear(s.lookedAt)
}

// lookAtPaces asks the engines of the data centres whose drafts go slowly, and
// those that were slow, how fast they are.
func (p *Placer) lookAtPaces(ctx context.Context, now time.Time, wg *sync.WaitGroup, pool *saddlerouting.Pool, view *saddleview.View) {
	slow := map[string]bool{}
	for _, m := range view.Members {
		for _, c := range m.GetSlow() {
			slow[c] = true
		}
	}
	for id, reg := range view.Registrations {
		wanted := slow[reg.GetCentre()] || p.paces.factors[id] > 0
		if !wanted || fireflysaddle.Group(reg.GetGroup()) != pool.Group || len(reg.GetLayers()) == 0 ||
			now.Sub(p.paces.lookedAt[id]) < paceEvery {
			continue
		}
		p.paces.lookedAt[id] = now
		countLooks.Add(1)
		wg.Go(func() {
			callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
			defer cancel()
			report, err := p.cfg.Orders.Report(callCtx, reg.GetAddress())
			if err != nil {
				p.cfg.Log.Debug().Err(err).Str("target", id).Msg("engine does not say how fast it is")
				return
			}
			select {
			case p.paces.looked <- paceLook{target: id, factor: report.Pace}:
			case <-ctx.Done():
			}
		})
	}
}

// notePace takes in how fast an engine is.
func (p *Placer) notePace(ctx context.Context, l paceLook) {
	old := p.paces.factors[l.target]
	switch {
	case l.factor >= paceSlow:
		p.paces.factors[l.target] = l.factor
	case old == 0:
		return
	default:
		delete(p.paces.factors, l.target)
	}
	if old == p.paces.factors[l.target] {
		return
	}
	p.cfg.Log.Info().Str("target", l.target).Float64("pace", l.factor).Float64("before", old).Msg("engine's pace changed")
	var out []*saddlewire.Pace
	for target, factor := range p.paces.factors {
		out = append(out, &saddlewire.Pace{Target: target, Factor: factor})
	}
	slices.SortFunc(out, func(a, b *saddlewire.Pace) int { return cmp.Compare(a.GetTarget(), b.GetTarget()) })
	p.cfg.Paces(ctx, out)
}
