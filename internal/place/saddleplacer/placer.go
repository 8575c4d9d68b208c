package saddleplacer

import (
	"context"
	"maps"
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
	planInterval = 100 * time.Millisecond
	// settleTime is how long the set of engines must be unchanged before a model that
	// no engine holds is placed. It is longer than the heartbeat interval of an engine,
	// so that all engines started together have registered.
	settleTime = 1500 * time.Millisecond
	// orderTimeout bounds one order or probe; engines answer both immediately.
	orderTimeout = time.Second
	// orderGrace is added to twice the loading time. If the heartbeats of an engine do not
	// report the ordered layers within that time, the order no longer counts as pending
	// and the layers are planned again.
	orderGrace = 4 * time.Second
	// refusalBackoff is how long an engine that refused an order is sent no further order.
	// Such an engine is executing an earlier order, or its heartbeat that reports the
	// result of that order has not arrived yet.
	refusalBackoff = time.Second
	// viewWarmup applies if any engine is known to hold layers. No orders are then sent until
	// the replica has known targets for this long. Within that time the engines report the
	// layers that they hold. A replica that has followed for longer does not wait.
	viewWarmup = 2 * time.Second
	// fenceTermFactor separates the fencing tokens of two terms. A fencing token is the
	// term times fenceTermFactor, plus the number of the order within the term.
	fenceTermFactor = 1 << 20
	// minSuspectingEntries is the number of entries that must suspect an engine before
	// it counts as lost. Where the engine's data centre has as many entries, only these
	// count: the others may merely have lost the link to it.
	minSuspectingEntries = 2
	// loadPollInterval is the time between two polls of an engine that loads layers. The
	// polls begin after the expected loading time, and maxLoadPolls limits their number.
	loadPollInterval = 200 * time.Millisecond
	maxLoadPolls     = 8
)

// Config holds the dependencies of a placer.
type Config struct {
	Orders  fireflysaddle.Placer
	View    func() *saddleview.View
	Routing func() *saddlerouting.Routing // returns nil if none is known
	Term    func() uint64                 // term in which this replica leads and holds a lease, else 0
	// OnLayers receives the registration of an engine with the layers that it holds from now
	// on, before its heartbeat reports them, or though its heartbeats have ended.
	OnLayers func(ctx context.Context, reg *saddlewire.Registration)
	// OnEngineState receives the state of the engines. Each state replaces the previous one.
	OnEngineState func(ctx context.Context, state saddlecontrol.EngineState)
	Log           zerolog.Logger
}

// Placer plans the placement and sends the orders. Its state belongs to the goroutine
// of Run.
type Placer struct {
	cfg                Config
	term               uint64                               // term that this replica leads, else 0
	registrationsSince time.Time                            // since when targets have been known; zero: none are
	orders             map[fireflysaddle.TargetID]order     // pending orders
	engineSets         map[fireflysaddle.Group]engineSet    // as of the last reconcile
	ordersInTerm       uint64                               // orders sent in this term, for the fencing tokens
	refusedUntil       map[fireflysaddle.TargetID]time.Time // end of the backoff of engines that refused an order
	results            chan orderResult
	probes             probes
	silent             silentEngines
	lost               map[fireflysaddle.TargetID]uint64                        // incarnations of the engines that count as lost
	foreign            map[fireflysaddle.TargetID]uint64                        // incarnations of the engines that report layers which their model does not have, as logged
	capacities         map[fireflysaddle.Group]map[fireflysaddle.DataCentre]int // token capacities as last logged
}

// order is an order that was sent and is not yet reflected in the engine's heartbeats.
type order struct {
	incarnation uint64
	layers      saddleplan.Range
	sentAt      time.Time
	expiresAt   time.Time // time from which the order no longer counts as pending
}

// orderResult is the result of an order.
type orderResult struct {
	id    fireflysaddle.TargetID
	order order
	err   error
}

