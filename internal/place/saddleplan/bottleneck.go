package saddleplan

import (
	"slices"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlerouting"
)

// relieveBottleneck assigns the layers of the bottleneck to one more engine, so that requests
// can run these layers on either. The bottleneck is the range of layers with the least token
// capacity below acceptableCapacity. The fastest empty engine is taken or, if none is empty,
// the fastest of the engines that can be spared. It is assigned as many layers as it can hold
// with preferredCapacity, from the first of the bottleneck on. relieveBottleneck returns nil
// if there is no bottleneck or no such engine. Slow engines count as holders, but are assigned
// nothing.
func relieveBottleneck(model *saddlerouting.Model, engines []Engine) map[fireflysaddle.TargetID]Range {
	bottleneck, ok := findBottleneck(model, engines)
	if !ok {
		return nil
	}
	fast := withoutSlow(engines)
	for _, list := range [][]Engine{fast, withSpared(model, fast)} {
		for _, e := range list {
			if n := maxLayers(model, e, preferredCapacity); e.Held.Len() == 0 && n > 0 {
				from := max(0, min(bottleneck.From, model.Layers-n))
				return map[fireflysaddle.TargetID]Range{e.ID: {From: from, To: from + n}}
			}
		}
	}
	return nil
}

// findBottleneck returns the range of layers with the least token capacity, if that is below
// acceptableCapacity. Adjacent layers below acceptableCapacity belong to it.
func findBottleneck(model *saddlerouting.Model, engines []Engine) (Range, bool) {
	capacities := capacityByLayer(model, engines)
	weakest := 0
	for l, tokens := range capacities {
		if tokens < capacities[weakest] {
			weakest = l
		}
	}
	if capacities[weakest] >= acceptableCapacity {
		return Range{}, false
	}
	r := Range{From: weakest, To: weakest + 1}
	for r.From > 0 && capacities[r.From-1] < acceptableCapacity {
		r.From--
	}
	for r.To < len(capacities) && capacities[r.To] < acceptableCapacity {
		r.To++
	}
	return r, true
}

// withSpared returns the engines with those emptied that can be spared: without them, the
// others hold each of their layers with acceptableCapacity. Engines with a pending order are
// not spared and do not count as holders. Slower engines are spared first.
func withSpared(model *saddlerouting.Model, engines []Engine) []Engine {
	out := slices.Clone(engines)
	capacities := capacityByLayer(model, slices.DeleteFunc(slices.Clone(engines), func(e Engine) bool { return e.Pending }))
	for i := len(out) - 1; i >= 0; i-- {
		e := &out[i]
		own := tokenCapacity(model, *e)
		if e.Pending || !model.HasLayers(e.Held.From, e.Held.To) {
			continue
		}
		held := capacities[e.Held.From:e.Held.To]
		if slices.Min(held)-own < acceptableCapacity {
			continue
		}
		for l := range held {
			held[l] -= own
		}
		e.Held = Range{}
	}
	return out
}

// tokenCapacity returns the token capacity of an engine with the layers that it holds.
func tokenCapacity(model *saddlerouting.Model, e Engine) int {
	return model.TokenCapacity(model.Accelerators[e.Accelerator], e.Held.Len())
}
