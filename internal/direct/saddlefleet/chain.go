package saddlefleet

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlepath"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlerouting"
)

// Chain is a sequence of engines selected for a request.
type Chain struct {
	Head  Target
	Parts []fireflysaddle.ChainPart
	// Centres lists the data centres of the engines, without duplicates.
	Centres []fireflysaddle.DataCentre

	reserved *reservation
}

// reservation is the token capacity that a request occupies at the engines of its
// chain.
type reservation struct {
	model  *saddlerouting.Model
	tokens int
	parts  []part
}

// Includes reports whether the chain includes the engine at an address.
func (c Chain) Includes(address string) bool {
	return slices.ContainsFunc(c.Parts, func(p fireflysaddle.ChainPart) bool { return p.Address == address })
}

// Addresses returns the engines' addresses in the order of the chain.
func (c Chain) Addresses() []string {
	out := make([]string, len(c.Parts))
	for i, p := range c.Parts {
		out[i] = p.Address
	}
	return out
}

const (
	// hopCostNS is the latency that each engine of a chain adds to a token: the
	// wait for its next step and the network hop to it.
	hopCostNS = float64(500 * time.Microsecond)
	// remoteHeadCostNS is the cost of a head in another data centre: the round trip
	// to it, and the charge for the traffic of the answer between the data centres.
	// Because of this cost, a request stays in the local data centre until the engines
	// there are about two thirds full.
	remoteHeadCostNS = float64(100 * time.Millisecond)
	// rankedRemoteHeadCostNS replaces remoteHeadCostNS where callers compete for room. Room in
	// another data centre serves them better than a wait, and what crosses is the answer only.
	// It keeps a request in its data centre unless the engines there are much busier.
	rankedRemoteHeadCostNS = float64(8 * time.Millisecond)
	// crossCentreCostNS is the cost of each crossing between data centres in a chain. A
	// prompt's activations are tens of megabytes over a link that all engines share, so
	// a crossing costs more than a chain of fully loaded engines.
	crossCentreCostNS = float64(time.Second)
	// headFaultCostNS is the cost that each recent fault of a head adds.
	headFaultCostNS = float64(4 * time.Millisecond)
	// failingHeadCostNS is the cost of a head that fails many drafts. A head in another
	// data centre is preferred to it. It is a cost and no exclusion, so that drafts are
	// still sent if all heads fail some.
	failingHeadCostNS = 4 * remoteHeadCostNS
)

// PickChain selects the cheapest chain with capacity for the tokens of a request,
// without the engines whose addresses are in avoid, and reserves that capacity. done must
// be called when the request has ended; it releases the reservation. If there is no such
// chain, ok is false, and full reports whether the usable engines hold all layers.
func (f *Fleet) PickChain(now time.Time, pool *saddlerouting.Pool, tokens int, avoid []string) (c Chain, done func(), full, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	found := f.findChain(now, pool, tokens, avoid)
	if found == nil {
		return Chain{}, nil, f.covered(now, pool, avoid), false
	}
	c = newChain(&reservation{model: pool.Model, tokens: tokens, parts: found})
	f.reserve(c.reserved, found, 1)
	head := found[0].target
	head.headRequests++
	recordSends(now, found)
	recordPrompt(now, pool.Model, found, tokens)
	f.recordBegin(now, head)
	f.linkBudget.spend(pool.Model, tokens, crossings(found))
	return c, sync.OnceFunc(func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.reserve(c.reserved, c.reserved.parts, -1)
		head.headRequests--
	}), false, true
}

func newChain(r *reservation) Chain {
	c := Chain{Head: r.parts[0].target.Target, reserved: r}
	for _, p := range r.parts {
		c.Parts = append(c.Parts, fireflysaddle.ChainPart{Address: p.target.Address, From: p.from, To: p.to})
		if !slices.Contains(c.Centres, p.target.Centre) {
			c.Centres = append(c.Centres, p.target.Centre)
		}
	}
	return c
}

// part is a stage of a chain: an engine and the layers [from, to) that it runs.
type part struct {
	target   *target
	from, to int
}

// crossings returns the number of crossings between data centres along a chain.
func crossings(parts []part) int {
	n := 0
	for i := 1; i < len(parts); i++ {
		if parts[i].target.Centre != parts[i-1].target.Centre {
			n++
		}
	}
	return n
}

// recordSends records that the engines of a chain get a request.
func recordSends(now time.Time, parts []part) {
	for _, p := range parts {
		p.target.pause.recordSend(now)
	}
}

// reserve adds the tokens of a request to the load of some parts of its chain if sign is
// 1, and subtracts them if sign is -1.
func (f *Fleet) reserve(r *reservation, parts []part, sign int) {
	for _, p := range parts {
		tokenLayers := float64(sign*r.tokens) * float64(p.to-p.from)
		p.target.inFlight += sign
		p.target.reservedTokenLayers += tokenLayers
		f.ownTokens[p.target.section] += tokenLayers / float64(r.model.Layers)
	}
}

// findChain returns the cheapest chain with capacity for a number of tokens, or nil if
// there is none. A chain through several data centres costs more than any chain through
// one, so it is considered only if there is no other. The search of one data centre takes
// as long in a large fleet as in a small one.
func (f *Fleet) findChain(now time.Time, pool *saddlerouting.Pool, tokens int, avoid []string) []part {
	if pool.Model == nil {
		return nil
	}
	if found := f.findLocalChain(now, pool, tokens, avoid); found != nil {
		return found
	}
	if !f.linkBudget.allows(now, pool.Model, f.entryCount) {
		return nil
	}
	engines := usableEngines(now, pool.Model, f.holders[pool.Group], avoid)
	found, _ := f.candidates(now, pool, engines, tokens).findParts(pool.Model.Layers, f.centre, saddlepath.Costs{
		ToFirstPart: remoteCost(pool), BetweenParts: crossCentreCostNS,
	})
	return found
}

