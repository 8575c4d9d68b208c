package saddleplan_test

import (
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlerouting"
	"github.com/fireflysaddle/fireflysaddle/internal/place/saddleplan"
)

func TestEnginesWithoutLayersAreSparesWhereTheModelIsHeldOnce(t *testing.T) {
	m := smallCacheModel()
	for name, kinds := range map[fireflysaddle.DataCentre]map[fireflysaddle.Accelerator]int{
		"larisa-a":   {"a100s": 2, "l4": 5, "t4": 8},
		"trikala-c":  {"a100s": 1, "l4": 10, "t4": 4},
		"karditsa-d": {"a100s": 2, "l4": 5, "t4": 7},
	} {
		t.Run(string(name), func(t *testing.T) {
			is := is.New(t)
			list := engines(name, kinds)
			apply(list, saddleplan.Plan(m, list, saddleplan.GoalCopies))
			is.Equal(len(saddleplan.Plan(m, list, saddleplan.GoalCopies)), 0)
			for first := range list {
				for second := range list[:first] {
					next := slices.Clone(list)
					next[first].Lost = true
					next[second].Lost = true
					apply(next, saddleplan.Plan(m, next, saddleplan.GoalCopies))
					capacity, complete := smallestCapacity(m, next)
					is.True(complete)
					is.True(capacity >= 80_000)
				}
			}
		})
	}
}

func TestSlowEngineKeepsItsLayersUntilTheyAreLoadedElsewhere(t *testing.T) {
	is := is.New(t)
	list := takingOver()
	list[3].Pending, list[5].Slow, list[6].Lost = true, true, true
	plan := saddleplan.Plan(smallCacheModel(), list, saddleplan.GoalCopies)
	r, ordered := plan[list[5].ID]
	is.True(!ordered || (r.From <= 60 && r.To >= 66))
}

func TestLoadingEngineGetsNoSecondOrder(t *testing.T) {
	is := is.New(t)
	list := takingOver()
	list[3].Pending, list[5].Lost, list[6].Lost = true, true, true
	_, ordered := saddleplan.Plan(smallCacheModel(), list, saddleplan.GoalCopies)[list[3].ID]
	is.True(!ordered)
}

func takingOver() []saddleplan.Engine {
	list := engines("volos-b", map[fireflysaddle.Accelerator]int{"h100": 4, "t4": 3})
	for i, held := range []saddleplan.Range{{From: 0, To: 23}, {From: 23, To: 46}, {From: 66, To: 80}, {From: 60, To: 66}, {From: 46, To: 54}, {From: 60, To: 66}, {From: 54, To: 60}} {
		list[i].Held = held
	}
	return list
}

func settle(t *testing.T, m *saddlerouting.Model, list []saddleplan.Engine) {
	t.Helper()
	for range 10 * len(list) {
		plan := saddleplan.Plan(m, list, saddleplan.GoalCopies)
		if len(plan) == 0 {
			return
		}
		apply(list, plan)
	}
	t.Fatal("orders have not ended")
}

func TestEmptyEnginesStaySparesWhereLayersAreHeldOnce(t *testing.T) {
	is := is.New(t)
	m := smallCacheModel()
	list := engines("trikala-c", map[fireflysaddle.Accelerator]int{"a100s": 1, "l4": 10, "t4": 4})
	settle(t, m, list)
	empty := emptyEngines(list)
	first := slices.IndexFunc(list, func(e saddleplan.Engine) bool { return e.Held.From == 75 && e.Held.To == 80 })
	list[first].Lost = true
	settle(t, m, list)
	is.Equal(emptyEngines(list), empty-1)
	list[first].Lost = false
	settle(t, m, list)
	is.Equal(emptyEngines(list), empty-1)
}

func emptyEngines(list []saddleplan.Engine) int {
	n := 0
	for _, e := range list {
		if e.Held.Len() == 0 {
			n++
		}
	}
	return n
}

func TestSecondHoldersTakeOverLayersWithLittleCapacity(t *testing.T) {
	for name, restarted := range map[string]int{"engines return without layers": 3, "engines are lost for good": 0} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := smallCacheModel()
			list := engines("trikala-c", map[fireflysaddle.Accelerator]int{"a100s": 1, "l4": 10, "t4": 4})
			settle(t, m, list)
			second := []saddleplan.Range{{From: 0, To: 9}, {From: 9, To: 15}, {From: 66, To: 75}, {From: 48, To: 57}, {From: 39, To: 48}}
			for i, e := range list {
				switch {
				case e.Held.Len() == 0:
					list[i].Held, second = second[0], second[1:]
				case e.Accelerator == "t4" && restarted > 0:
					list[i].Held = saddleplan.Range{}
					restarted--
				case e.Accelerator == "t4":
					list[i].Lost = true
				}
			}
			is.Equal(len(second), 0)
			settle(t, m, list)
			is.True(saddleplan.Capacities(m, list)["trikala-c"].Tokens >= 80_000)
		})
	}
}
