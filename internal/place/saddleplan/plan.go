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
	// a chain. The smallest accelerators of the users hold six layers with it, which
	// leaves the larger ones empty for those that are lost.
	wantedRoom = 156_000
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
	// copies is how often a data centre holds the model if its engines can: requests
	// go on through the other copy at once when an engine is lost.
	copies = 2
)

// Plan returns the engines that are to hold other layers than they do. In each
// data centre the engines hold every layer twice if they can, else once, the
// fastest ones first. Later only layers that too few hold are given out: those that
// nobody holds to empty engines and to those that hold the layers before and after,
// those that one holds to empty engines where the model can be held twice. No engine ever gives up layers, because it
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
	steps := model.StepTime(a, 1) * time.Duration(max(1, model.MeanAnswerTokens))
	return int64(steps + model.ReadTime(a, 1, model.MeanPromptTokens))
}

func planCentre(model *saddlerouting.Model, engines []Engine) map[fireflysaddle.TargetID]Range {
	live := slices.DeleteFunc(slices.Clone(engines), func(e Engine) bool { return e.Lost })
	if !slices.ContainsFunc(live, func(e Engine) bool { return e.Held.Len() > 0 }) {
		return layOut(model, live)
	}
	if holes := heldBy(model, live, 0); len(holes) > 0 {
		return fill(model, live, holes, leastRoom)
	}
	fast := slices.DeleteFunc(live, func(e Engine) bool { return e.Slow })
	if out := fill(model, fast, heldBy(model, fast, 0), fairRoom); out != nil {
		return out
	}
	if out := relieve(model, fast); out != nil {
		return out
	}
	return thicken(model, fast)
}

// heldBy returns the ranges of layers that a number of engines hold.
func heldBy(model *saddlerouting.Model, engines []Engine, holders int) []Range {
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

// layOut gives all layers to the engines in turn, as often and with as much room as
// they can hold them, and leaves some of the last engines empty if it can. It returns
// nil when they cannot hold all.
func layOut(model *saddlerouting.Model, engines []Engine) map[fireflysaddle.TargetID]Range {
	for times := copies; times > 0; times-- {
		least := fairRoom
		for empty := spares; empty >= 0; empty-- {
			if times == 1 && empty == 0 {
				least = leastRoom
			}
			if out := layOutTimes(model, engines, times, empty, least); out != nil {
				return out
			}
		}
	}
	return nil
}

// layOutTimes gives all layers to the engines a number of times, with the most room
// with which they hold them, and leaves some of the last engines empty. It returns
// nil when they cannot hold them with the least room.
func layOutTimes(model *saddlerouting.Model, engines []Engine, times, empty, least int) map[fireflysaddle.TargetID]Range {
	usable := engines[:max(0, len(engines)-empty)]
	for room := wantedRoom; room >= least; room -= roomStep {
		if out := inTurn(model, usable, times, room); out != nil {
			return out
		}
	}
	return nil
}

// inTurn gives all layers to the engines a number of times, nil when they have too
// little room.
func inTurn(model *saddlerouting.Model, engines []Engine, times, room int) map[fireflysaddle.TargetID]Range {
	out := map[fireflysaddle.TargetID]Range{}
	at := 0
	for _, e := range engines {
		if n := min(most(model, e, room), model.Layers-at); n > 0 {
			out[e.ID] = Range{From: at, To: at + n}
			at += n
		}
		if at == model.Layers && times > 1 {
			at = 0
			times--
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
