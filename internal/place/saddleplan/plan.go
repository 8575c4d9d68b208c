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
	Slow        bool  // it works, but so slowly that others are better given its layers
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
	// fairRoom is what engines may be brought down to when they take over the layers
	// of one that still works, and with which some are left empty.
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
// data centre the engines hold every layer once, the fastest ones first. Later
// only layers that nobody holds are given out: to empty engines and to those that
// hold the layers before and after. No engine ever gives up layers, because it
// would have to wait for all requests that pass through them.
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
	live := slices.DeleteFunc(slices.Clone(engines), func(e Engine) bool { return e.Lost })
	if !slices.ContainsFunc(live, func(e Engine) bool { return e.Held.Len() > 0 }) {
		return layOut(model, live)
	}
	if holes := uncovered(model, live); len(holes) > 0 {
		return fill(model, live, holes, leastRoom)
	}
	fast := slices.DeleteFunc(live, func(e Engine) bool { return e.Slow })
	if out := fill(model, fast, uncovered(model, fast), fairRoom); out != nil {
		return out
	}
	return relieve(model, fast)
}

// relieve gives an empty engine a part of the layers of the one with the least
// room, if that is little: what both hold, either may run.
func relieve(model *saddlerouting.Model, engines []Engine) map[fireflysaddle.TargetID]Range {
	empty := 0
	var tight *Engine
	for i, e := range engines {
		switch {
		case e.Held.Len() == 0:
			empty++
		case alone(engines, e) && (tight == nil || roomOf(model, e) < roomOf(model, *tight)):
			tight = &engines[i]
		}
	}
	if tight == nil || empty == 0 || roomOf(model, *tight) >= fairRoom {
		return nil
	}
	half := (tight.Held.Len() + 1) / 2
	next := suited(model, engines, nil, half, fairRoom)
	if next == nil {
		return nil
	}
	n := min(half, most(model, *next, fairRoom))
	return map[fireflysaddle.TargetID]Range{next.ID: {From: tight.Held.To - n, To: tight.Held.To}}
}

// alone reports whether no other engine holds the last layer of an engine.
func alone(engines []Engine, e Engine) bool {
	return !slices.ContainsFunc(engines, func(o Engine) bool {
		return o.ID != e.ID && o.Held.From < e.Held.To && o.Held.To >= e.Held.To
	})
}

// roomOf returns for how many tokens an engine has room at each of its layers.
func roomOf(model *saddlerouting.Model, e Engine) int {
	return model.Room(model.Accelerators[e.Accelerator], e.Held.Len())
}

// uncovered returns the ranges of layers that no engine holds.
func uncovered(model *saddlerouting.Model, engines []Engine) []Range {
	held := make([]bool, model.Layers)
	for _, e := range engines {
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
func layOut(model *saddlerouting.Model, engines []Engine) map[fireflysaddle.TargetID]Range {
	for keep := spares; keep >= 0; keep-- {
		usable := engines[:max(0, len(engines)-keep)]
		least := leastRoom
		if keep > 0 {
			least = fairRoom
		}
		for room := wantedRoom; room >= least; room -= roomStep {
			if out := inTurn(model, usable, room); out != nil {
				return out
			}
		}
	}
	return nil
}

// inTurn gives all layers to the engines in turn, nil when they have too little
// room.
func inTurn(model *saddlerouting.Model, engines []Engine, room int) map[fireflysaddle.TargetID]Range {
	out := map[fireflysaddle.TargetID]Range{}
	at := 0
	for _, e := range engines {
		if n := min(most(model, e, room), model.Layers-at); n > 0 {
			out[e.ID] = Range{From: at, To: at + n}
			at += n
		}
	}
	if at < model.Layers {
		return nil
	}
	return out
}

// most returns how many layers an engine holds with some room.
func most(model *saddlerouting.Model, e Engine, room int) int {
	return model.MostLayers(model.Accelerators[e.Accelerator], room)
}

// fill gives holes to empty engines and to those beside them, with the most room
// with which they can take all. It returns nil when they cannot.
func fill(model *saddlerouting.Model, engines []Engine, holes []Range, least int) map[fireflysaddle.TargetID]Range {
	for room := wantedRoom; room >= least && len(holes) > 0; room -= roomStep {
		if out := fillWith(model, engines, holes, room); out != nil {
			return out
		}
	}
	return nil
}

// fillWith gives each hole to empty engines, the one that suits it best first, and
// what they cannot take to those that end and begin beside it.
func fillWith(model *saddlerouting.Model, engines []Engine, holes []Range, room int) map[fireflysaddle.TargetID]Range {
	out := map[fireflysaddle.TargetID]Range{}
	for _, h := range holes {
		before, after := beside(engines, out, h)
		short := h.Len() - emptyRoom(model, engines, out, room)
		if n := min(short, spare(model, before, room)); n > 0 {
			out[before.ID] = Range{From: before.Held.From, To: h.From + n}
			h.From += n
		}
		for h.Len() > 0 {
			next := suited(model, engines, out, h.Len(), room)
			if next == nil {
				break
			}
			n := min(most(model, *next, room), h.Len())
			out[next.ID] = Range{From: h.From, To: h.From + n}
			h.From += n
		}
		if n := min(h.Len(), spare(model, after, room)); n > 0 {
			out[after.ID] = Range{From: h.To - n, To: after.Held.To}
			h.To -= n
		}
		if h.Len() > 0 {
			return nil
		}
	}
	return out
}

// emptyRoom returns how many layers the empty engines can take.
func emptyRoom(model *saddlerouting.Model, engines []Engine, given map[fireflysaddle.TargetID]Range, room int) int {
	n := 0
	for _, e := range engines {
		if _, ok := given[e.ID]; !ok && e.Held.Len() == 0 {
			n += most(model, e, room)
		}
	}
	return n
}

// beside returns the engines that hold the layers before and after a hole and are
// not given others, nil where there is none.
func beside(engines []Engine, given map[fireflysaddle.TargetID]Range, h Range) (before, after *Engine) {
	for i, e := range engines {
		if _, ok := given[e.ID]; ok || e.Held.Len() == 0 {
			continue
		}
		if e.Held.To == h.From {
			before = &engines[i]
		}
		if e.Held.From == h.To {
			after = &engines[i]
		}
	}
	return before, after
}

// spare returns how many more layers an engine could hold with some room.
func spare(model *saddlerouting.Model, e *Engine, room int) int {
	if e == nil {
		return 0
	}
	return max(0, most(model, *e, room)-e.Held.Len())
}

// suited returns the smallest empty engine that takes a number of layers, else the
// largest one, nil when there is none.
func suited(model *saddlerouting.Model, engines []Engine, given map[fireflysaddle.TargetID]Range, layers, room int) *Engine {
	var best *Engine
	for i, e := range engines {
		n := most(model, e, room)
		if _, ok := given[e.ID]; ok || e.Held.Len() > 0 || n == 0 {
			continue
		}
		if best == nil || suits(n, most(model, *best, room), layers) {
			best = &engines[i]
		}
	}
	return best
}

// suits reports whether an engine for a layers suits a hole better than one for b.
func suits(a, b, hole int) bool {
	if (a >= hole) != (b >= hole) {
		return a >= hole
	}
	if a >= hole {
		return a < b
	}
	return a > b
}
