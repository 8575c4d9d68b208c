package saddleplan

import (
	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlerouting"
)

// thicken gives layers that one engine holds to an empty one, the fastest, where the
// engines can hold the model twice. Elsewhere empty engines stay so for the layers of
// a lost one: a part of a second copy helps only for its part.
func thicken(model *saddlerouting.Model, engines []Engine) map[fireflysaddle.TargetID]Range {
	if layOutTimes(model, engines, copies, 0, fairRoom) == nil {
		return nil
	}
	var empty []Engine
	for _, e := range engines {
		if e.Held.Len() == 0 && most(model, e, fairRoom) > 0 {
			empty = append(empty, e)
		}
	}
	thin := heldBy(model, engines, 1)
	if len(empty) == 0 || len(thin) == 0 {
		return nil
	}
	wide := thin[0]
	layers := 0
	for _, r := range thin {
		layers += r.Len()
		if r.Len() > wide.Len() {
			wide = r
		}
	}
	n := min(wide.Len(), most(model, empty[0], roomFor(model, empty, layers)))
	return map[fireflysaddle.TargetID]Range{empty[0].ID: {From: wide.From, To: wide.From + n}}
}

// roomFor returns the most room with which engines hold a number of layers, at least
// the fair room.
func roomFor(model *saddlerouting.Model, engines []Engine, layers int) int {
	for room := wantedRoom; room > fairRoom; room -= roomStep {
		n := 0
		for _, e := range engines {
			n += most(model, e, room)
		}
		if n >= layers {
			return room
		}
	}
	return fairRoom
}
