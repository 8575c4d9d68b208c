package saddleplan

import (
	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlerouting"
)

// Capacity describes how many tokens the engines of a data centre can hold at once.
type Capacity struct {
	Tokens int   // token capacity of the layers with the least
	Layers Range // the first range of layers with that capacity
	Empty  int   // engines without layers
}

// Capacities returns the capacity of each data centre. Lost engines do not count.
func Capacities(model *saddlerouting.Model, engines []Engine) map[fireflysaddle.DataCentre]Capacity {
	out := map[fireflysaddle.DataCentre]Capacity{}
	for centre, list := range byCentre(model, engines) {
		live := withoutLost(list)
		c := Capacity{}
		byLayer := capacityByLayer(model, live)
		for l, tokens := range byLayer {
			if l == 0 || tokens < c.Tokens {
				c.Tokens, c.Layers = tokens, Range{From: l, To: l + 1}
			} else if tokens == c.Tokens && c.Layers.To == l {
				c.Layers.To = l + 1
			}
		}
		for _, e := range live {
			if e.Held.Len() == 0 {
				c.Empty++
			}
		}
		out[centre] = c
	}
	return out
}

// Holders returns the smallest number of engines of a data centre that hold a layer of a
// range. Lost engines do not count.
func Holders(engines []Engine, centre fireflysaddle.DataCentre, layers Range) int {
	counts := make([]int, layers.Len())
	for _, e := range withoutLost(engines) {
		for l := max(layers.From, e.Held.From); e.Centre == centre && l < min(layers.To, e.Held.To); l++ {
			counts[l-layers.From]++
		}
	}
	fewest := len(engines)
	for _, n := range counts {
		fewest = min(fewest, n)
	}
	return fewest
}

// capacityByLayer returns the token capacity of the engines together at each layer.
func capacityByLayer(model *saddlerouting.Model, engines []Engine) []int {
	out := make([]int, model.Layers)
	for _, e := range engines {
		for l := max(0, e.Held.From); l < min(model.Layers, e.Held.To); l++ {
			out[l] += tokenCapacity(model, e)
		}
	}
	return out
}
