package saddleplan

import (
	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlerouting"
)

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
