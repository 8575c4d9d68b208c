package saddleplan_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/place/saddleplan"
)

func TestCapacityIsThatOfTheWeakestLayers(t *testing.T) {
	is := is.New(t)
	list := engines("trikala-c", map[fireflysaddle.Accelerator]int{"h100": 2, "l4": 2, "t4": 1})
	list[0].Held = saddleplan.Range{From: 0, To: 40}
	list[1].Held = saddleplan.Range{From: 40, To: 80}
	list[2].Held = saddleplan.Range{From: 0, To: 10}
	list[4].Lost = true
	m := smallCacheModel()
	c := saddleplan.Capacities(m, list)["trikala-c"]
	is.Equal(c.Tokens, m.TokenCapacity(m.Accelerators["h100"], 40))
	is.Equal(c.Layers, saddleplan.Range{From: 10, To: 80})
	is.Equal(c.Empty, 1) // the lost engine does not count
	is.Equal(saddleplan.Holders(list, "trikala-c", saddleplan.Range{From: 0, To: 10}), 2)
	is.Equal(saddleplan.Holders(list, "trikala-c", saddleplan.Range{From: 5, To: 15}), 1)
	is.Equal(saddleplan.Holders(list, "larisa-a", saddleplan.Range{From: 5, To: 15}), 0)
}
