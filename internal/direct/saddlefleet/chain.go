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

// Chain is a chain of engines that was chosen for a request.
type Chain struct {
	Head  Target
	Parts []fireflysaddle.ChainPart
	// Centres are the data centres that it passes through, without repeats.
	Centres []fireflysaddle.DataCentre

	taken *reservation
}

// reservation is what a request takes at the engines of its chain.
type reservation struct {
	model  *saddlerouting.Model
	tokens int
	parts  []part
}

// Includes reports whether the chain passes through an engine.
func (c Chain) Includes(address string) bool {
	return slices.ContainsFunc(c.Parts, func(p fireflysaddle.ChainPart) bool { return p.Address == address })
}

// Addresses returns the engines' addresses.
func (c Chain) Addresses() []string {
	out := make([]string, len(c.Parts))
	for i, p := range c.Parts {
		out[i] = p.Address
	}
	return out
}

const (
	// hopCost is the time that passing through one more engine adds to a token:
	// a wait for its next step and the way there.
	hopCost = float64(500 * time.Microsecond)
	// enterCost stands for a head in another data centre: the way there and back,
	// and the bytes of the answer between data centres, which are priced. A draft
	// stays at home until the engines there are about two thirds full.
	enterCost = float64(100 * time.Millisecond)
	// crossCost stands for a change of data centre within a chain. A prompt's
	// activations are tens of megabytes over a line that all engines share, so it is
	// dearer than a chain of full engines.
	crossCost = float64(time.Second)
	// faultCost is what a recent failure of a head adds.
	faultCost = float64(4 * time.Millisecond)
)

// PickChain chooses a chain for a request that takes a number of tokens, passing
// over some addresses. done must be called when the request has ended. full tells
// a lack of room from a lack of engines.
func (f *Fleet) PickChain(now time.Time, pool *saddlerouting.Pool, tokens int, avoid []string) (c Chain, done func(), full, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	found := f.findChain(now, pool, tokens, avoid)
	if found == nil {
		return Chain{}, nil, f.findChain(now, pool, -1, avoid) != nil, false
	}
	c = chainOf(&reservation{model: pool.Model, tokens: tokens, parts: found})
	f.reserve(c.taken, found, 1)
	f.line.take(pool.Model, tokens, crossings(found))
	return c, sync.OnceFunc(func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.reserve(c.taken, c.taken.parts, -1)
	}), false, true
}

func chainOf(r *reservation) Chain {
	c := Chain{Head: r.parts[0].target.Target, taken: r}
	for _, p := range r.parts {
		c.Parts = append(c.Parts, fireflysaddle.ChainPart{Address: p.target.Address, From: p.from, To: p.to})
		if !slices.Contains(c.Centres, p.target.Centre) {
			c.Centres = append(c.Centres, p.target.Centre)
		}
	}
	return c
}

type part struct {
	target   *target
	from, to int
}

// crossings returns how often a chain changes between data centres.
func crossings(parts []part) int {
	n := 0
	for i := 1; i < len(parts); i++ {
		if parts[i].target.Centre != parts[i-1].target.Centre {
			n++
		}
	}
	return n
}

// reserve notes what a request takes at some parts, or with sign -1 that it has
// ended there.
func (f *Fleet) reserve(r *reservation, parts []part, sign int) {
	for _, p := range parts {
		taken := float64(sign*r.tokens) * float64(p.to-p.from)
		p.target.running += sign
		p.target.reserved += taken
		f.mine[p.target.Centre] += taken / float64(r.model.Layers)
	}
}

// findChain returns the cheapest chain with room for a number of tokens; -1: room
// does not matter.
func (f *Fleet) findChain(now time.Time, pool *saddlerouting.Pool, tokens int, avoid []string) []part {
	if pool.Model == nil {
		return nil
	}
	choices := f.choices(now, pool, tokens, avoid)
	costs := saddlepath.Costs{Enter: enterCost, Cross: crossCost}
	if tokens >= 0 && !f.line.open(now, pool.Model, f.entries) {
		costs.Cross = math.Inf(1)
	}
	return choices.find(pool.Model.Layers, f.centre, costs)
}

// choices are the engines that may be parts of a chain.
type choices struct {
	holders []saddlepath.Engine
	of      []*target // of each holder
	centres map[fireflysaddle.DataCentre]int
}

// number returns the number of a data centre.
func (c *choices) number(centre fireflysaddle.DataCentre) int {
	n, ok := c.centres[centre]
	if !ok {
		n = len(c.centres)
		c.centres[centre] = n
	}
	return n
}

func (c *choices) find(layers int, centre fireflysaddle.DataCentre, costs saddlepath.Costs) []part {
	var out []part
	for _, p := range saddlepath.Find(c.holders, layers, c.number(centre), costs) {
		out = append(out, part{target: c.of[p.Engine], from: p.From, to: p.To})
	}
	return out
}

// choices returns the engines with room for a number of tokens, and their costs; -1:
// room does not matter.
func (f *Fleet) choices(now time.Time, pool *saddlerouting.Pool, tokens int, avoid []string) *choices {
	model := pool.Model
	engines := f.usableEngines(now, pool, avoid)
	weights := weigh(model, engines)
	c := &choices{centres: map[fireflysaddle.DataCentre]int{}}
	for i, t := range engines {
		load, most := f.load(model, t, weights[i], tokens)
		if most == 0 {
			continue
		}
		acc := model.Accelerators[fireflysaddle.Accelerator(t.reg.GetAccelerator())]
		for _, held := range t.reg.GetLayers() {
			c.holders = append(c.holders, saddlepath.Engine{
				From:      int(held.GetFrom()),
				To:        int(held.GetTo()),
				Centre:    c.number(t.Centre),
				LayerCost: float64(model.StepTime(acc, 1)) * t.pace * t.pace * crowding(load), // its queue grows with its pace, too
				HopCost:   hopCost,
				HeadCost:  faultCost * t.recentFaults(now),
				MaxLayers: most,
			})
			c.of = append(c.of, t)
		}
	}
	return c
}

// usableEngines returns the engines of a group that hold layers and may be used.
func (f *Fleet) usableEngines(now time.Time, pool *saddlerouting.Pool, avoid []string) []*target {
	var out []*target
	for _, t := range f.groups[pool.Group] {
		_, known := pool.Model.Accelerators[fireflysaddle.Accelerator(t.reg.GetAccelerator())]
		if known && len(t.reg.GetLayers()) > 0 && t.usable(now) && !slices.Contains(avoid, t.Address) {
			out = append(out, t)
		}
	}
	return out
}

// Covered reports whether the engines of a group hold all layers of its model.
func (f *Fleet) Covered(now time.Time, pool *saddlerouting.Pool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.findChain(now, pool, -1, nil) != nil
}