// New returns a placer that does nothing before Run.
func New(cfg Config) *Placer {
	return &Placer{
		cfg:          cfg,
		orders:       map[fireflysaddle.TargetID]order{},
		engineSets:   map[fireflysaddle.Group]engineSet{},
		refusedUntil: map[fireflysaddle.TargetID]time.Time{},
		results:      make(chan orderResult, 256),
		probes:       newProbes(),
		silent:       newSilentEngines(),
		lost:         map[fireflysaddle.TargetID]uint64{},
		foreign:      map[fireflysaddle.TargetID]uint64{},
		capacities:   map[fireflysaddle.Group]map[fireflysaddle.DataCentre]int{},
	}
}

// Run plans, sends orders and probes engines whenever this replica leads, until the
// context ends. It returns once all its calls to engines have ended.
func (p *Placer) Run(ctx context.Context) {
	tick := time.NewTicker(planInterval)
	defer tick.Stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case o := <-p.results:
			p.recordOrderResult(time.Now(), o)
		case r := <-p.probes.results:
			p.recordProbe(ctx, time.Now(), r)
		case r := <-p.silent.results:
			p.recordSilentProbe(ctx, r)
		case <-tick.C:
			p.reconcile(ctx, time.Now(), &wg)
		}
	}
}

// reconcile starts the orders and probes that are due. It starts none unless this replica
// leads.
func (p *Placer) reconcile(ctx context.Context, now time.Time, wg *sync.WaitGroup) {
	view := p.cfg.View()
	p.trackRegistrations(now, view)
	term := p.cfg.Term()
	if term == 0 {
		p.term = 0
		p.probes.clear()
		return
	}
	if term != p.term {
		p.term, p.ordersInTerm = term, 0
		clear(p.orders)
		clear(p.refusedUntil)
		p.silent.clear()
		clear(p.lost)
		clear(p.foreign)
		clear(p.capacities)
		p.cfg.Log.Info().Uint64("term", term).Msg("placement started")
	}
	routing := p.cfg.Routing()
	if routing == nil {
		return
	}
	maps.DeleteFunc(p.engineSets, func(group fireflysaddle.Group, _ engineSet) bool { return routing.Pools[group] == nil })
	maps.DeleteFunc(p.foreign, func(id fireflysaddle.TargetID, _ uint64) bool { return view.Registrations[string(id)] == nil })
	p.silent.update(view, func(reg *saddlewire.Registration) bool { return p.leaving(view, reg) })
	for _, pool := range routing.Pools {
		if pool.Model != nil {
			p.placeModel(ctx, now, wg, pool, view)
			p.startProbes(ctx, now, wg, pool, view)
		}
	}
}

// placeModel plans the layers of a pool's engines and sends the orders that result.
func (p *Placer) placeModel(ctx context.Context, now time.Time, wg *sync.WaitGroup, pool *saddlerouting.Pool, view *saddleview.View) {
	suspected := newSuspicions(view)
	var engines []saddleplan.Engine
	regs := map[fireflysaddle.TargetID]*saddlewire.Registration{}
	holding := false
	for id, reg := range view.Registrations {
		if fireflysaddle.Group(reg.GetGroup()) != pool.Group || p.leaving(view, reg) {
			continue
		}
		if !holdsLayersOf(pool.Model, reg) {
			p.logForeign(pool, reg)
			continue
		}
		e := p.planEngine(now, reg, suspected.lost(reg))
		p.logLost(reg, e.Lost, suspected.entries(id))
		holding = holding || e.Held.Len() > 0
		engines = append(engines, e)
		regs[e.ID] = reg
	}
	p.trackEngines(now, pool.Group, regs, holding)
	engines = append(engines, p.silentEngines(ctx, now, wg, pool, view)...)
	if holding && now.Sub(p.registrationsSince) < viewWarmup {
		return
	}
	if !holding && now.Sub(p.engineSets[pool.Group].changedAt) < settleTime {
		return
	}
	for id, layers := range saddleplan.Plan(pool.Model, engines, goalOf(pool)) {
		if _, registered := regs[id]; !registered || now.Before(p.refusedUntil[id]) {
			continue
		}
		p.sendOrder(ctx, now, wg, pool.Model, regs[id], layers, saddleplan.Holders(engines, fireflysaddle.DataCentre(regs[id].GetCentre()), layers))
	}
	p.logCapacities(pool, engines)
}

