package saddleplan

import (
	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlerouting"
)

// fillGaps assigns the layers of the gaps, the ranges of layers without a holder, to
// empty engines and to the neighbours of the gaps. It plans with the largest token
// capacity at which these engines can hold all of the layers. It returns nil if that
// capacity is below atLeast or if there are no gaps.
func fillGaps(model *saddlerouting.Model, engines []Engine, gaps []Range, atLeast int) map[fireflysaddle.TargetID]Range {
	for capacity := preferredCapacity; capacity >= atLeast && len(gaps) > 0; capacity -= capacityStep {
		if out := fillGapsAt(model, engines, gaps, capacity); out != nil {
			return out
		}
	}
	return nil
}

// fillGapsAt assigns each gap to empty engines, the best fit first, with a given
// token capacity. Layers that the empty engines cannot hold are assigned to the
// neighbours of the gap. It returns nil if the engines cannot hold all layers of the
// gaps.
func fillGapsAt(model *saddlerouting.Model, engines []Engine, gaps []Range, capacity int) map[fireflysaddle.TargetID]Range {
	out := map[fireflysaddle.TargetID]Range{}
	for _, gap := range gaps {
		before, after := neighbours(engines, out, gap)
		missing := gap.Len() - emptyEngineLayers(model, engines, out, capacity)
		if n := min(missing, additionalLayers(model, before, capacity)); n > 0 {
			out[before.ID] = Range{From: before.Held.From, To: gap.From + n}
			gap.From += n
		}
		for gap.Len() > 0 {
			next := bestFit(model, engines, out, gap.Len(), capacity)
			if next == nil {
				break
			}
			n := min(maxLayers(model, *next, capacity), gap.Len())
			out[next.ID] = Range{From: gap.From, To: gap.From + n}
			gap.From += n
		}
		if n := min(gap.Len(), additionalLayers(model, after, capacity)); n > 0 {
			out[after.ID] = Range{From: gap.To - n, To: after.Held.To}
			gap.To -= n
		}
		if gap.Len() > 0 {
			return nil
		}
	}
	return out
}

// emptyEngineLayers returns the number of layers that the unassigned empty engines can
// hold with a token capacity.
func emptyEngineLayers(model *saddlerouting.Model, engines []Engine, assigned map[fireflysaddle.TargetID]Range, capacity int) int {
	n := 0
	for _, e := range engines {
		if _, ok := assigned[e.ID]; !ok && e.Held.Len() == 0 {
			n += maxLayers(model, e, capacity)
		}
	}
	return n
}

// neighbours returns an unassigned engine without a pending order that holds the layer directly before a gap, or
// nil if there is none, and an unassigned engine that holds the layer directly after the
// gap, or nil if there is none.
func neighbours(engines []Engine, assigned map[fireflysaddle.TargetID]Range, gap Range) (before, after *Engine) {
	for i, e := range engines {
		if _, ok := assigned[e.ID]; ok || e.Pending || e.Held.Len() == 0 {
			continue
		}
		if e.Held.To == gap.From {
			before = &engines[i]
		}
		if e.Held.From == gap.To {
			after = &engines[i]
		}
	}
	return before, after
}

// additionalLayers returns how many more layers an engine can hold with a token
// capacity, or 0 if the engine is nil.
func additionalLayers(model *saddlerouting.Model, e *Engine, capacity int) int {
	if e == nil {
		return 0
	}
	return max(0, maxLayers(model, *e, capacity)-e.Held.Len())
}

// bestFit returns the unassigned empty engine that fits a number of layers best. This is
// the smallest engine that can hold all of them. If no engine can, it is the largest
// engine. bestFit returns nil if no unassigned empty engine can hold any layer.
func bestFit(model *saddlerouting.Model, engines []Engine, assigned map[fireflysaddle.TargetID]Range, layers, capacity int) *Engine {
	var best *Engine
	for i, e := range engines {
		n := maxLayers(model, e, capacity)
		if _, ok := assigned[e.ID]; ok || e.Held.Len() > 0 || n == 0 {
			continue
		}
		if best == nil || fitsBetter(n, maxLayers(model, *best, capacity), layers) {
			best = &engines[i]
		}
	}
	return best
}

// fitsBetter reports whether an engine fits a gap better than the best engine so far.
// layers and bestLayers are the numbers of layers that the two engines can hold. gapLayers
// is the number of layers in the gap.
func fitsBetter(layers, bestLayers, gapLayers int) bool {
	if (layers >= gapLayers) != (bestLayers >= gapLayers) {
		return layers >= gapLayers
	}
	if layers >= gapLayers {
		return layers < bestLayers
	}
	return layers > bestLayers
}
