package saddleplan

import (
	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlerouting"
)

// fillGaps assigns the layers of the gaps to empty engines and to the neighbours of
// the gaps, with the largest token capacity at which they can hold all of them. It
// returns nil if that capacity is below atLeast.
func fillGaps(model *saddlerouting.Model, engines []Engine, gaps []Range, atLeast int) map[fireflysaddle.TargetID]Range {
	for capacity := preferredCapacity; capacity >= atLeast && len(gaps) > 0; capacity -= capacityStep {
		if out := fillGapsAt(model, engines, gaps, capacity); out != nil {
			return out
		}
	}
	return nil
}

// fillGapsAt assigns each gap to empty engines, the best fit first, with a given
// token capacity. Layers that the empty engines cannot hold go to the neighbours of
// the gap. It returns nil if layers remain.
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

// neighbours returns the unassigned engines that hold the layers directly before and
// after a gap, or nil where there is none.
func neighbours(engines []Engine, assigned map[fireflysaddle.TargetID]Range, gap Range) (before, after *Engine) {
	for i, e := range engines {
		if _, ok := assigned[e.ID]; ok || e.Held.Len() == 0 {
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

// additionalLayers returns how many more layers an engine can hold with a token capacity.
func additionalLayers(model *saddlerouting.Model, e *Engine, capacity int) int {
	if e == nil {
		return 0
	}
	return max(0, maxLayers(model, *e, capacity)-e.Held.Len())
}

// bestFit returns the smallest unassigned empty engine that can hold a number of
// layers, else the largest one, or nil if there is none.
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

// fitsBetter reports whether an engine that can hold a layers is a better fit for a
// gap than one that can hold b layers.
func fitsBetter(a, b, gap int) bool {
	if (a >= gap) != (b >= gap) {
		return a >= gap
	}
	if a >= gap {
		return a < b
	}
	return a > b
}