// goalOf returns the goal of the plan for a pool.
func goalOf(pool *saddlerouting.Pool) saddleplan.Goal {
	if pool.Ranked {
		return saddleplan.GoalRoom
	}
	return saddleplan.GoalCopies
}

// planEngine returns an engine as the plan takes it.
func (p *Placer) planEngine(now time.Time, reg *saddlewire.Registration, lost bool) saddleplan.Engine {
	return saddleplan.Engine{
		ID:          fireflysaddle.TargetID(reg.GetId()),
		Centre:      fireflysaddle.DataCentre(reg.GetCentre()),
		Accelerator: fireflysaddle.Accelerator(reg.GetAccelerator()),
		Held:        p.heldLayers(now, reg),
		Lost:        lost,
		Slow:        p.probes.stepTimeFactors[reg.GetId()] >= replaceStepTimeFactor,
		Pending:     p.pending(now, reg),
	}
}

// trackRegistrations records since when the view has registrations.
func (p *Placer) trackRegistrations(now time.Time, view *saddleview.View) {
	switch {
	case len(view.Registrations) == 0:
		p.registrationsSince = time.Time{}
	case p.registrationsSince.IsZero():
		p.registrationsSince = now
	}
}

// trackEngines records when the set of a pool's engines last changed.
func (p *Placer) trackEngines(now time.Time, group fireflysaddle.Group, regs map[fireflysaddle.TargetID]*saddlewire.Registration, holding bool) {
	next := p.engineSets[group].update(now, regs)
	if !holding && next.changedAt.After(p.engineSets[group].changedAt) {
		p.cfg.Log.Info().Str("group", string(group)).Int("engines", len(regs)).Dur("settle_time", settleTime).
			Msg("engines of a model that no engine holds have changed: it is placed once they settle")
	}
	p.engineSets[group] = next
}

// heldLayers returns the ordered layers while an order to the engine is pending.
// Otherwise it deletes the order and returns the layers that the engine reports in its
// heartbeats.
func (p *Placer) heldLayers(now time.Time, reg *saddlewire.Registration) saddleplan.Range {
	id := fireflysaddle.TargetID(reg.GetId())
	if p.pending(now, reg) {
		return p.orders[id].layers
	}
	delete(p.orders, id)
	return registeredLayers(reg)
}

// pending reports whether an order to the engine is pending.
func (p *Placer) pending(now time.Time, reg *saddlewire.Registration) bool {
	o, ok := p.orders[fireflysaddle.TargetID(reg.GetId())]
	return ok && o.incarnation == reg.GetIncarnation() && o.layers != registeredLayers(reg) && now.Before(o.expiresAt)
}

// holdsLayersOf reports whether an engine reports no layers that the model does not have.
func holdsLayersOf(model *saddlerouting.Model, reg *saddlewire.Registration) bool {
	for _, l := range reg.GetLayers() {
		if !model.HasLayers(int(l.GetFrom()), int(l.GetTo())) {
			return false
		}
	}
	return true
}

// registeredLayers returns the layers that an engine reports in its heartbeats.
func registeredLayers(reg *saddlewire.Registration) saddleplan.Range {
	list := reg.GetLayers()
	if len(list) == 0 {
		return saddleplan.Range{}
	}
	return saddleplan.Range{From: int(list[0].GetFrom()), To: int(list[0].GetTo())}
}
