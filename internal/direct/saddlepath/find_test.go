package saddlepath_test

import (
	"math"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlepath"
)

const layers = 12

func holderOf(t *rapid.T) saddlepath.Engine {
	from := rapid.IntRange(0, layers-1).Draw(t, "from")
	return saddlepath.Engine{
		From:      from,
		To:        rapid.IntRange(from+1, layers).Draw(t, "to"),
		Centre:    rapid.IntRange(0, 2).Draw(t, "centre"),
		LayerCost: rapid.Float64Range(1, 5).Draw(t, "per layer"),
		HopCost:   rapid.Float64Range(0, 3).Draw(t, "per hop"),
		MaxLayers: rapid.IntRange(0, layers).Draw(t, "most"),
	}
}

// cheapest tries every chain in which each part ends where its holder ends or
// another one begins.
func cheapest(holders []saddlepath.Engine, at, centre int, used map[int]bool, costs saddlepath.Costs) float64 {
	if at == layers {
		return 0
	}
	best := math.Inf(1)
	for i, h := range holders {
		if used[i] || h.From > at || h.To <= at {
			continue
		}
		cross := costs.Cross
		if at == 0 {
			cross = costs.Enter
		}
		if h.Centre == centre {
			cross = 0
		}
		used[i] = true
		for end := at + 1; end <= min(h.To, at+h.MaxLayers); end++ {
			rest := cheapest(holders, end, h.Centre, used, costs)
			best = min(best, cross+h.HopCost+h.LayerCost*float64(end-at)+rest)
		}
		delete(used, i)
	}
	return best
}

func TestAChainRunsEveryLayerOnceAndInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		holders := rapid.SliceOfN(rapid.Custom(holderOf), 1, 8).Draw(t, "holders")
		parts := saddlepath.Find(holders, layers, 0, saddlepath.Costs{Enter: 1, Cross: 4})
		at := 0
		used := map[int]bool{}
		for _, p := range parts {
			h := holders[p.Engine]
			if p.From != at || p.To <= p.From || p.From < h.From || p.To > h.To || p.To-p.From > h.MaxLayers || used[p.Engine] {
				t.Fatalf("part %+v of %+v does not go on at layer %d", p, h, at)
			}
			used[p.Engine] = true
			at = p.To
		}
		if len(parts) > 0 && at != layers {
			t.Fatalf("the chain ends at layer %d", at)
		}
	})
}

// Where no layer is held in more than two places, a chain is found whenever there
// is one.
func TestAChainIsFoundWhereThereIsOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		holders := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) saddlepath.Engine {
			h := holderOf(t)
			h.MaxLayers = layers
			return h
		}), 1, 5).Draw(t, "holders")
		costs := saddlepath.Costs{Enter: 1, Cross: 4}
		found := saddlepath.Find(holders, layers, 0, costs) != nil
		if exists := !math.IsInf(cheapest(holders, 0, 0, map[int]bool{}, costs), 1); exists != found {
			t.Fatalf("a chain exists: %v, found: %v", exists, found)
		}
	})
}

func TestTheCheaperChainIsTaken(t *testing.T) {
	whole := func(centre int, perLayer float64) saddlepath.Engine {
		return saddlepath.Engine{From: 0, To: layers, Centre: centre, LayerCost: perLayer, MaxLayers: layers}
	}
	for name, c := range map[string]struct {
		holders []saddlepath.Engine
		head    int
		parts   int
	}{
		"the faster":                      {[]saddlepath.Engine{whole(0, 2), whole(0, 1)}, 1, 1},
		"the near one":                    {[]saddlepath.Engine{whole(0, 1.05), whole(1, 1)}, 0, 1},
		"the far one, when much faster":   {[]saddlepath.Engine{whole(0, 9), whole(1, 1)}, 1, 1},
		"not the head that fails":         {[]saddlepath.Engine{{To: layers, LayerCost: 1, MaxLayers: layers, HeadCost: 50}, whole(0, 2)}, 1, 1},
		"two parts, when one has no room": {[]saddlepath.Engine{{To: layers, LayerCost: 1, MaxLayers: 6}, {From: 6, To: layers, LayerCost: 1, MaxLayers: layers}}, 0, 2},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			parts := saddlepath.Find(c.holders, layers, 0, saddlepath.Costs{Enter: 1, Cross: 4})
			is.Equal(len(parts), c.parts)
			is.Equal(parts[0].Engine, c.head)
		})
	}
}
