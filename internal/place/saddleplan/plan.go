package saddleplan

import (
	"cmp"
	"slices"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlerouting"
)

// Engine is an engine that may be given layers.
type Engine struct {
	ID          fireflysaddle.TargetID
	Centre      fireflysaddle.DataCentre
	Accelerator fireflysaddle.Accelerator
	Held        Range // that it holds or was ordered to hold; empty: nothing
	Lost        bool  // it seems to have failed: what it holds does not count
}

// Range is the layers [From, To).
type Range struct {
	From, To int
}

// Len returns the number of layers.
func (r Range) Len() int { return r.To - r.From }

const (
	// wantedRoom is the number of tokens for which each stage of a chain has room:
	// the drafts that a data centre's callers have open at a peak, about eighty of
	// a thousand tokens, and a quarter more.
	wantedRoom = 100_000
	// leastRoom is what a stage is given when layers would be held by no one
	// otherwise: a dozen drafts.
	leastRoom = 12_000
	// roomStep is the grain in which room is given up for layers.
	roomStep = 4_000
	// spares is the number of engines of a data centre that are left empty if the
	// others can hold the model, to take over the layers of a lost one at once.
	spares = 2
)

// Plan returns the engines that are to hold other layers than they do. In each
// data centre the engines hold every layer once, the fastest ones first; engines
// that hold something keep it, and empty ones take what nobody holds.
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
			return cmp.Or(cmp.Compare(slowness(model, a), slowness(model, b)), cmp.Compare(a.ID, b.ID))
		})
	}
	return out
}

// slowness is the time that an engine takes for a usual request at one layer.
func slowness(model *saddlerouting.Model, e Engine) int64 {
	a := model.Accelerators[e.Accelerator]
	steps := model.StepTime(a, 1) * time.Duration(max(1, model.UsualAnswer))
	return int64(steps + model.ReadTime(a, 1, model.UsualPrompt))
}

func planCentre(model *saddlerouting.Model, engines []Engine) map[fireflysaddle.TargetID]Range {
	holes := uncovered(model, engines)
	var empty []Engine
	for _, e := range engines {
		if e.Held.Len() == 0 && !e.Lost {
			empty = append(empty, e)
		}
	}
	if len(holes) == 0 || len(empty) == 0 {
		return nil
	}
	missing := 0
	for _, h := range holes {
		missing += h.Len()
	}
	return fill(model, empty, holes, sizes(model, empty, missing))
}

// uncovered returns the ranges of layers that no engine holds.
func uncovered(model *saddlerouting.Model, engines []Engine) []Range {
	held := make([]bool, model.Layers)
	for _, e := range engines {
		if e.Lost {
			continue
		}
		for l := max(0, e.Held.From); l < min(model.Layers, e.Held.To); l++ {
			held[l] = true
		}
	}
	var out []Range
	for l := 0; l < model.Layers; l++ {
		if held[l] {
			continue
		}
		from := l
		for l < model.Layers && !held[l] {
			l++
		}
		out = append(out, Range{From: from, To: l})
	}
	return out
}

// sizes returns how many layers each engine may take: with the most room with
// which all that is missing finds a place and some engines stay empty, else with
// the most room with which it finds a place.
func sizes(model *saddlerouting.Model, empty []Engine, missing int) []int {
	keep := spares
	if missing < model.Layers {
		keep = 0 // spares are for this
	}
	for ; keep >= 0; keep-- {
		usable := empty[:max(1, len(empty)-keep)]
		for room := wantedRoom; room >= leastRoom; room -= roomStep {
			list, sum := sizesAt(model, usable, room)
			if sum >= missing {
				return list
			}
		}
	}
	list, _ := sizesAt(model, empty, leastRoom)
	return list
}

func sizesAt(model *saddlerouting.Model, engines []Engine, room int) ([]int, int) {
	out := make([]int, len(engines))
	sum := 0
	for i, e := range engines {
		out[i] = model.MostLayers(model.Accelerators[e.Accelerator], room)
		sum += out[i]
	}
	return out, sum
}

// fill gives the holes to the engines in turn.
func fill(model *saddlerouting.Model, empty []Engine, holes []Range, sizes []int) map[fireflysaddle.TargetID]Range {
	out := map[fireflysaddle.TargetID]Range{}
	next := 0
	for _, h := range holes {
		for h.Len() > 0 && next < len(sizes) {
			n := min(sizes[next], h.Len())
			if n > 0 {
				out[empty[next].ID] = Range{From: h.From, To: h.From + n}
				h.From += n
			}
			next++
		}
	}
	return out
}
