package saddlepath

import (
	"math"
	"slices"
)

// Engine is an engine that holds the layers [From, To).
type Engine struct {
	From, To  int
	Centre    int     // index of its data centre
	LayerCost float64 // cost of running one layer
	HopCost   float64 // fixed cost of including the engine in a chain
	HeadCost  float64 // additional cost as the first engine of a chain
	MaxLayers int     // number of layers that it has capacity to run
}

// Part is a stage of a chain: the index of an engine and the layers [From, To) that
// it runs.
type Part struct {
	Engine   int
	From, To int
}

// Costs holds the costs of crossings from one data centre to another.
type Costs struct {
	ToFirstPart  float64 // cost of a crossing from the data centre of the origin to the first part
	BetweenParts float64 // cost of a crossing from one part to the next
}

// Find returns the cheapest chain found that covers all layers. centre is the data centre
// of the origin, from which the first part is reached. Find returns nil if it finds no
// chain that covers all layers. A chain contains each engine at most once. The search keeps
// only the cheapest partial chain for each layer and data centre. Therefore it may miss a
// chain that begins with a more expensive partial chain. Such a chain can be the only or the
// cheapest one, if the cheapest partial chain contains an engine that is needed again for
// later layers. cost is the cost of the chain.
func Find(engines []Engine, layers, centre int, costs Costs) (parts []Part, cost float64) {
	s := newSearch(engines, layers)
	s.relax(state{layer: 0, centre: centre}, step{cost: 0, previous: -1})
	for layer := range layers {
		crossCost := costs.BetweenParts
		if layer == 0 {
			crossCost = costs.ToFirstPart
		}
		s.extend(layer, crossCost)
	}
	return s.cheapest()
}

// state is the end of a partial chain that covers the layers before layer and ends in a
// data centre.
type state struct {
	layer, centre int
}

// step is the last part of the cheapest known chain to a state.
type step struct {
	cost       float64
	previous   int // index of the preceding state; -1: none
	engine     int
	firstLayer int // first layer of the last part
}

type search struct {
	engines       []Engine
	layers        int
	boundaries    []int // first layers of all engines, ascending
	indexByState  map[state]int
	steps         []step
	stateByIndex  []state
	statesByLayer [][]int // state indices by layer
}

func newSearch(engines []Engine, layers int) *search {
	s := &search{engines: engines, layers: layers, indexByState: map[state]int{}, statesByLayer: make([][]int, layers+1)}
	for _, e := range engines {
		s.boundaries = append(s.boundaries, e.From)
	}
	slices.Sort(s.boundaries)
	s.boundaries = slices.Compact(s.boundaries)
	return s
}

// relax records a step to a state if the state is new or the step is cheaper than the
// known one.
func (s *search) relax(to state, via step) {
	i, ok := s.indexByState[to]
	if !ok {
		i = len(s.steps)
		s.indexByState[to] = i
		s.steps = append(s.steps, step{cost: math.Inf(1), previous: -1})
		s.stateByIndex = append(s.stateByIndex, to)
		s.statesByLayer[to.layer] = append(s.statesByLayer[to.layer], i)
	}
	if via.cost < s.steps[i].cost {
		s.steps[i] = via
	}
}

// extend appends every engine that holds a layer to the chain of each state at that layer.
// The new part ends where the engine's layers or its capacity end, or at any earlier layer
// at which another engine begins. crossCost is added if the engine is in another data
// centre than the state.
func (s *search) extend(layer int, crossCost float64) {
	for _, previous := range s.statesByLayer[layer] {
		for i, e := range s.engines {
			if e.From > layer || e.To <= layer || s.chainContains(previous, i) {
				continue
			}
			cost := s.steps[previous].cost + e.HopCost
			if layer == 0 {
				cost += e.HeadCost
			}
			if e.Centre != s.stateByIndex[previous].centre {
				cost += crossCost
			}
			end := min(e.To, layer+e.MaxLayers, s.layers)
			if end <= layer {
				continue
			}
			s.relax(state{layer: end, centre: e.Centre}, step{cost: cost + e.LayerCost*float64(end-layer), previous: previous, engine: i, firstLayer: layer})
			for _, boundary := range s.boundaries {
				if boundary > layer && boundary < end {
					s.relax(state{layer: boundary, centre: e.Centre}, step{cost: cost + e.LayerCost*float64(boundary-layer), previous: previous, engine: i, firstLayer: layer})
				}
			}
		}
	}
}

// chainContains reports whether the chain to a state contains an engine.
func (s *search) chainContains(stateIndex, engine int) bool {
	for ; stateIndex >= 0 && s.steps[stateIndex].previous >= 0; stateIndex = s.steps[stateIndex].previous {
		if s.steps[stateIndex].engine == engine {
			return true
		}
	}
	return false
}

func (s *search) cheapest() ([]Part, float64) {
	cheapest := -1
	for _, i := range s.statesByLayer[s.layers] {
		if cheapest < 0 || s.steps[i].cost < s.steps[cheapest].cost {
			cheapest = i
		}
	}
	if cheapest < 0 || math.IsInf(s.steps[cheapest].cost, 1) {
		return nil, math.Inf(1)
	}
	var out []Part
	for i := cheapest; s.steps[i].previous >= 0; i = s.steps[i].previous {
		out = append(out, Part{Engine: s.steps[i].engine, From: s.steps[i].firstLayer, To: s.stateByIndex[i].layer})
	}
	slices.Reverse(out)
	return out, s.steps[cheapest].cost
}
