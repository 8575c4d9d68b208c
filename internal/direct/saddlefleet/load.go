package saddlefleet

import (
	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlerouting"
)

const (
	// fullest is the load from which an engine counts as full: it costs a hundred
	// times what it costs empty.
	fullest = 0.9
	// ownTokens are tokens that this entry is reckoned to have in each data centre,
	// spread by room, besides its own, when the others are reckoned to divide their
	// drafts as it does: two drafts, so that a single one says little.
	ownTokens = 2000
	// unseenPart is how many usual drafts each other entry is reckoned to have begun
	// at an engine since it last reported. It keeps entries off engines with room for
	// a few drafts only while there are others.
	unseenPart = 0.5
	// alikePart is the part of this entry's load that the others are each reckoned to
	// have at least: callers are spread unevenly, some entries have twice the mean.
	alikePart = 0.5
	// roomUsed is the part of an engine's room that drafts are planned for: answers
	// turn out longer than estimated, and what the other entries have is known from
	// half a second ago.
	roomUsed = 0.95
)

// crowding returns by what factor an engine is dearer than an empty one. It rises
// faster and faster, because requests that find no memory wait or are refused; beyond
// the load that counts as full, where loads are guesses, it goes on to rise.
func crowding(load float64) float64 {
	free := 1 - min(load, fullest)
	over := max(1, load/fullest)
	return over * over * over * over / (free * free)
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
	unseen := unseenPart * float64(f.sharers[t.Centre]*(model.MeanPromptTokens+model.MeanAnswerTokens))
	room := max(0, t.room(model)*roomUsed-unseen) * float64(layers)
	part := (t.reserved + ownTokens*weight) / (f.mine[t.Centre] + ownTokens)
	taken := max(t.reserved+f.others[t.Centre]*part, f.said[t.Centre]*part)
	if room <= taken {
		return 1, 0
	}
	likely := max(taken, t.reserved+f.likelyAt(t.Centre)*part)
	return likely / room, min(layers, int((room-taken)/float64(max(1, tokens))))
}

// likelyAt returns the tokens that the other entries of a data centre are likely to
// have there at least, each a part of what this entry has: after a start, and while
// load rises, reports are behind. It spreads drafts, but refuses none.
func (f *Fleet) likelyAt(centre fireflysaddle.DataCentre) float64 {
	own := 0.0
	for _, tokens := range f.mine {
		own += tokens
	}
	return alikePart * own * float64(f.sharers[centre])
}
