package saddleplacer_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

func TestLayersOfALostEngineAreAssignedToAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := newEngines(3)
		e.start(t)
		await(t, "the model to be held", e.covered)
		lost := ""
		for id, reg := range e.View().Registrations {
			if len(reg.GetLayers()) > 0 && reg.GetLayers()[0].GetFrom() == 0 {
				lost = id
			}
		}
		suspecting := &saddlewire.Member{Node: "entry-1", Role: "entry", Suspects: []string{lost}}
		e.update(&saddlewire.Update{Members: []*saddlewire.Member{suspecting}})
		time.Sleep(500 * time.Millisecond)
		is.Equal(e.holdersOfFirstLayer(), 1)
		e.update(&saddlewire.Update{Members: []*saddlewire.Member{{Node: "entry-2", Role: "entry", Suspects: []string{lost}}}})
		await(t, "another engine to hold the first layer", func() bool { return e.holdersOfFirstLayer() == 2 })
	})
}

func TestLayersOfALeavingEngineAreAssignedToAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngines(3)
		e.start(t)
		await(t, "the model to be held", e.covered)
		for id, reg := range e.View().Registrations {
			if len(reg.GetLayers()) > 0 && reg.GetLayers()[0].GetFrom() == 0 {
				e.mu.Lock()
				e.leaving = id
				e.mu.Unlock()
			}
		}
		await(t, "another engine to hold the first layer", func() bool { return e.holdersOfFirstLayer() == 2 })
	})
}

func (e *engines) holdersOfFirstLayer() int {
	n := 0
	for _, reg := range e.View().Registrations {
		if len(reg.GetLayers()) > 0 && reg.GetLayers()[0].GetFrom() == 0 {
			n++
		}
	}
	return n
}

func (e *engines) holderOfFirstLayer() string {
	for id, reg := range e.View().Registrations {
		if len(reg.GetLayers()) > 0 && reg.GetLayers()[0].GetFrom() == 0 {
			return id
		}
	}
	return ""
}

func TestEngineThatItsOwnDataCentreReachesIsNotReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := newEngines(3)
		e.start(t)
		await(t, "the model to be held", e.covered)
		suspects := []string{e.holderOfFirstLayer()}
		e.update(&saddlewire.Update{Members: []*saddlewire.Member{
			{Node: "near-1", Role: "entry", Centre: "a"},
			{Node: "near-2", Role: "entry", Centre: "a"},
			{Node: "far-1", Role: "entry", Centre: "b", Suspects: suspects},
			{Node: "far-2", Role: "entry", Centre: "b", Suspects: suspects},
		}})
		time.Sleep(3 * time.Second)
		is.Equal(e.holdersOfFirstLayer(), 1)
		e.update(&saddlewire.Update{Members: []*saddlewire.Member{
			{Node: "near-1", Role: "entry", Centre: "a", Suspects: suspects}, {Node: "near-2", Role: "entry", Centre: "a", Suspects: suspects},
		}})
		await(t, "another engine to hold the first layer", func() bool { return e.holdersOfFirstLayer() == 2 })
	})
}

func TestEngineThatReportsElsewhereIsNotReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := newEngines(3)
		e.start(t)
		await(t, "the model to be held", e.covered)
		time.Sleep(time.Second) // the placer has seen the layers
		silent, ordered := e.holderOfFirstLayer(), e.orderedEngines()
		e.update(&saddlewire.Update{Unregistered: []string{silent}})
		time.Sleep(3 * time.Second)
		is.Equal(e.orderedEngines(), ordered)
		is.Equal(e.holderOfFirstLayer(), silent) // it answered a probe and is registered again
		e.mu.Lock()
		e.unreachable = silent
		e.mu.Unlock()
		e.update(&saddlewire.Update{Unregistered: []string{silent}})
		await(t, "another engine to hold the first layer", func() bool { return e.orderedEngines() == ordered+1 })
	})
}

func (e *engines) orderedEngines() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.orders)
}

func TestReleasedLayersAreUnregisteredFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := newEngines(3)
		for id, held := range map[string]fireflysaddle.Holding{"e0": {From: 0, To: 2}, "e1": {From: 0, To: 2}, "e2": {From: 2, To: 4}} {
			e.hold(id, held)
		}
		e.refuse = func(address string, _ int) error {
			is.Equal(len(e.view.Registrations[address].GetLayers()), 0)
			return nil
		}
		e.start(t)
		time.Sleep(5 * time.Second)
		is.Equal(e.orderedEngines(), 0)
		e.update(&saddlewire.Update{Departures: []*saddlewire.Departure{{Target: "e2", Incarnation: 1}}})
		await(t, "the second holder of layers to hold those of the departed engine", func() bool { return e.orderedEngines() == 1 })
	})
}

func (e *engines) hold(id string, held fireflysaddle.Holding) {
	e.held[id] = held
	reg, _ := proto.Clone(e.View().Registrations[id]).(*saddlewire.Registration)
	reg.Sequence++
	reg.Layers = []*saddlewire.HeldLayers{{From: uint32(held.From), To: uint32(held.To)}}
	e.update(&saddlewire.Update{Registrations: []*saddlewire.Registration{reg}})
}

func TestFollowerThatBecomesLeaderReplacesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := newEngines(3)
		e.hold("e0", fireflysaddle.Holding{From: 0, To: 2})
		e.hold("e1", fireflysaddle.Holding{From: 2, To: 4})
		e.term.Store(0)
		e.start(t)
		time.Sleep(5 * time.Second)
		suspects := []string{"e0"}
		e.update(&saddlewire.Update{Members: []*saddlewire.Member{
			{Node: "entry-1", Role: "entry", Suspects: suspects}, {Node: "entry-2", Role: "entry", Suspects: suspects},
		}})
		e.term.Store(4)
		time.Sleep(300 * time.Millisecond)
		is.Equal(e.orderedEngines(), 1)
	})
}

func TestLeaderThatHasJustStartedWaitsForReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := newEngines(3)
		e.hold("e0", fireflysaddle.Holding{From: 0, To: 2})
		e.start(t)
		time.Sleep(1500 * time.Millisecond)
		is.Equal(e.orderedEngines(), 0)
		time.Sleep(2 * time.Second)
		is.True(e.orderedEngines() > 0)
	})
}
