package saddleplan

import (
	"cmp"
	"slices"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlerouting"
)

// Engine is an engine that layers may be assigned to.
type Engine struct {
	ID          fireflysaddle.TargetID
	Centre      fireflysaddle.DataCentre
	Accelerator fireflysaddle.Accelerator
	Held        Range // layers that it holds or was ordered to hold; empty if none
	Lost        bool  // seems to have failed, so its layers do not count as held
	Slow        bool  // works, but so slowly that others should take over its layers
}

// Range is the half-open range of layers [From, To).
type Range struct {
	From, To int
}

// Len returns the number of layers.
func (r Range) Len() int { return r.To - r.From }

const (
	// preferredCapacity is the maximum token capacity that is planned for a stage of a
	// chain: the head of a chain accepts fewer than two hundred requests of a thousand
	// tokens.
	// The smallest accelerators in use hold six layers at this capacity, so engines with
	// larger ones stay empty and can replace lost engines.
	preferredCapacity = 156_000
	// acceptableCapacity is the minimum token capacity that engines must retain when they
	// take over the layers of an engine that still works, when they hold a second copy
	// and when other engines are left empty.
	acceptableCapacity = 80_000
	// minCapacity is the minimum token capacity that a stage must retain when layers
	// would otherwise be held by no engine. It admits a dozen requests.
	minCapacity = 12_000
	// capacityStep is the step in which token capacity is reduced to fit more layers.
	capacityStep = 4_000
	// spareEngines is the number of engines of a data centre that are left empty if
	// the others can hold the model. They take over the layers of a lost engine
	// immediately.
	spareEngines = 1
	// maxCopies is the number of copies of the model that a data centre holds if its
	// engines can. When an engine is lost, requests continue on the other copy immediately.
	maxCopies = 2
)

// Plan returns the new layers of the engines whose layers are to change. In each
// data centre the engines hold every layer twice if they can, else once, and the
// fastest engines are assigned first. Once engines hold layers, only layers with too
// few holders are assigned: those without a holder to empty engines and to the
// engines that hold the layers before and after, those with a single holder to empty
// engines where the model can be held twice or where the holder has little token
// capacity. No engine is ever ordered to release
// layers, because it would first have to wait for all requests that use them.
func Plan(model *saddlerouting.Model, engines []Engine) map[fireflysaddle.TargetID]Range {
	out := map[fireflysaddle.TargetID]Range{}
	for _, list := range byCentre(model, engines) {
		for id, r := range planCentre(model, list) {
			out[id] = r
		}
	}
	return out
}

// byCentre returns the engines of each data centre, the fastest first.
func byCentre(model *saddlerouting.Model, engines []Engine) map[fireflysaddle.DataCentre][]Engine {
	out := map[fireflysaddle.DataCentre][]Engine{}
	for _, e := range engines {
		if _, ok := model.Accelerators[e.Accelerator]; ok {
			out[e.Centre] = append(out[e.Centre], e)
		}
	}
	for _, list := range out {
		slices.SortFunc(list, func(a, b Engine) int {
			return cmp.Or(cmp.Compare(requestLayerTime(model, a), requestLayerTime(model, b)), cmp.Compare(a.ID, b.ID))
		})
	}
	return out
}

// requestLayerTime returns the time in nanoseconds that an engine takes for an average
// request at one layer.
func requestLayerTime(model *saddlerouting.Model, e Engine) int64 {
	a := model.Accelerators[e.Accelerator]
	steps := model.StepTime(a, 1) * time.Duration(max(1, model.MeanAnswerTokens))
	return int64(steps + model.PrefillTime(a, 1, model.MeanPromptTokens))
}

func planCentre(model *saddlerouting.Model, engines []Engine) map[fireflysaddle.TargetID]Range {
	live := slices.DeleteFunc(slices.Clone(engines), func(e Engine) bool { return e.Lost })
	if !slices.ContainsFunc(live, func(e Engine) bool { return e.Held.Len() > 0 }) {
		return assignAll(model, live)
	}
	if gaps := rangesHeldBy(model, live, 0); len(gaps) > 0 {
		return fillGaps(model, live, gaps, minCapacity)
	}
	fast := slices.DeleteFunc(live, func(e Engine) bool { return e.Slow })
	if out := fillGaps(model, fast, rangesHeldBy(model, fast, 0), acceptableCapacity); out != nil {
		return out
	}
	if out := copyBottleneckLayers(model, fast); out != nil {
		return out
	}
	return extendSecondCopy(model, fast)
}

// rangesHeldBy returns the ranges of layers that exactly the given number of
// engines hold.
func rangesHeldBy(model *saddlerouting.Model, engines []Engine, holders int) []Range {
	held := make([]int, model.Layers)
	for _, e := range engines {
		for l := max(0, e.Held.From); l < min(model.Layers, e.Held.To); l++ {
			held[l]++
		}
	}
	var out []Range
	for l := 0; l < model.Layers; l++ {
		if held[l] != holders {
			continue
		}
		from := l
		for l < model.Layers && held[l] == holders {
			l++
		}
		out = append(out, Range{From: from, To: l})
	}
	return out
}

// assignAll assigns all layers to the engines, in as many copies and with as much
// token capacity as they can hold, and leaves the last spareEngines of them empty if
// the others can hold the layers. It returns nil if they cannot hold all layers.
func assignAll(model *saddlerouting.Model, engines []Engine) map[fireflysaddle.TargetID]Range {
	for copies := maxCopies; copies > 0; copies-- {
		atLeast := acceptableCapacity
		for empty := spareEngines; empty >= 0; empty-- {
			if copies == 1 && empty == 0 {
				atLeast = minCapacity
			}
			if out := assignCopies(model, engines, copies, empty, atLeast); out != nil {
				return out
			}
		}
	}
	return nil
}

// assignCopies assigns a number of copies of all layers to the engines, with the
// largest token capacity at which they can hold them, and leaves the last empty engines
// of the list without layers. It returns nil if that capacity is below atLeast.
func assignCopies(model *saddlerouting.Model, engines []Engine, copies, empty, atLeast int) map[fireflysaddle.TargetID]Range {
	usable := engines[:max(0, len(engines)-empty)]
	for capacity := preferredCapacity; capacity >= atLeast; capacity -= capacityStep {
		if out := assignInOrder(model, usable, copies, capacity); out != nil {
			return out
		}
	}
	return nil
}

// assignInOrder assigns a number of copies of all layers to the engines in their
// order, with a given token capacity. It returns nil if they cannot hold them.
func assignInOrder(model *saddlerouting.Model, engines []Engine, copies, capacity int) map[fireflysaddle.TargetID]Range {
	out := map[fireflysaddle.TargetID]Range{}
	next := 0
	for _, e := range engines {
		if n := min(maxLayers(model, e, capacity), model.Layers-next); n > 0 {
			out[e.ID] = Range{From: next, To: next + n}
			next += n
		}
		if next == model.Layers && copies > 1 {
			next = 0
			copies--
		}
	}
	if next < model.Layers {
		return nil
	}
	return out
}

// maxLayers returns the number of layers that an engine can hold with a token capacity.
func maxLayers(model *saddlerouting.Model, e Engine, capacity int) int {
	return model.MaxLayers(model.Accelerators[e.Accelerator], capacity)
}
