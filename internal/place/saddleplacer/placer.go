package saddleplacer

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/control/saddlecontrol"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlerouting"
	"github.com/fireflysaddle/fireflysaddle/internal/node/saddleview"
	"github.com/fireflysaddle/fireflysaddle/internal/place/saddleplan"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

const (
	lookEvery = 100 * time.Millisecond
	// settleAfter is how long the set of engines must have stayed the same before
	// a model that nobody holds is placed: longer than the time between an
	// engine's heartbeats, so that all of a start are there.
	settleAfter = 1500 * time.Millisecond
	// orderTimeout bounds one order; the answer comes at once.
	orderTimeout = time.Second
	// orderSlack is for how long after its loading time an order may be unseen in
	// the engine's heartbeats before it is given again.
	orderSlack = 4 * time.Second
	// refusedFor is for how long an engine that refused an order is given none: it is
	// busy with an earlier one, or its report of it is still to come.
	refusedFor = time.Second
	// leadFor is how long a leader listens before it gives orders: engines report
	// what they hold within that time.
	leadFor = 2 * time.Second
	// fenceTerm is the place of the term in a fencing token.
	fenceTerm = 1 << 20
	// suspecters is the number of entries by whose word an engine counts as lost.
	suspecters = 2
	// watchEvery is the time between looks at an engine that loads, and watchMost
	// how often it is looked at beyond the time that its load should take.
	watchEvery = 200 * time.Millisecond
	watchMost  = 8
)

// Config holds what a placer needs.
type Config struct {
	Orders  fireflysaddle.Placer
	View    func() *saddleview.View
	Routing func() *saddlerouting.Routing // nil: none known
	Term    func() uint64                 // that this replica leads with a lease, else 0
	// Learnt takes in what an engine holds before it says so itself.
	OnLoaded func(ctx context.Context, reg *saddlewire.Registration)
	// Engines takes in what was learnt of the engines, in place of what it was
	// given before.
	OnEngineState func(ctx context.Context, state saddlecontrol.EngineState)
	Log           zerolog.Logger
}

// Placer gives the orders. Run owns its state.
type Placer struct {
	cfg     Config
	term    uint64
	ledAt   time.Time
	orders  map[fireflysaddle.TargetID]order
	engines map[fireflysaddle.TargetID]uint64 // incarnations known at the last look
	changed time.Time                         // of the set of engines
	fence   uint64
	refused map[fireflysaddle.TargetID]time.Time // engines that refused an order, and until when they are given none
	done    chan outcome
	looks   looks
}

// order is one that was given and is not yet seen in the engine's heartbeats.
type order struct {
	incarnation uint64
	layers      saddleplan.Range
	given       time.Time
	until       time.Time // when it is given up
}

// outcome is the answer to an order.
type outcome struct {
	id    fireflysaddle.TargetID
	order order
	err   error
}

// New returns a placer.
func New(cfg Config) *Placer {
	return &Placer{
		cfg:     cfg,
		orders:  map[fireflysaddle.TargetID]order{},
		engines: map[fireflysaddle.TargetID]uint64{},
		refused: map[fireflysaddle.TargetID]time.Time{},
		done:    make(chan outcome, 256),
		looks:   newLooks(),
	}
}

// Run looks at the engines until the context ends.
func (p *Placer) Run(ctx context.Context) {
	tick := time.NewTicker(lookEvery)
	defer tick.Stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case o := <-p.done:
			p.note(time.Now(), o)
		case l := <-p.looks.done:
			p.noteLook(ctx, time.Now(), l)
		case <-tick.C:
			p.look(ctx, time.Now(), &wg)
		}
	}
}

// look plans and gives orders while this replica leads.
func (p *Placer) look(ctx context.Context, now time.Time, wg *sync.WaitGroup) {
	term := p.cfg.Term()
	if term == 0 {
		p.term = 0
		p.looks.clear()
		return
	}
	if term != p.term {
		p.term, p.ledAt, p.fence = term, now, 0
		clear(p.orders)
		clear(p.refused)
		p.cfg.Log.Info().Uint64("term", term).Msg("placement begins")
	}
	routing := p.cfg.Routing()
	if routing == nil {
		return
	}
	view := p.cfg.View()
	for _, pool := range routing.Pools {
		if pool.Model != nil {
			p.place(ctx, now, wg, pool, view)
			p.lookAt(ctx, now, wg, pool, view)
		}
	}
}

func (p *Placer) place(ctx context.Context, now time.Time, wg *sync.WaitGroup, pool *saddlerouting.Pool, view *saddleview.View) {
	lost := suspects(view)
	var engines []saddleplan.Engine
	regs := map[fireflysaddle.TargetID]*saddlewire.Registration{}
	holding := false
	for id, reg := range view.Registrations {
		if fireflysaddle.Group(reg.GetGroup()) != pool.Group || view.Leaving(reg) {
			continue
		}
		e := saddleplan.Engine{
			ID:          fireflysaddle.TargetID(id),
			Centre:      fireflysaddle.DataCentre(reg.GetCentre()),
			Accelerator: fireflysaddle.Accelerator(reg.GetAccelerator()),
			Held:        p.held(now, reg),
			Lost:        lost[id] >= suspecters,
			Slow:        p.looks.paces[id] >= paceLost,
		}
		holding = holding || e.Held.Len() > 0
		engines = append(engines, e)
		regs[e.ID] = reg
	}
	p.noteEngines(now, regs)
	if now.Sub(p.ledAt) < leadFor && holding {
		return
	}
	if !holding && now.Sub(p.changed) < settleAfter {
		return
	}
	for id, layers := range saddleplan.Plan(pool.Model, engines) {
		if now.Before(p.refused[id]) {
			continue
		}
		p.give(ctx, now, wg, pool.Model, regs[id], layers)
	}
}

// noteEngines notes when the set of engines last changed.
func (p *Placer) noteEngines(now time.Time, regs map[fireflysaddle.TargetID]*saddlewire.Registration) {
	same := len(regs) == len(p.engines)
	next := make(map[fireflysaddle.TargetID]uint64, len(regs))
	for id, reg := range regs {
		next[id] = reg.GetIncarnation()
		same = same && p.engines[id] == reg.GetIncarnation()
	}
	if !same {
		p.engines = next
		p.changed = now
	}
}

// held returns what an engine holds by its heartbeats, or was ordered to hold.
func (p *Placer) held(now time.Time, reg *saddlewire.Registration) saddleplan.Range {
	id := fireflysaddle.TargetID(reg.GetId())
	var says saddleplan.Range
	if list := reg.GetLayers(); len(list) > 0 {
		says = saddleplan.Range{From: int(list[0].GetFrom()), To: int(list[0].GetTo())}
	}
	o, ok := p.orders[id]
	if ok && o.incarnation == reg.GetIncarnation() && o.layers != says && now.Before(o.until) {
		return o.layers
	}
	delete(p.orders, id)
	return says
}

// suspects counts the entries that pass over each target.
func suspects(view *saddleview.View) map[string]int {
	out := map[string]int{}
	for _, m := range view.Members {
		for _, id := range m.GetSuspects() {
			out[id]++
		}
	}
	return out
}
