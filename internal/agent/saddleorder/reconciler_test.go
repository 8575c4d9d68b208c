package saddleorder_test

import (
	"errors"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/agent/saddleorder"
)

var (
	start   = time.Unix(1000, 0)
	fence   = fireflysaddle.Fence{Term: 3, Sequence: 7}
	desired = saddleorder.EngineState{Group: "mastori", Version: "2", Role: "prefill", Adapters: []string{"greek"}}
)

// engine executes each order immediately.
type engine struct {
	state  saddleorder.EngineState
	orders []fireflysaddle.Order
}

func (e *engine) execute(o fireflysaddle.Order) {
	e.orders = append(e.orders, o)
	switch o.Action {
	case saddleorder.ActionLoad:
		e.state.Group = fireflysaddle.Group(o.Subject)
	case saddleorder.ActionVersion:
		e.state.Version = fireflysaddle.Version(o.Subject)
	case saddleorder.ActionRole:
		e.state.Role = o.Subject
	case saddleorder.ActionAdapter:
		e.state.Adapters = append(e.state.Adapters, o.Subject)
	case saddleorder.ActionUnload:
		e.state.Adapters = slices.DeleteFunc(e.state.Adapters, func(a string) bool { return a == o.Subject })
	}
}

func TestOrdersConvergeOneAtATime(t *testing.T) {
	is := is.New(t)
	e := &engine{state: saddleorder.EngineState{Group: "old", Version: "1", Adapters: []string{"dutch"}}}
	var r saddleorder.Reconciler
	now := start
	for range 20 {
		order, due, err := r.Next(now, fence, desired, e.state)
		is.NoErr(err)
		if due {
			e.execute(order)
		}
		now = now.Add(100 * time.Millisecond)
	}
	is.Equal(e.state.Group, desired.Group)
	is.Equal(e.state.Version, desired.Version)
	is.Equal(e.state.Role, desired.Role)
	is.Equal(len(e.orders), 5) // group, version, role, one adapter loaded, one unloaded
	for _, o := range e.orders {
		is.Equal(o.Fence, fence)
	}
}

func TestOrderIsRepeatedOnlyAfterTheRetryInterval(t *testing.T) {
	is := is.New(t)
	actual := saddleorder.EngineState{Group: "mastori", Version: "1"}
	newVersion := saddleorder.EngineState{Group: "mastori", Version: "2"}
	var r saddleorder.Reconciler
	sent := 0
	for i := range 19 { // calls within 1.9 s
		_, due, err := r.Next(start.Add(time.Duration(i)*100*time.Millisecond), fence, newVersion, actual)
		is.NoErr(err)
		if due {
			sent++
		}
	}
	is.Equal(sent, 1) // one order, however often Next is called
	_, due, err := r.Next(start.Add(3*time.Second), fence, newVersion, actual)
	is.NoErr(err)
	is.True(due) // a lost order is sent again
}

func TestStaleFenceGivesNoOrder(t *testing.T) {
	cases := []struct {
		name string
		old  fireflysaddle.Fence
	}{
		{"lower sequence in the same term", fireflysaddle.Fence{Term: 3, Sequence: 6}},
		{"lower term with a higher sequence", fireflysaddle.Fence{Term: 2, Sequence: 9}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var r saddleorder.Reconciler
			_, due, err := r.Next(start, fence, desired, saddleorder.EngineState{})
			is.NoErr(err)
			is.True(due)
			_, due, err = r.Next(start.Add(time.Hour), c.old, saddleorder.EngineState{Group: "stale"}, saddleorder.EngineState{})
			var stale *saddleorder.StaleFenceError
			is.True(errors.As(err, &stale))
			is.True(!due) // the engine is not sent the stale order
		})
	}
}
