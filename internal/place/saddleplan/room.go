package saddleplan

import (
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlerouting"
)

const (
	// roomyCapacity is the maximum token capacity that is planned for each layer of a data
	// centre whose callers compete for room. It is that of as many heads as remain when one of
	// them is lost.
	roomyCapacity = furtherHeads * preferredCapacity
	// furtherHeads is the number of engines that hold the first layers beside the first copy.
	// Each head runs a limited number of requests at once.
	furtherHeads = 3
	// turnover is the time in which the requests that fill the room of a data centre are
	// replaced by others: most streams last about as long.
	turnover = 3 * time.Second
	// outsideCopy is the smallest share of the engines that the first copy leaves: further
	// heads, spares, and second holders of some layers.
	outsideCopy = 0.2
)

// assignRoom assigns all layers once to the fastest engines, with the largest token capacity up
// to roomyCapacity that leaves outsideCopy of the engines, and the first layers to furtherHeads
// of the others, the fastest first. Compared with two whole copies, the memory of the weights
// of the second one serves as room for requests, and they run on the fast engines only. The
// price is that all streams of a data centre wait for a spare when the only holder of a layer
// is lost. assignRoom returns nil if the engines cannot hold two copies, or not more than
// acceptableCapacity that way.
func assignRoom(model *saddlerouting.Model, engines []Engine) map[fireflysaddle.TargetID]Range {
	outside := max(furtherHeads+spareEngines, int(outsideCopy*float64(len(engines))))
	if len(engines) <= outside || !holdsTwice(model, engines) {
		return nil
	}
	for capacity := roomyCapacity; capacity > acceptableCapacity; capacity -= capacityStep {
		out := assignOnce(model, engines[:len(engines)-outside], capacity)
		if out == nil {
			continue
		}
		heads := 0
		for _, e := range engines {
			n := roomLayers(model, e, capacity)
			if _, assigned := out[e.ID]; !assigned && n > 0 && heads < furtherHeads {
				out[e.ID] = Range{From: 0, To: n}
				heads++
			}
		}
		return out
	}
	return nil
}

// holdsTwice reports whether the engines can hold the model twice.
func holdsTwice(model *saddlerouting.Model, engines []Engine) bool {
	return assignCopies(model, engines, maxCopies, 0, acceptableCapacity) != nil
}

// assignOnce assigns all layers once to the engines in their order, with a given token
// capacity. It returns nil if they cannot hold all layers.
func assignOnce(model *saddlerouting.Model, engines []Engine, capacity int) map[fireflysaddle.TargetID]Range {
	out := map[fireflysaddle.TargetID]Range{}
	next := 0
	for _, e := range engines {
		if n := min(roomLayers(model, e, capacity), model.Layers-next); n > 0 {
			out[e.ID] = Range{From: next, To: next + n}
			next += n
		}
	}
	if next < model.Layers {
		return nil
	}
	return out
}

// roomLayers returns the number of layers that an engine can hold with a token capacity, such
// that it also processes the prompts of the requests that fill the capacity within turnover.
// The prompts of all requests of the data centre may pass through it.
func roomLayers(model *saddlerouting.Model, e Engine, capacity int) int {
	promptShare := float64(model.MeanPromptTokens) / float64(max(1, model.MeanPromptTokens+model.MeanAnswerTokens))
	needed := float64(capacity) * promptShare / turnover.Seconds()
	n := maxLayers(model, e, capacity)
	for n > 1 && model.PrefillLimit(model.Accelerators[e.Accelerator], n) < needed && model.ChunkTokens > 0 {
		n--
	}
	return n
}

// restoreHeads assigns the first layers to the fastest empty engine while fewer than
// 1 + furtherHeads engines hold the first one. The last spareEngines empty engines are taken
// only if there is a single head left.
func restoreHeads(model *saddlerouting.Model, engines []Engine) map[fireflysaddle.TargetID]Range {
	heads := 0
	for _, e := range engines {
		if e.Held.Len() > 0 && e.Held.From == 0 {
			heads++
		}
	}
	empty := onlyEmpty(engines)
	if heads > furtherHeads || len(empty) == 0 || (heads > 1 && len(empty) <= spareEngines) {
		return nil
	}
	for _, e := range empty {
		if n := roomLayers(model, e, roomyCapacity); n > 0 {
			return map[fireflysaddle.TargetID]Range{e.ID: {From: 0, To: n}}
		}
	}
	return nil
}

// planRoom assigns empty engines of a data centre that has room for many requests: first as
// heads, then as second holders of some layers. The last spareEngines of them stay empty while
// layers have a single holder.
func planRoom(model *saddlerouting.Model, engines []Engine) map[fireflysaddle.TargetID]Range {
	if out := restoreHeads(model, engines); out != nil {
		return out
	}
	if len(onlyEmpty(engines)) <= spareEngines && len(rangesHeldBy(model, engines, 1)) > 0 {
		return nil
	}
	return extendSecondCopy(model, engines)
}
