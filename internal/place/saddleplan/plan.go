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
	// wantedRoom is the most tokens for which a stage of a chain is given room: an
	// engine takes under two hundred requests of a thousand tokens as the first of
	// a chain.
	wantedRoom = 160_000
	// fairRoom is what empty engines may be brought down to when they take the
	// layers of a lost one; below it all engines of the data centre share them.
	fairRoom = 80_000
	// leastRoom is what a stage is given when layers would be held by no one
	// otherwise: a dozen drafts.
	leastRoom = 12_000
	// roomStep is the grain in which room is given up for layers.
	roomStep = 4_000
	// spares is the number of engines of a data centre that are left empty if the
	// others can hold the model, to take over the layers of a lost one at once.
	spares = 1
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
	live := slices.DeleteFunc(slices.Clone(engines), func(e Engine) bool { return e.Lost })
	empty := slices.DeleteFunc(slices.Clone(live), func(e Engine) bool { return e.Held.Len() > 0 })
	switch {
	case len(holes) == 0 || len(live) == 0:
		return nil
	case len(empty) == len(live):
		return layOut(model, live, spares)
	}
	if out := fill(model, empty, holes, fairRoom); out != nil {
		return out
	}
	if out := layOut(model, inOrder(live), 0); out != nil {
		return moved(live, out)
	}
	return fill(model, empty, holes, leastRoom)
}

// inOrder returns engines by the layers that they hold, so that a new layout moves
// as few as it can; the empty ones come last.
func inOrder(engines []Engine) []Engine {
	out := slices.Clone(engines)
	slices.SortStableFunc(out, func(a, b Engine) int {
		if (a.Held.Len() == 0) != (b.Held.Len() == 0) {
			return cmp.Compare(b.Held.Len(), a.Held.Len())
		}
		return cmp.Compare(a.Held.From, b.Held.From)
	})
	return out
}

// moved leaves out the engines that hold what they are to hold.
func moved(engines []Engine, plan map[fireflysaddle.TargetID]Range) map[fireflysaddle.TargetID]Range {
	for _, e := range engines {
		if plan[e.ID] == e.Held {
			delete(plan, e.ID)
		}
	}
	return plan
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

// layOut gives all layers to the engines in turn, with the most room with which
// they hold them, and leaves some of the last engines empty if it can. It returns
// nil when they cannot hold all.
func layOut(model *saddlerouting.Model, engines []Engine, keep int) map[fireflysaddle.TargetID]Range {
	for ; keep >= 0; keep-- {
		usable := engines[:max(1, len(engines)-keep)]
		for room := wantedRoom; room >= leastRoom; room -= roomStep {
			sizes, sum := sizesAt(model, usable, room)
			if sum >= model.Layers && (keep == 0 || room >= fairRoom) {
				return inTurn(model, usable, sizes)
			}
		}
	}
	return nil
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

func inTurn(model *saddlerouting.Model, engines []Engine, sizes []int) map[fireflysaddle.TargetID]Range {
	out := map[fireflysaddle.TargetID]Range{}
	at := 0
	for i, e := range engines {
		if n := min(sizes[i], model.Layers-at); n > 0 {
			out[e.ID] = Range{From: at, To: at + n}
			at += n
		}
	}
	return out
}

// fill gives the holes to empty engines, to as few as can have some room, and then
// with the most room. It returns nil when there are not enough.
func fill(model *saddlerouting.Model, empty []Engine, holes []Range, least int) map[fireflysaddle.TargetID]Range {
	var best map[fireflysaddle.TargetID]Range
	for room := wantedRoom; room >= least; room -= roomStep {
		sizes, _ := sizesAt(model, empty, room)
		out := fillAt(empty, sizes, holes)
		if out != nil && (best == nil || len(out) < len(best)) {
			best = out
		}
	}
	return best
}

// fillAt gives each hole to the smallest engine that can take it whole, or in
// parts to the largest ones. It returns nil when some layers are left.
func fillAt(empty []Engine, sizes []int, holes []Range) map[fireflysaddle.TargetID]Range {
	out := map[fireflysaddle.TargetID]Range{}
	for _, h := range holes {
		for h.Len() > 0 {
			best := -1
			for i, e := range empty {
				if _, used := out[e.ID]; used || sizes[i] == 0 {
					continue
				}
				if best < 0 || suits(sizes[i], sizes[best], h.Len()) {
					best = i
				}
			}
			if best < 0 {
				return nil
			}
			n := min(sizes[best], h.Len())
			out[empty[best].ID] = Range{From: h.From, To: h.From + n}
			h.From += n
		}
	}
	return out
}

// suits reports whether an engine of size a suits a hole better than one of size
// b.
func suits(a, b, hole int) bool {
	if (a >= hole) != (b >= hole) {
		return a >= hole
	}
	if a >= hole {
		return a < b
	}
	return a > b
}
