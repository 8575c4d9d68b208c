package saddlefleet

import (
	"slices"
	"time"

	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlepath"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlerouting"
)

// Repair returns a chain in which other engines run the layers of the engine at address
// lost. These engines are in the data centre of the engine that precedes the lost one in
// the chain. The reservation for the lost engine moves to them. Repair returns false if no
// such engines have capacity, if the lost engine is the head or if it is not in the chain.
func (f *Fleet) Repair(now time.Time, pool *saddlerouting.Pool, c Chain, lost string) (Chain, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if pool.Model == nil || c.reserved == nil {
		return Chain{}, false
	}
	parts := c.reserved.parts
	index := slices.IndexFunc(parts, func(p part) bool { return p.target.Address == lost })
	if index <= 0 {
		return Chain{}, false
	}
	centre := parts[index-1].target.Centre
	engines := usableEngines(now, pool.Model, f.byCentre[pool.Group][centre], c.Addresses())
	candidates := f.candidates(now, pool, engines, c.reserved.tokens)
	candidates.clip(parts[index].from, parts[index].to)
	found, _ := candidates.findParts(parts[index].to-parts[index].from, centre, saddlepath.Costs{})
	if found == nil {
		return Chain{}, false
	}
	for i := range found {
		found[i].from += parts[index].from
		found[i].to += parts[index].from
	}
	f.reserve(c.reserved, parts[index:index+1], -1)
	f.reserve(c.reserved, found, 1)
	recordSends(now, found)
	c.reserved.parts = slices.Concat(parts[:index], found, parts[index+1:])
	return newChain(c.reserved), true
}

// clip restricts the engines to the layers [from, to) of a chain that has a head, and
// renumbers the layers so that from becomes 0. Engines without any of these layers are removed.
func (c *candidates) clip(from, to int) {
	var pathEngines []saddlepath.Engine
	var targets []*target
	for i, e := range c.pathEngines {
		e.From = max(e.From, from) - from
		e.To = min(e.To, to) - from
		e.HeadCost = 0 // the chain has a head before them
		if e.From < e.To {
			pathEngines = append(pathEngines, e)
			targets = append(targets, c.targets[i])
		}
	}
	c.pathEngines, c.targets = pathEngines, targets
}
