package saddleplan

import (
	"slices"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlerouting"
)

// relieve assigns the layers of the engine with the least token capacity, if that is
// below fairCapacity, to the fastest empty engine as well, and as many adjacent layers
// as that engine holds with preferredCapacity. Layers that two engines hold may run on
// either. Engines whose last layer has another holder are not considered.
func relieve(model *saddlerouting.Model, engines []Engine) map[fireflysaddle.TargetID]Range {
	var empty, tightest *Engine
	for i, e := range engines {
		switch {
		case e.Held.Len() == 0:
			if empty == nil {
				empty = &engines[i]
			}
		case soleHolder(engines, e) && (tightest == nil || capacityOf(model, e) < capacityOf(model, *tightest)):
			tightest = &engines[i]
		}
	}
	if tightest == nil || empty == nil || capacityOf(model, *tightest) >= fairCapacity {
		return nil
	}
	n := maxLayers(model, *empty, preferredCapacity)
	if n == 0 {
		return nil
	}
	from := tightest.Held.From
	if n < tightest.Held.Len() {
		from = tightest.Held.To - n // the last ones, which soleHolder checks
	}
	from = max(0, min(from, model.Layers-n))
	return map[fireflysaddle.TargetID]Range{empty.ID: {From: from, To: from + n}}
}

// soleHolder reports whether no other engine holds the last layer of an engine.
func soleHolder(engines []Engine, e Engine) bool {
	return !slices.ContainsFunc(engines, func(o Engine) bool {
		return o.ID != e.ID && o.Held.From < e.Held.To && o.Held.To >= e.Held.To
	})
}

// capacityOf returns the number of tokens that fit at each layer that an engine holds.
func capacityOf(model *saddlerouting.Model, e Engine) int {
	return model.TokenCapacity(model.Accelerators[e.Accelerator], e.Held.Len())
}
