package saddleplacer_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// Pattern: another writer registers engines with layers that the model does not have, before and
// after the model is held.
// Guards against the placer ending its process, and against layers counted as held by them.
func TestEnginesWithForeignLayersAreNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := newEngines(4)
		e.start(t)
		register := func(id string, from, to uint32) {
			e.update(&saddlewire.Update{Registrations: []*saddlewire.Registration{{
				Id: id, Address: id, Group: "drafts", Centre: "a", Accelerator: "big", Incarnation: 1,
				Layers: []*saddlewire.HeldLayers{{From: from, To: to}},
			}}})
		}
		register("x0", 7, 9)
		register("x1", 0, 1<<31)
		register("x2", 4, 5)
		await(t, "the model to be held", func() bool { return e.holdersOfFirstLayer() > 1 })
		lost := e.holderOfFirstLayer()
		e.update(&saddlewire.Update{Departures: []*saddlewire.Departure{{Target: lost, Incarnation: 1}}, Unregistered: []string{"x0"}})
		time.Sleep(5 * time.Second)
		e.mu.Lock()
		defer e.mu.Unlock()
		for _, id := range []string{"x0", "x1", "x2"} {
			is.Equal(len(e.orders[id]), 0)
		}
	})
}