// remoteCost returns the cost of a head in another data centre.
func remoteCost(pool *saddlerouting.Pool) float64 {
	if pool.Ranked {
		return rankedRemoteHeadCostNS
	}
	return remoteHeadCostNS
}

// findLocalChain returns the cheapest chain of those that stay in one data centre, or nil
// if there is none. The other data centres are searched only if the chain in this entry's
// data centre costs more than it costs to reach another.
func (f *Fleet) findLocalChain(now time.Time, pool *saddlerouting.Pool, tokens int, avoid []string) []part {
	model := pool.Model
	byCentre := f.holdersByCentre[pool.Group]
	remote := remoteCost(pool)
	costs := saddlepath.Costs{ToFirstPart: remote, BetweenParts: math.Inf(1)}
	search := func(centre fireflysaddle.DataCentre) ([]part, float64) {
		engines := usableEngines(now, model, byCentre[centre], avoid)
		return f.candidates(now, pool, engines, tokens).findParts(model.Layers, f.centre, costs)
	}
	best, bestCost := search(f.centre)
	if bestCost <= remote {
		return best
	}
	for centre := range byCentre {
		if centre == f.centre {
			continue
		}
		if found, cost := search(centre); cost < bestCost {
			best, bestCost = found, cost
		}
	}
	return best
}

// candidates are the engines that may be part of a chain.
type candidates struct {
	pathEngines []saddlepath.Engine
	targets     []*target // targets of pathEngines, in the same order
	centres     map[fireflysaddle.DataCentre]int
}

// centreIndex returns the index of a data centre, which is assigned on first use.
func (c *candidates) centreIndex(centre fireflysaddle.DataCentre) int {
	n, ok := c.centres[centre]
	if !ok {
		n = len(c.centres)
		c.centres[centre] = n
	}
	return n
}

// findParts returns the cheapest sequence of stages through all layers and its cost, or nil
// if there is none. centre is the data centre from which the request reaches the first stage.
func (c *candidates) findParts(layers int, centre fireflysaddle.DataCentre, costs saddlepath.Costs) ([]part, float64) {
	found, cost := saddlepath.Find(c.pathEngines, layers, c.centreIndex(centre), costs)
	var out []part
	for _, p := range found {
		out = append(out, part{target: c.targets[p.Engine], from: p.From, to: p.To})
	}
	return out, cost
}

// candidates returns those of the engines that have capacity for a number of tokens, and
// their costs. An engine whose limit is used up can be any stage of a chain but the head,
// which alone gets the request from the entry.
func (f *Fleet) candidates(now time.Time, pool *saddlerouting.Pool, engines []*target, tokens int) *candidates {
	model := pool.Model
	weights := expectedLayers(model, engines)
	c := &candidates{centres: map[fireflysaddle.DataCentre]int{}}
	for i, t := range engines {
		load, maxLayers := f.load(model, t, weights[i], tokens)
		if maxLayers == 0 {
			continue
		}
		acc := model.Accelerators[fireflysaddle.Accelerator(t.reg.GetAccelerator())]
		headCost := headFaultCostNS * t.faults.at(now)
		if t.failing(now) {
			headCost += failingHeadCostNS
		}
		if !t.limit.accepts(now, f.entryCount) {
			headCost = math.Inf(1)
		}
		reading, readingCost := 1.0, 0.0
		if pool.Ranked {
			reading, readingCost = f.readPenalty(now, model, t), f.readingCost(t, pool.FirstByteObjective)
			headCost += f.slotCost(model, t)
		}
		for _, held := range t.reg.GetLayers() {
			c.pathEngines = append(c.pathEngines, saddlepath.Engine{
				From:      int(held.GetFrom()),
				To:        int(held.GetTo()),
				Centre:    c.centreIndex(t.Centre),
				LayerCost: float64(model.StepTime(acc, 1)) * t.stepTimeFactor * t.stepTimeFactor * loadPenalty(load) * reading, // squared, because the queue grows with the factor as well
				HopCost:   hopCostNS*reading + readingCost,
				HeadCost:  headCost,
				MaxLayers: maxLayers,
			})
			c.targets = append(c.targets, t)
		}
	}
	return c
}

// usableEngines returns those of the engines that are usable and not pausing, hold layers of the
// model and have a type of accelerator that it describes, without those whose addresses are in
// avoid.
func usableEngines(now time.Time, model *saddlerouting.Model, engines []*target, avoid []string) []*target {
	out := make([]*target, 0, len(engines))
	for _, t := range engines {
		_, known := model.Accelerators[fireflysaddle.Accelerator(t.reg.GetAccelerator())]
		if known && t.holdsLayersOf(model) && t.usable(now) && t.pause.accepts(now) && !slices.Contains(avoid, t.Address) {
			out = append(out, t)
		}
	}
	return out
}

// Covered reports whether the usable engines of a pool hold all layers of its model,
// regardless of their capacity and of the link budget.
func (f *Fleet) Covered(now time.Time, pool *saddlerouting.Pool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.covered(now, pool, nil)
}

func (f *Fleet) covered(now time.Time, pool *saddlerouting.Pool, avoid []string) bool {
	if pool.Model == nil {
		return false
	}
	held := make([]bool, pool.Model.Layers)
	for _, t := range usableEngines(now, pool.Model, f.holders[pool.Group], avoid) {
		t.eachLayer(pool.Model.Layers, func(l int) { held[l] = true })
	}
	return !slices.Contains(held, false)
}
