package saddlefleet

import (
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
	// crossCost stands for a change of data centre. A prompt's activations are
	// tens of megabytes over a line that all engines share, so it is worth a
	// chain that is slower by this much for each token.
	crossCost = float64(6 * time.Millisecond)
	// loadCost is by what factor a full engine is dearer than an empty one.
	loadCost = 2.0
	// foreignShare is the part of another data centre's engines that an entry
	// takes for its own, as a part of an even share.
	foreignShare = 0.5
	// shareSlack is by how much an entry may exceed its even share: callers are
	// spread over the entries unevenly.
	shareSlack = 1.4
)

// PickChain chooses a chain for a request that takes a number of tokens, passing
// over some addresses. done must be called when the request has ended. full tells
// a lack of room from a lack of engines.
func (f *Fleet) PickChain(now time.Time, pool *saddlerouting.Pool, tokens int, avoid []string) (c Chain, done func(), full, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	found := f.findChain(now, pool, tokens, avoid)
	if found == nil {
		return Chain{}, nil, f.findChain(now, pool, 0, avoid) != nil, false
	}
	for _, p := range found {
		p.target.running++
		p.target.reserved += float64(tokens * (p.to - p.from))
		c.Parts = append(c.Parts, fireflysaddle.ChainPart{Address: p.target.Address, From: p.from, To: p.to})
	}
	c.Head = found[0].target.Target
	return c, sync.OnceFunc(func() { f.release(found, tokens) }), false, true
}

type part struct {
	target   *target
	from, to int
}

func (f *Fleet) release(parts []part, tokens int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range parts {
		p.target.running--
		p.target.reserved -= float64(tokens * (p.to - p.from))
	}
}

func (f *Fleet) findChain(now time.Time, pool *saddlerouting.Pool, tokens int, avoid []string) []part {
	model := pool.Model
	if model == nil {
		return nil
	}
	var holders []saddlepath.Holder
	var of []*target
	centres := map[fireflysaddle.DataCentre]int{f.centre: 0}
	for _, t := range f.modelHolders(now, pool.Group, avoid) {
		if _, ok := centres[t.Centre]; !ok {
			centres[t.Centre] = len(centres)
		}
		acc, ok := model.Accelerators[fireflysaddle.Accelerator(t.reg.GetAccelerator())]
		if !ok {
			continue
		}
		load, fits := f.load(model, acc, t, tokens)
		if !fits {
			continue
		}
		for _, held := range t.reg.GetLayers() {
			holders = append(holders, saddlepath.Holder{
				From:     int(held.GetFrom()),
				To:       int(held.GetTo()),
				Centre:   centres[t.Centre],
				PerLayer: float64(model.StepTime(acc, 1)) * (1 + loadCost*load),
				PerHop:   hopCost,
			})
			of = append(of, t)
		}
	}
	var out []part
	for _, p := range saddlepath.Find(holders, model.Layers, 0, crossCost) {
		out = append(out, part{target: of[p.Holder], from: p.From, to: p.To})
	}
	return out
}

// load estimates how full an engine is from what this entry has there, and
// whether a request of a number of tokens fits into this entry's part.
func (f *Fleet) load(model *saddlerouting.Model, acc saddlerouting.Accelerator, t *target, tokens int) (load float64, fits bool) {
	layers := 0
	for _, held := range t.reg.GetLayers() {
		layers += int(held.GetTo() - held.GetFrom())
	}
	room := float64(model.Room(acc, layers) * layers)
	if room <= 0 {
		return 0, false
	}
	share := shareSlack / float64(f.near)
	if t.Centre != f.centre {
		share = shareSlack * foreignShare / float64(f.entries)
	}
	mine := room * min(1, share)
	after := t.reserved + float64(tokens*layers)
	return t.reserved / mine, after <= mine
}
