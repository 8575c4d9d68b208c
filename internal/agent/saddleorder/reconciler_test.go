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
	start  = time.Unix(1000, 0)
	fence  = fireflysaddle.Fence{Term: 3, Sequence: 7}
	wanted = saddleorder.Holding{Group: "mastori", Version: "2", Role: "prefill", Adapters: []string{"greek"}}
)

// engine carries out orders at once.
type engine struct {
	holding saddleorder.Holding
	orders  []fireflysaddle.Order
}

func (e *engine) carryOut(o fireflysaddle.Order) {
	e.orders = append(e.orders, o)
	switch o.Action {
	case saddleorder.ActionLoad:
		e.holding.Group = fireflysaddle.Group(o.Subject)
	case saddleorder.ActionVersion:
		e.holding.Version = fireflysaddle.Version(o.Subject)
	case saddleorder.ActionRole:
		e.holding.Role = o.Subject
	case saddleorder.ActionAdapter:
		e.holding.Adapters = append(e.holding.Adapters, o.Subject)
	case saddleorder.ActionUnload:
		e.holding.Adapters = slices.DeleteFunc(e.holding.Adapters, func(a string) bool { return a == o.Subject })
	}
}

func TestOrdersConvergeOneAtATimeAndThenStop(t *testing.T) {
	is := is.New(t)
	e := &engine{holding: saddleorder.Holding{Group: "old", Version: "1", Adapters: []string{"dutch"}}}
	var r saddleorder.Reconciler
	now := start
	for range 20 {
		order, due, err := r.Next(now, fence, wanted, e.holding)
		is.NoErr(err)
		if due {
			e.carryOut(order)
		}
		now = now.Add(100 * time.Millisecond)
	}
	is.Equal(e.holding.Group, wanted.Group)
	is.Equal(e.holding.Version, wanted.Version)
	is.Equal(e.holding.Role, wanted.Role)
	is.Equal(len(e.orders), 5) // model, version, role, one adapter in, one out
	for _, o := range e.orders {
		is.Equal(o.Fence, fence)
	}
}

func TestASlowLoadIsOrderedOnceUntilItsTimeHasPassed(t *testing.T) {
	is := is.New(t)
	actual := saddleorder.Holding{Group: "mastori", Version: "1"}
	target := saddleorder.Holding{Group: "mastori", Version: "2"}
	var r saddleorder.Reconciler
	given := 0
	for i := range 19 { // 1.9 s of looks
		_, due, err := r.Next(start.Add(time.Duration(i)*100*time.Millisecond), fence, target, actual)
		is.NoErr(err)
		if due {
			given++
		}
	}
	is.Equal(given, 1) // one order, however often the engine is looked at
	_, due, err := r.Next(start.Add(3*time.Second), fence, target, actual)
	is.NoErr(err)
	is.True(due) // a lost order is given again
}

func TestAnOrderWithAnOldFenceIsRefusedForEnginesThatIgnoreFences(t *testing.T) {
	cases := []struct {
		name string
		old  fireflysaddle.Fence
	}{
		{"earlier revision of the same term", fireflysaddle.Fence{Term: 3, Sequence: 6}},
		{"earlier term with a later revision", fireflysaddle.Fence{Term: 2, Sequence: 9}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var r saddleorder.Reconciler
			_, due, err := r.Next(start, fence, wanted, saddleorder.Holding{})
			is.NoErr(err)
			is.True(due)
			_, due, err = r.Next(start.Add(time.Hour), c.old, saddleorder.Holding{Group: "stale"}, saddleorder.Holding{})
			var refused *saddleorder.FenceError
			is.True(errors.As(err, &refused))
			is.True(!due) // the engine is not given the old order
		})
	}
}
