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
	// paceSlow is the factor from which an engine counts as slow.
	paceSlow = 1.5
	// paceLost is the factor from which other engines are given an engine's layers.
	paceLost = 2.5
	// paceEvery is the least time between two looks at the pace of an engine. A look
	// is priced, so engines are looked at only while drafts go slowly, or were found
	// slow.
	paceEvery = time.Second
	// occupiedEvery is the time between looks at how much the engines of a data
	// centre hold. Those with the first layers stand for all: each draft passes
	// through one of them.
	occupiedEvery = 700 * time.Millisecond
)

// occupiedKept is for how long what an engine said it holds counts: three looks.
const occupiedKept = 3 * occupiedEvery

// looks is what is learnt of engines by asking them for their state.
type looks struct {
	paces    map[string]float64   // of slow engines, by target
	occupied map[string]occupancy // of those with the first layers, by target
	lookedAt map[string]time.Time // for their pace, by target
	askedAt  map[string]time.Time // for what they hold, by target
	done     chan look
}

// occupancy is what an engine said it holds.
type occupancy struct {
	centre string
	tokens uint64
	at     time.Time
}

// look is the answer of an engine that was asked.
type look struct {
	target string
	centre string
	layers int
	first  bool // it holds the first layers
	report fireflysaddle.EngineReport
}

func newLooks() looks {
	return looks{
		paces:    map[string]float64{},
		occupied: map[string]occupancy{},
		lookedAt: map[string]time.Time{},
		askedAt:  map[string]time.Time{},
		done:     make(chan look, 256),
	}
}

func (s *looks) clear() {
	clear(s.paces)
	clear(s.occupied)
	clear(s.lookedAt)
	clear(s.askedAt)
}

// lookAt asks the engines of the data centres whose drafts go slowly, and those
// that were slow, how fast they are, and those with the first layers what they hold.
func (p *Placer) lookAt(ctx context.Context, now time.Time, wg *sync.WaitGroup, pool *saddlerouting.Pool, view *saddleview.View) {
	slow := map[string]bool{}
	for _, m := range view.Members {
		for _, c := range m.GetSlow() {
			slow[c] = true
		}
	}
	lost := suspects(view)
	for id, reg := range view.Registrations {
		if fireflysaddle.Group(reg.GetGroup()) != pool.Group || len(reg.GetLayers()) == 0 || lost[id] > 0 || view.Leaving(reg) {
			continue
		}
		wanted := (slow[reg.GetCentre()] || p.looks.paces[id] > 0) && now.Sub(p.looks.lookedAt[id]) >= paceEvery
		first := reg.GetLayers()[0].GetFrom() == 0
		due := first && now.Sub(p.looks.askedAt[id]) >= occupiedEvery
		if !wanted && !due {
			continue
		}
		p.looks.lookedAt[id] = now
		p.looks.askedAt[id] = now
		p.ask(ctx, wg, reg, first)
	}
}

func (p *Placer) ask(ctx context.Context, wg *sync.WaitGroup, reg *saddlewire.Registration, first bool) {
	countLooks.Add(1)
	held := reg.GetLayers()[0]
	l := look{target: reg.GetId(), centre: reg.GetCentre(), layers: int(held.GetTo() - held.GetFrom()), first: first}
	wg.Go(func() {
		callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		var err error
		if l.report, err = p.cfg.Orders.Report(callCtx, reg.GetAddress()); err != nil {
			p.cfg.Log.Debug().Err(err).Str("target", l.target).Msg("engine does not tell its state")
			return
		}
		select {
		case p.looks.done <- l:
		case <-ctx.Done():
		}
	})
}

// noteLook takes in what an engine said, and passes on what has changed.
func (p *Placer) noteLook(ctx context.Context, now time.Time, l look) {
	changed := p.notePace(l)
	if l.first && l.layers > 0 {
		tokens := uint64(l.report.KVUsed / float64(l.layers))
		changed = changed || p.looks.occupied[l.target].tokens != tokens
		p.looks.occupied[l.target] = occupancy{centre: l.centre, tokens: tokens, at: now}
	}
	if !changed {
		return
	}
	var state saddlecontrol.EngineState
	for target, factor := range p.looks.paces {
		state.Paces = append(state.Paces, &saddlewire.Pace{Target: target, Factor: factor})
	}
	for centre, tokens := range p.looks.byCentre(now) {
		state.Occupied = append(state.Occupied, &saddlewire.CentreLoad{Centre: centre, Tokens: tokens})
	}
	slices.SortFunc(state.Paces, func(a, b *saddlewire.Pace) int { return cmp.Compare(a.GetTarget(), b.GetTarget()) })
	slices.SortFunc(state.Occupied, func(a, b *saddlewire.CentreLoad) int { return cmp.Compare(a.GetCentre(), b.GetCentre()) })
	p.cfg.OnEngineState(ctx, state)
}

// byCentre returns what the engines of each data centre hold. What an engine said
// before the last few looks does not count: it may be gone.
func (s *looks) byCentre(now time.Time) map[string]uint64 {
	out := map[string]uint64{}
	for target, o := range s.occupied {
		if now.Sub(o.at) > occupiedKept {
			delete(s.occupied, target)
			continue
		}
		out[o.centre] += o.tokens
	}
	return out
}

// notePace takes in how fast an engine is and reports whether that has changed.
func (p *Placer) notePace(l look) bool {
	old := p.looks.paces[l.target]
	now := l.report.StepTimeFactor
	if now < paceSlow {
		now = 0
		delete(p.looks.paces, l.target)
	} else {
		p.looks.paces[l.target] = now
	}
	if old == now {
		return false
	}
	p.cfg.Log.Info().Str("target", l.target).Float64("pace", l.report.StepTimeFactor).Float64("before", old).Msg("engine's pace changed")
	return true
}
