package saddlepath_test

import (
	"math"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlepath"
)

const layers = 12

func drawEngine(t *rapid.T) saddlepath.Engine {
	from := rapid.IntRange(0, layers-1).Draw(t, "from")
	return saddlepath.Engine{
		From:      from,
		To:        rapid.IntRange(from+1, layers).Draw(t, "to"),
		Centre:    rapid.IntRange(0, 2).Draw(t, "centre"),
		LayerCost: rapid.Float64Range(1, 5).Draw(t, "layer cost"),
		HopCost:   rapid.Float64Range(0, 3).Draw(t, "hop cost"),
		MaxLayers: rapid.IntRange(0, layers).Draw(t, "max layers"),
	}
}

// lowestCost returns the lowest cost of all chains that run the layers from layer on with
// engines that are not in used, by exhaustive search. A chain has no engine twice. The cost
// is infinite if no chain exists.
func lowestCost(engines []saddlepath.Engine, layer, centre int, used map[int]bool, costs saddlepath.Costs) float64 {
	if layer == layers {
		return 0
	}
	best := math.Inf(1)
	for i, e := range engines {
		if used[i] || e.From > layer || e.To <= layer {
			continue
		}
		cross := costs.BetweenParts
		if layer == 0 {
			cross = costs.ToFirstPart
		}
		if e.Centre == centre {
			cross = 0
		}
		used[i] = true
		for end := layer + 1; end <= min(e.To, layer+e.MaxLayers); end++ {
			restCost := lowestCost(engines, end, e.Centre, used, costs)
			best = min(best, cross+e.HopCost+e.LayerCost*float64(end-layer)+restCost)
		}
		delete(used, i)
	}
	return best
}

func TestChainRunsEveryLayerOnceInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		engines := rapid.SliceOfN(rapid.Custom(drawEngine), 1, 8).Draw(t, "drawn engines")
		parts, _ := saddlepath.Find(engines, layers, 0, saddlepath.Costs{ToFirstPart: 1, BetweenParts: 4})
		nextLayer := 0
		used := map[int]bool{}
		for _, p := range parts {
			e := engines[p.Engine]
			if p.From != nextLayer || p.To <= p.From || p.From < e.From || p.To > e.To || p.To-p.From > e.MaxLayers || used[p.Engine] {
				t.Fatalf("part %+v of %+v does not continue the chain at layer %d", p, e, nextLayer)
			}
			used[p.Engine] = true
			nextLayer = p.To
		}
		if len(parts) > 0 && nextLayer != layers {
			t.Fatalf("chain ends at layer %d", nextLayer)
		}
	})
}

// With few engines, each with capacity for all layers, a chain is found whenever one
// exists. Find keeps one chain for each layer and data centre and uses no engine twice,
// so this does not hold in general if a layer is held in more than two places.
func TestChainIsFoundIfOneExists(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		engines := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) saddlepath.Engine {
			e := drawEngine(t)
			e.MaxLayers = layers
			return e
		}), 1, 5).Draw(t, "drawn engines")
		costs := saddlepath.Costs{ToFirstPart: 1, BetweenParts: 4}
		parts, cost := saddlepath.Find(engines, layers, 0, costs)
		found := parts != nil
		if found == math.IsInf(cost, 1) {
			t.Fatalf("chain of cost %v, found: %v", cost, found)
		}
		if exists := !math.IsInf(lowestCost(engines, 0, 0, map[int]bool{}, costs), 1); exists != found {
			t.Fatalf("chain exists: %v, found: %v", exists, found)
		}
	})
}

func TestCheapestChainIsChosen(t *testing.T) {
	engineWithAllLayers := func(centre int, layerCost float64) saddlepath.Engine {
		return saddlepath.Engine{From: 0, To: layers, Centre: centre, LayerCost: layerCost, MaxLayers: layers}
	}
	for name, c := range map[string]struct {
		engines []saddlepath.Engine
		head    int
		parts   int
	}{
		"faster engine":                           {[]saddlepath.Engine{engineWithAllLayers(0, 2), engineWithAllLayers(0, 1)}, 1, 1},
		"nearer engine":                           {[]saddlepath.Engine{engineWithAllLayers(0, 1.05), engineWithAllLayers(1, 1)}, 0, 1},
		"remote engine, if much faster":           {[]saddlepath.Engine{engineWithAllLayers(0, 9), engineWithAllLayers(1, 1)}, 1, 1},
		"no engine with a high head cost":         {[]saddlepath.Engine{{To: layers, LayerCost: 1, MaxLayers: layers, HeadCost: 50}, engineWithAllLayers(0, 2)}, 1, 1},
		"two parts, if one engine lacks capacity": {[]saddlepath.Engine{{To: layers, LayerCost: 1, MaxLayers: 6}, {From: 6, To: layers, LayerCost: 1, MaxLayers: layers}}, 0, 2},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			parts, _ := saddlepath.Find(c.engines, layers, 0, saddlepath.Costs{ToFirstPart: 1, BetweenParts: 4})
			is.Equal(len(parts), c.parts)
			is.Equal(parts[0].Engine, c.head)
		})
	}
}

// Guards against a search that panics, or leaves the model, because an engine reports layers that
// the model does not have.
func TestFindToleratesAnyLayers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		engines := rapid.SliceOfN(rapid.Custom(drawEngine), 1, 4).Draw(t, "drawn engines")
		for range rapid.IntRange(1, 4).Draw(t, "foreign engines") {
			from := rapid.SampledFrom([]int{0, 5, layers - 1, layers, layers + 3, 1 << 31}).Draw(t, "foreign from")
			engines = append(engines, saddlepath.Engine{
				From: from, To: from + rapid.SampledFrom([]int{0, 1, layers, 1 << 31}).Draw(t, "foreign layers"),
				LayerCost: 1, MaxLayers: rapid.IntRange(0, 3*layers).Draw(t, "foreign max layers"),
			})
		}
		parts, _ := saddlepath.Find(engines, layers, 0, saddlepath.Costs{})
		if len(parts) > 0 && parts[len(parts)-1].To != layers {
			t.Fatalf("the chain ends at layer %d", parts[len(parts)-1].To)
		}
	})
}
