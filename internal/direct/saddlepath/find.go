package saddlepath

import (
	"math"
	"slices"
)

// Engine is an engine that holds the layers [From, To).
type Engine struct {
	From, To  int
	Centre    int     // number of its data centre
	LayerCost float64 // cost of one layer there
	HopCost   float64 // cost of passing through it
	HeadCost  float64 // further cost of being the first of a chain
	MaxLayers int     // layers that it has room to run
}

// Part is a part of a chain: a holder, by its index, and the layers it runs.
type Part struct {
	Engine   int
	From, To int
}

// Costs are those of changes of data centre.
type Costs struct {
	Enter float64 // before the first part
	Cross float64 // between parts
}

// Find returns the cheapest chain over all layers whose first part is reached
// from a data centre, nil when the holders do not cover the layers. No holder
// stands in a chain twice.
func Find(holders []Engine, layers, centre int, costs Costs) []Part {
	s := newSearch(holders, layers)
	s.relax(state{at: 0, centre: centre}, step{cost: 0, from: -1})
	for at := range layers {
		cross := costs.Cross
		if at == 0 {
			cross = costs.Enter
		}
		s.extend(at, cross)
	}
	return s.best()
}

// state is a chain that covers the layers before at and ends in a data centre.
type state struct {
	at, centre int
}

// step is the cheapest way to a state.
type step struct {
	cost   float64
	from   int // index of the state before, -1: none
	holder int
	start  int // first layer of the last part
}

type search struct {
	holders []Engine
	layers  int
	cuts    []int // layers at which a holder begins, ascending
	states  map[state]int
	steps   []step
	where   []state
	at      [][]int // states by layer
}

func newSearch(holders []Engine, layers int) *search {
	s := &search{holders: holders, layers: layers, states: map[state]int{}, at: make([][]int, layers+1)}
	for _, h := range holders {
		s.cuts = append(s.cuts, h.From)
	}
	slices.Sort(s.cuts)
	s.cuts = slices.Compact(s.cuts)
	return s
}

func (s *search) relax(to state, by step) {
	i, ok := s.states[to]
	if !ok {
		i = len(s.steps)
		s.states[to] = i
		s.steps = append(s.steps, step{cost: math.Inf(1), from: -1})
		s.where = append(s.where, to)
		s.at[to.at] = append(s.at[to.at], i)
	}
	if by.cost < s.steps[i].cost {
		s.steps[i] = by
	}
}

// extend goes on from each state at a layer with each holder of that layer, to
// the holder's end and to each place before it at which another one begins.
func (s *search) extend(at int, cross float64) {
	for _, from := range s.at[at] {
		for i, h := range s.holders {
			if h.From > at || h.To <= at || s.uses(from, i) {
				continue
			}
			cost := s.steps[from].cost + h.HopCost
			if at == 0 {
				cost += h.HeadCost
			}
			if h.Centre != s.where[from].centre {
				cost += cross
			}
			end := min(h.To, at+h.MaxLayers)
			if end <= at {
				continue
			}
			s.relax(state{at: end, centre: h.Centre}, step{cost: cost + h.LayerCost*float64(end-at), from: from, holder: i, start: at})
			for _, cut := range s.cuts {
				if cut > at && cut < end {
					s.relax(state{at: cut, centre: h.Centre}, step{cost: cost + h.LayerCost*float64(cut-at), from: from, holder: i, start: at})
				}
			}
		}
	}
}

// uses reports whether the way to a state passes through a holder.
func (s *search) uses(i, holder int) bool {
	for ; i >= 0 && s.steps[i].from >= 0; i = s.steps[i].from {
		if s.steps[i].holder == holder {
			return true
		}
	}
	return false
}

func (s *search) best() []Part {
	best := -1
	for _, i := range s.at[s.layers] {
		if best < 0 || s.steps[i].cost < s.steps[best].cost {
			best = i
		}
	}
	if best < 0 || math.IsInf(s.steps[best].cost, 1) {
		return nil
	}
	var out []Part
	for i := best; s.steps[i].from >= 0; i = s.steps[i].from {
		out = append(out, Part{Engine: s.steps[i].holder, From: s.steps[i].start, To: s.where[i].at})
	}
	slices.Reverse(out)
	return out
}
