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
	// and the bytes of the answer between data centres, which are priced. It is
	// what a chain of the own data centre gains when it goes from nearly full to
	// nearly empty.
	enterCost = float64(10 * time.Millisecond)
	// crossCost stands for a change of data centre within a chain. A prompt's
	// activations are tens of megabytes over a line that all engines share, so it
	// is worth a chain that is slower by this much for each token.
	crossCost = float64(12 * time.Millisecond)
	// faultCost is what a recent failure of a head adds.
	faultCost = float64(4 * time.Millisecond)
	// fullest is the load beyond which engines cost the same: a hundred times what
	// they cost empty.
	fullest = 0.9
	// ownTokens are tokens that this entry is reckoned to have in each data centre,
	// spread by room, besides its own, when the others are reckoned to divide their
	// drafts as it does: two drafts, so that a single one says little.
	ownTokens = 2000
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
	f.line.take(pool.Model, tokens, crossings(found))
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
	engines := f.usableEngines(now, pool, avoid)
	weights := weigh(model, engines)
	var holders []saddlepath.Holder
	var of []*target
	centres := map[fireflysaddle.DataCentre]int{f.centre: 0}
	for i, t := range engines {
		load, most := f.load(model, t, weights[i], tokens)
		if most == 0 {
			continue
		}
		if _, ok := centres[t.Centre]; !ok {
			centres[t.Centre] = len(centres)
		}
		acc := model.Accelerators[fireflysaddle.Accelerator(t.reg.GetAccelerator())]
		for _, held := range t.reg.GetLayers() {
			holders = append(holders, saddlepath.Holder{
				From:     int(held.GetFrom()),
				To:       int(held.GetTo()),
				Centre:   centres[t.Centre],
				PerLayer: float64(model.StepTime(acc, 1)) * t.pace * crowding(load),
				PerHop:   hopCost,
				AsHead:   faultCost * t.recentFaults(now),
				Most:     most,
			})
			of = append(of, t)
		}
	}
	costs := saddlepath.Costs{Enter: enterCost, Cross: crossCost}
	if tokens >= 0 && !f.line.open(now, model, f.entries) {
		costs.Cross = math.Inf(1)
	}
	var out []part
	for _, p := range saddlepath.Find(holders, model.Layers, 0, costs) {
		out = append(out, part{target: of[p.Holder], from: p.From, to: p.To})
	}
	return out
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

// crowding returns by what factor an engine is dearer than an empty one. It rises
// faster and faster, because requests that find no memory wait or are refused.
func crowding(load float64) float64 {
	free := 1 - min(load, fullest)
	return 1 / (free * free)
}

// weigh returns for each engine how many layers of a chain through its data centre
// it runs if load is even: a layer that several engines hold counts for each by its
// room.
func weigh(model *saddlerouting.Model, engines []*target) []float64 {
	rooms := make([]float64, len(engines))
	held := map[fireflysaddle.DataCentre][]float64{}
	for i, t := range engines {
		if held[t.Centre] == nil {
			held[t.Centre] = make([]float64, model.Layers)
		}
		rooms[i] = max(1, t.room(model))
		t.eachLayer(model.Layers, func(l int) { held[t.Centre][l] += rooms[i] })
	}
	out := make([]float64, len(engines))
	for i, t := range engines {
		t.eachLayer(model.Layers, func(l int) { out[i] += rooms[i] / held[t.Centre][l] })
	}
	return out
}

// room returns for how many tokens a target has room at each layer that it holds.
func (t *target) room(model *saddlerouting.Model) float64 {
	layers := 0
	t.eachLayer(model.Layers, func(int) { layers++ })
	acc := model.Accelerators[fireflysaddle.Accelerator(t.reg.GetAccelerator())]
	return float64(model.Room(acc, layers))
}

// eachLayer calls do for each layer that a target holds.
func (t *target) eachLayer(layers int, do func(l int)) {
	for _, held := range t.reg.GetLayers() {
		for l := int(held.GetFrom()); l < min(layers, int(held.GetTo())); l++ {
			do(l)
		}
	}
}

// load estimates how full an engine is and how many layers it has room to run for
// a request of a number of tokens. What it holds already is taken from this
// entry's requests and the others', or from what the engines say if that is more:
// they may still work for entries that are gone. The others are reckoned to divide
// their requests among the engines as this entry does.
func (f *Fleet) load(model *saddlerouting.Model, t *target, weight float64, tokens int) (load float64, most int) {
	layers := 0
	t.eachLayer(model.Layers, func(int) { layers++ })
	if tokens < 0 {
		return 0, layers
	}
	room := t.room(model) * float64(layers) * roomUsed
	part := (t.reserved + ownTokens*weight) / (f.mine[t.Centre] + ownTokens)
	taken := max(t.reserved+f.others[t.Centre]*part, f.said[t.Centre]*part)
	if room <= taken {
		return 1, 0
	}
	return taken / room, min(layers, int((room-taken)/float64(max(1, tokens))))
}

// Covered reports whether the engines of a group hold all layers of its model.
func (f *Fleet) Covered(now time.Time, pool *saddlerouting.Pool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.findChain(now, pool, -1, nil) != nil
}
