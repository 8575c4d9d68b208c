package saddlefleet

import (
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
	// and the bytes of the answer between data centres.
	enterCost = float64(2 * time.Millisecond)
	// crossCost stands for a change of data centre within a chain. A prompt's
	// activations are tens of megabytes over a line that all engines share, so it
	// is worth a chain that is slower by this much for each token.
	crossCost = float64(8 * time.Millisecond)
	// faultCost is what a recent failure of a head adds.
	faultCost = float64(4 * time.Millisecond)
	// loadCost is by what factor a full engine is dearer than an empty one.
	loadCost = 1.0
	// roomUsed is the part of an engine's room that drafts are planned for: answers
	// turn out longer than estimated, and what the other entries have is known from
	// half a second ago.
	roomUsed = 0.95
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
	for _, p := range found {
		c.Parts = append(c.Parts, fireflysaddle.ChainPart{Address: p.target.Address, From: p.from, To: p.to})
		if !slices.Contains(c.Centres, p.target.Centre) {
			c.Centres = append(c.Centres, p.target.Centre)
		}
	}
	c.Head = found[0].target.Target
	f.reserve(found, pool.Model, float64(tokens), 1)
	return c, sync.OnceFunc(func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.reserve(found, pool.Model, float64(tokens), -1)
	}), false, true
}

type part struct {
	target   *target
	from, to int
}

// reserve notes what a request takes, or with sign -1 that it has ended.
func (f *Fleet) reserve(parts []part, model *saddlerouting.Model, tokens float64, sign int) {
	for _, p := range parts {
		layers := float64(p.to - p.from)
		p.target.running += sign
		p.target.reserved += float64(sign) * tokens * layers
		f.mine[p.target.Centre] += float64(sign) * tokens * layers / float64(model.Layers)
	}
}

// findChain returns the cheapest chain with room for a number of tokens; -1: room
// does not matter.
func (f *Fleet) findChain(now time.Time, pool *saddlerouting.Pool, tokens int, avoid []string) []part {
	model := pool.Model
	if model == nil {
		return nil
	}
	var holders []saddlepath.Holder
	var of []*target
	centres := map[fireflysaddle.DataCentre]int{f.centre: 0}
	for _, t := range f.groups[pool.Group] {
		acc, known := model.Accelerators[fireflysaddle.Accelerator(t.reg.GetAccelerator())]
		if !known || !t.usable(now) || slices.Contains(avoid, t.Address) {
			continue
		}
		load, fits := f.load(model, acc, t, tokens)
		if !fits {
			continue
		}
		if _, ok := centres[t.Centre]; !ok {
			centres[t.Centre] = len(centres)
		}
		for _, held := range t.reg.GetLayers() {
			holders = append(holders, saddlepath.Holder{
				From:     int(held.GetFrom()),
				To:       int(held.GetTo()),
				Centre:   centres[t.Centre],
				PerLayer: float64(model.StepTime(acc, 1)) * t.pace * (1 + loadCost*load),
				PerHop:   hopCost,
				AsHead:   faultCost * t.recentFaults(now),
			})
			of = append(of, t)
		}
	}
	var out []part
	for _, p := range saddlepath.Find(holders, model.Layers, 0, saddlepath.Costs{Enter: enterCost, Cross: crossCost}) {
		out = append(out, part{target: of[p.Holder], from: p.From, to: p.To})
	}
	return out
}

// load estimates how full an engine is, and whether a request of a number of
// tokens fits: from what this entry has there, and an even part of what the others
// have in its data centre.
func (f *Fleet) load(model *saddlerouting.Model, acc saddlerouting.Accelerator, t *target, tokens int) (load float64, fits bool) {
	layers := 0
	for _, held := range t.reg.GetLayers() {
		layers += int(held.GetTo() - held.GetFrom())
	}
	if layers == 0 {
		return 0, false
	}
	room := float64(model.Room(acc, layers)*layers) * roomUsed
	taken := t.reserved + f.others[t.Centre]*float64(layers)
	if tokens < 0 {
		return 0, true
	}
	if room <= 0 {
		return 1, false
	}
	return taken / room, taken+float64(tokens*layers) <= room
}

// Covered reports whether the engines of a group hold all layers of its model.
func (f *Fleet) Covered(now time.Time, pool *saddlerouting.Pool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.findChain(now, pool, -1, nil) != nil
}
