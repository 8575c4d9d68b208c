package saddleplan

import (
	"slices"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlerouting"
)

// copyBottleneckLayers assigns layers of the bottleneck also to the fastest empty engine,
// so that requests can run these layers on either engine. The bottleneck is the engine
// with the smallest token capacity among those that are the only holder of their last
// layer. copyBottleneckLayers returns nil if the token capacity of the bottleneck is at
// least acceptableCapacity.
//
// The empty engine is assigned as many layers as it can hold with preferredCapacity. If it
// cannot hold all layers of the bottleneck, it is assigned the last of them. Otherwise it
// is assigned all of them and, if it can hold more, adjacent layers.
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
		from = bottleneck.Held.To - n // the last n layers, because onlyHolderOfLastLayer detects a copy by the last layer
	}
	from = max(0, min(from, model.Layers-n))
	return map[fireflysaddle.TargetID]Range{empty.ID: {From: from, To: from + n}}
}

// onlyHolderOfLastLayer reports whether no other engine holds the last layer that an
// engine holds.
func onlyHolderOfLastLayer(engines []Engine, e Engine) bool {
	return !slices.ContainsFunc(engines, func(other Engine) bool {
		return other.ID != e.ID && other.Held.From < e.Held.To && other.Held.To >= e.Held.To
	})
}

// tokenCapacity returns the token capacity of an engine with the layers that it holds.
func tokenCapacity(model *saddlerouting.Model, e Engine) int {
	return model.TokenCapacity(model.Accelerators[e.Accelerator], e.Held.Len())
}
