package saddleplacer

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

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
	Learnt func(ctx context.Context, reg *saddlewire.Registration)
	// Engines takes in what was learnt of the engines, in place of what it was
	// given before.
	Engines func(ctx context.Context, state saddlecontrol.EngineState)
	Log     zerolog.Logger
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
			p.noteLook(ctx, l)
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

// give orders an engine to hold layers.
func (p *Placer) give(ctx context.Context, now time.Time, wg *sync.WaitGroup, model *saddlerouting.Model, reg *saddlewire.Registration, layers saddleplan.Range) {
	p.fence++
	fence := p.term*fenceTerm + p.fence
	loading := model.Load * time.Duration(layers.Len()) / time.Duration(model.Layers)
	o := order{incarnation: reg.GetIncarnation(), layers: layers, given: now, until: now.Add(2*loading + orderSlack)}
	p.orders[fireflysaddle.TargetID(reg.GetId())] = o
	p.cfg.Log.Info().Str("target", reg.GetId()).Str("address", reg.GetAddress()).Int("from", layers.From).Int("to", layers.To).
		Uint64("fence", fence).Uint64("target_incarnation", reg.GetIncarnation()).Str("centre", reg.GetCentre()).
		Str("accelerator", reg.GetAccelerator()).Msg("engine ordered to hold layers")
	countOrders.Add(1)
	wg.Go(func() {
		err := p.send(ctx, reg.GetAddress(), fireflysaddle.PlaceOrder{From: layers.From, To: layers.To, Fence: fence})
		if err == nil {
			defer p.watch(ctx, loading, reg, layers)
		}
		select {
		case p.done <- outcome{id: fireflysaddle.TargetID(reg.GetId()), order: o, err: err}:
		case <-ctx.Done():
		}
	})
}

// watch looks at an engine until it holds what it was ordered to hold, and has that
// known at once: its next heartbeat may be a second away.
func (p *Placer) watch(ctx context.Context, loading time.Duration, reg *saddlewire.Registration, layers saddleplan.Range) {
	if !wait(ctx, loading) {
		return
	}
	for range watchMost {
		if !wait(ctx, watchEvery) {
			return
		}
		callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
		report, err := p.cfg.Orders.Report(callCtx, reg.GetAddress())
		cancel()
		if err != nil {
			p.cfg.Log.Warn().Err(err).Str("target", reg.GetId()).Msg("engine that loads does not report")
			return
		}
		for _, h := range report.Holdings {
			if h.From == layers.From && h.To == layers.To {
				p.learnt(ctx, reg, layers)
				return
			}
		}
	}
}

func (p *Placer) learnt(ctx context.Context, reg *saddlewire.Registration, layers saddleplan.Range) {
	now := p.cfg.View().Registrations[reg.GetId()]
	if now.GetIncarnation() != reg.GetIncarnation() {
		return
	}
	next, _ := proto.Clone(now).(*saddlewire.Registration)
	next.Layers = []*saddlewire.HeldLayers{{From: uint32(layers.From), To: uint32(layers.To)}}
	next.Looked = now.GetLooked() + 1
	p.cfg.Log.Info().Str("target", reg.GetId()).Int("from", layers.From).Int("to", layers.To).Msg("engine holds its layers")
	p.cfg.Learnt(ctx, next)
}

func wait(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// send gives an order to an engine that has been given none; where it has been,
// it asks how many and gives it again.
func (p *Placer) send(ctx context.Context, address string, o fireflysaddle.PlaceOrder) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	_, err := p.cfg.Orders.Place(ctx, address, o)
	var refused *fireflysaddle.OrderError
	if !errors.As(err, &refused) || refused.Status != fireflysaddle.OrderStale {
		return err
	}
	report, err := p.cfg.Orders.Report(ctx, address)
	if err != nil {
		return err
	}
	o.Expect = report.Orders
	_, err = p.cfg.Orders.Place(ctx, address, o)
	return err
}

// note takes in the answer to an order. One that was refused is dropped, so that
// the next look plans anew; one without an answer may still be carried out.
func (p *Placer) note(now time.Time, o outcome) {
	e := p.cfg.Log.Info()
	if o.err != nil {
		e = p.cfg.Log.Warn().Err(o.err)
	}
	e.Str("target", string(o.id)).Int("from", o.order.layers.From).Int("to", o.order.layers.To).Msg("engine answered its order")
	var refused *fireflysaddle.OrderError
	if errors.As(o.err, &refused) && p.orders[o.id].given.Equal(o.order.given) {
		delete(p.orders, o.id)
		p.refused[o.id] = now.Add(refusedFor)
	}
}
