package saddleplan

import (
	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlerouting"
)

// extendSecondCopy assigns layers that only one engine holds to the fastest empty
// engine, if the engines can hold the model twice. If they cannot, it returns nil and
// the empty engines remain spares that replace lost engines, because an incomplete second
// copy protects only the layers that it includes.
func extendSecondCopy(model *saddlerouting.Model, engines []Engine) map[fireflysaddle.TargetID]Range {
	if !holdsTwice(model, engines) {
		return nil
	}
	var empty []Engine
	for _, e := range engines {
		if e.Held.Len() == 0 && maxLayers(model, e, acceptableCapacity) > 0 {
			empty = append(empty, e)
		}
	}
	heldOnce := rangesHeldBy(model, engines, 1)
	if len(empty) == 0 || len(heldOnce) == 0 {
		return nil
	}
	longest := heldOnce[0]
	layers := 0
	for _, r := range heldOnce {
		layers += r.Len()
		if r.Len() > longest.Len() {
			longest = r
		}
	}
	n := min(longest.Len(), maxLayers(model, empty[0], capacityFor(model, empty, layers)))
	return map[fireflysaddle.TargetID]Range{empty[0].ID: {From: longest.From, To: longest.From + n}}
}

// capacityFor returns the largest token capacity, up to preferredCapacity, at which
// engines can hold a number of layers. It returns acceptableCapacity if they cannot hold
// the layers at a larger capacity.
func capacityFor(model *saddlerouting.Model, engines []Engine, layers int) int {
	for capacity := preferredCapacity; capacity > acceptableCapacity; capacity -= capacityStep {
		n := 0
		for _, e := range engines {
			n += maxLayers(model, e, capacity)
		}
		if n >= layers {
			return capacity
		}
	}
	return acceptableCapacity
}
