package saddleplan

import (
	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlerouting"
)

// addThirdHolder assigns layers that two engines hold to the fastest empty engine, while
// more than reserveEngines engines are empty. With a third holder, the loss of an engine
// interrupts a third of the streams that pass its layers in place of half, and two engines
// read the prompts of these streams again in place of one. It returns nil if no engine can
// be spared, no layers have exactly two holders, or layers have a single holder, which the
// empty engines are to replace if it is lost.
func addThirdHolder(model *saddlerouting.Model, engines []Engine) map[fireflysaddle.TargetID]Range {
	if len(rangesHeldBy(model, engines, 1)) > 0 {
		return nil
	}
	var empty []Engine
	for _, e := range engines {
		if e.Held.Len() == 0 && maxLayers(model, e, preferredCapacity) > 0 {
			empty = append(empty, e)
		}
	}
	heldTwice := rangesHeldBy(model, engines, maxCopies)
	if len(empty) <= reserveEngines || len(heldTwice) == 0 {
		return nil
	}
	longest := heldTwice[0]
	for _, r := range heldTwice {
		if r.Len() > longest.Len() {
			longest = r
		}
	}
	n := min(longest.Len(), maxLayers(model, empty[0], preferredCapacity))
	return map[fireflysaddle.TargetID]Range{empty[0].ID: {From: longest.From, To: longest.From + n}}
}
