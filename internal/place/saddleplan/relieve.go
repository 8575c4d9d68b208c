package saddleplan

import (
	"slices"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlerouting"
)

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
