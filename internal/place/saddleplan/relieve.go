package saddleplan

import (
	"slices"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlerouting"
)

// relieve gives the fastest empty engine the layers of the one with the least room,
// if that is little, and as many beside them as it holds with the most room: what
// two engines hold, either may run.
func relieve(model *saddlerouting.Model, engines []Engine) map[fireflysaddle.TargetID]Range {
	var empty, tight *Engine
	for i, e := range engines {
		switch {
		case e.Held.Len() == 0:
			if empty == nil {
				empty = &engines[i]
			}
		case alone(engines, e) && (tight == nil || roomOf(model, e) < roomOf(model, *tight)):
			tight = &engines[i]
		}
	}
	if tight == nil || empty == nil || roomOf(model, *tight) >= fairRoom {
		return nil
	}
	n := most(model, *empty, wantedRoom)
	if n == 0 {
		return nil
	}
	from := tight.Held.From
	if n < tight.Held.Len() {
		from = tight.Held.To - n // the last ones: alone looks at these
	}
	from = max(0, min(from, model.Layers-n))
	return map[fireflysaddle.TargetID]Range{empty.ID: {From: from, To: from + n}}
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
