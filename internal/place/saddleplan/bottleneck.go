package saddleplan

import (
	"slices"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlerouting"
)

// copyBottleneckLayers also assigns the layers of the bottleneck, the engine with the
// smallest token capacity, to the fastest empty engine if that capacity is below
// acceptableCapacity. Requests can then run these layers on either engine. The empty
// engine is assigned as many layers as it can hold with preferredCapacity: the last
// layers of the bottleneck if it cannot hold all of them, else adjacent layers as well.
// Engines whose last layer has another holder are not considered.
func copyBottleneckLayers(model *saddlerouting.Model, engines []Engine) map[fireflysaddle.TargetID]Range {
	var empty, bottleneck *Engine
	for i, e := range engines {
		switch {
		case e.Held.Len() == 0:
			if empty == nil {
				empty = &engines[i]
			}
		case onlyHolderOfLastLayer(engines, e) && (bottleneck == nil || tokenCapacity(model, e) < tokenCapacity(model, *bottleneck)):
			bottleneck = &engines[i]
		}
	}
	if bottleneck == nil || empty == nil || tokenCapacity(model, *bottleneck) >= acceptableCapacity {
		return nil
	}
	n := maxLayers(model, *empty, preferredCapacity)
	if n == 0 {
		return nil
	}
	from := bottleneck.Held.From
	if n < bottleneck.Held.Len() {
		from = bottleneck.Held.To - n // the last n layers: onlyHolderOfLastLayer then sees the copy
	}
	from = max(0, min(from, model.Layers-n))
	return map[fireflysaddle.TargetID]Range{empty.ID: {From: from, To: from + n}}
}

// onlyHolderOfLastLayer reports whether no other engine holds the last layer of an engine.
func onlyHolderOfLastLayer(engines []Engine, e Engine) bool {
	return !slices.ContainsFunc(engines, func(o Engine) bool {
		return o.ID != e.ID && o.Held.From < e.Held.To && o.Held.To >= e.Held.To
	})
}

// tokenCapacity returns the token capacity of an engine with the layers that it holds.
func tokenCapacity(model *saddlerouting.Model, e Engine) int {
	return model.TokenCapacity(model.Accelerators[e.Accelerator], e.Held.Len())
}
