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
	Lost        bool  // presumed failed, so its layers do not count as held
	Slow        bool  // works, but so slowly that others should take over its layers
	Pending     bool  // was ordered to hold other layers than it does
}

// Range is the half-open range of layers [From, To).
type Range struct {
	From, To int
}

// Len returns the number of layers.
func (r Range) Len() int { return r.To - r.From }

const (
	// preferredCapacity is the maximum token capacity that is planned for an engine. More
	// is not planned, because the head of a chain accepts fewer than two hundred requests
	// of a thousand tokens. The smallest accelerators in use hold six layers at this
	// capacity, so engines with larger accelerators stay empty and can replace lost
	// engines.
	preferredCapacity = 156_000
	// acceptableCapacity is the minimum token capacity that an engine must retain in each
	// of these cases:
	//   - it takes over layers of an engine that is slow but still works;
	//   - it holds a part of a second copy;
	//   - other engines are left empty as spares.
	// Layers with less are assigned to one more engine (relieveBottleneck).
	acceptableCapacity = 80_000
	// minCapacity is the minimum token capacity that an engine must retain when it is
	// assigned layers that no engine would hold otherwise. It is enough for a dozen requests.
	minCapacity = 12_000
	// capacityStep is the step in which token capacity is reduced to fit more layers.
	capacityStep = 4_000
	// spareEngines is the number of engines of a data centre that are left empty if
	// the others can hold the model. They take over the layers of a lost engine
	// immediately.
	spareEngines = 1
	// maxCopies is the number of copies of the model that are planned for a data centre
	// whose engines can hold them. When an engine is lost, requests continue on the other
	// copy immediately.
	maxCopies = 2
	// reserveEngines is the number of engines of a data centre that are left empty when
	// engines are assigned layers that two others hold already.
	reserveEngines = 1
)

// Goal is what a plan prefers where the engines could hold the model twice.
type Goal int

// The goals of a plan.
const (
	GoalCopies Goal = iota // a second copy of the model, so that the loss of an engine is soon repaired
	GoalRoom               // room for many requests, because callers compete for it
)

// Plan returns the new layers of the engines whose layers are to change. Each data centre
// is planned on its own, and its fastest engines are assigned layers first.
//
// While no engine of a data centre holds layers, all layers are assigned, in two copies if
// the engines can hold them, else in one. For GoalRoom see assignRoom. Once engines hold layers,
// Plan assigns only layers with too few holders:
//   - Layers without a holder are assigned to empty engines and to the engines that hold
//     the layers directly before and after.
//   - Layers with little token capacity are assigned to one more engine.
//   - Layers with a single holder are assigned to empty engines, if the engines can hold
//     the model twice.
//   - Layers with two holders are assigned to empty engines while no layer has a single
//     holder, as long as reserveEngines of the empty engines remain.
//
// An engine is ordered to release layers only if the others hold each of them with
// acceptableCapacity, and other layers have no holder or little capacity, for which there are
// not enough empty engines. It must first wait for all requests that use the layers.
func Plan(model *saddlerouting.Model, engines []Engine, goal Goal) map[fireflysaddle.TargetID]Range {
	out := map[fireflysaddle.TargetID]Range{}
	for _, list := range byCentre(model, engines) {
		for id, r := range planCentre(model, list, goal) {
			out[id] = r
		}
	}
	return out
}

// byCentre returns the engines of each data centre, the fastest first. Engines whose type
// of accelerator the model does not list are left out.
func byCentre(model *saddlerouting.Model, engines []Engine) map[fireflysaddle.DataCentre][]Engine {
	type rankedEngine struct {
		layerTime int64
		engine    *Engine
	}
	layerTimes := make(map[fireflysaddle.Accelerator]int64, len(model.Accelerators))
	for accelerator := range model.Accelerators {
		layerTimes[accelerator] = requestLayerTime(model, accelerator)
	}
	ranked := make([]rankedEngine, 0, len(engines))
	for i := range engines {
		if layerTime, ok := layerTimes[engines[i].Accelerator]; ok {
			ranked = append(ranked, rankedEngine{layerTime: layerTime, engine: &engines[i]})
		}
	}
	slices.SortFunc(ranked, func(a, b rankedEngine) int {
		return cmp.Or(cmp.Compare(a.layerTime, b.layerTime), cmp.Compare(a.engine.ID, b.engine.ID))
	})
	out := map[fireflysaddle.DataCentre][]Engine{}
	for _, r := range ranked {
		out[r.engine.Centre] = append(out[r.engine.Centre], *r.engine)
	}
	return out
}

// requestLayerTime returns the time in nanoseconds that an engine with a type of accelerator
// takes for an average request at one layer.
func requestLayerTime(model *saddlerouting.Model, typ fireflysaddle.Accelerator) int64 {
	accelerator := model.Accelerators[typ]
	decodeTime := model.StepTime(accelerator, 1) * time.Duration(max(1, model.MeanAnswerTokens))
	return int64(decodeTime + model.PrefillTime(accelerator, 1, model.MeanPromptTokens))
}

// planCentre plans one data centre. Lost engines count as absent. While layers have no
// holder at all, only these are assigned. After that, layers held only by slow engines
// are assigned first, then layers of the bottleneck, then the second copy, then a third
// holder of some layers.
func planCentre(model *saddlerouting.Model, engines []Engine, goal Goal) map[fireflysaddle.TargetID]Range {
	live := withoutLost(engines)
	if !slices.ContainsFunc(live, func(e Engine) bool { return e.Held.Len() > 0 }) {
		if out := assignRoom(model, live); goal == GoalRoom && out != nil {
			return out
		}
		return assignAll(model, live)
	}
	if gaps := rangesHeldBy(model, live, 0); len(gaps) > 0 {
		if out := fillGaps(model, live, gaps, minCapacity); out != nil {
			return out
		}
		return fillGaps(model, onlyEmpty(withSpared(model, withoutSlow(live))), gaps, minCapacity)
	}
	fast := withoutSlow(live)
	if out := fillGaps(model, fast, rangesHeldBy(model, fast, 0), acceptableCapacity); out != nil {
		return out
	}
	if out := relieveBottleneck(model, live); out != nil {
		return out
	}
	if goal == GoalRoom && holdsTwice(model, fast) {
		return planRoom(model, fast)
	}
	if out := extendSecondCopy(model, fast); out != nil {
		return out
	}
	return addThirdHolder(model, fast)
}

// withoutLost returns the engines that are not lost.
func withoutLost(engines []Engine) []Engine {
	return slices.DeleteFunc(slices.Clone(engines), func(e Engine) bool { return e.Lost })
}

// withoutSlow returns the engines that are not slow.
func withoutSlow(engines []Engine) []Engine {
	return slices.DeleteFunc(slices.Clone(engines), func(e Engine) bool { return e.Slow })
}

// onlyEmpty returns the engines that hold no layers.
func onlyEmpty(engines []Engine) []Engine {
	return slices.DeleteFunc(slices.Clone(engines), func(e Engine) bool { return e.Held.Len() > 0 })
}

// rangesHeldBy returns the ranges of layers that are held by exactly the given number of
// engines.
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

// assignAll assigns all layers to the engines. It tries maxCopies copies first and one
// copy last. For each number of copies it first leaves the last spareEngines engines empty,
// then fewer. The engines must retain acceptableCapacity. Only for one copy without
// spares, minCapacity is enough. assignAll returns nil if the engines cannot hold one copy.
func assignAll(model *saddlerouting.Model, engines []Engine) map[fireflysaddle.TargetID]Range {
	for copies := maxCopies; copies > 0; copies-- {
		atLeast := acceptableCapacity
		for spares := spareEngines; spares >= 0; spares-- {
			if copies == 1 && spares == 0 {
				atLeast = minCapacity
			}
			if out := assignCopies(model, engines, copies, spares, atLeast); out != nil {
				return out
			}
		}
	}
	return nil
}

// assignCopies assigns a number of copies of all layers to the engines. The last engines of
// the list, as many as spares, are assigned no layers. It plans with the largest token
// capacity at which the other engines can hold the copies. It returns nil if that capacity
// is below atLeast.
func assignCopies(model *saddlerouting.Model, engines []Engine, copies, spares, atLeast int) map[fireflysaddle.TargetID]Range {
	usable := engines[:max(0, len(engines)-spares)]
	for capacity := preferredCapacity; capacity >= atLeast; capacity -= capacityStep {
		if out := assignInOrder(model, usable, copies, capacity); out != nil {
			return out
		}
	}
	return nil
}

// assignInOrder assigns a number of copies of all layers to the engines in their
// order, with a given token capacity. It returns nil if they cannot hold all copies.
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
