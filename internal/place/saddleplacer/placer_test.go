package saddleplacer_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/control/saddlecontrol"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlerouting"
	"github.com/fireflysaddle/fireflysaddle/internal/node/saddleview"
	"github.com/fireflysaddle/fireflysaddle/internal/place/saddleplacer"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// waitTimeout bounds the wait for a condition. It affects only tests that fail.
const waitTimeout = 30 * time.Second

var errUnreachable = errors.New("connection refused")

// engines simulates the engines of one data centre and the view of a replica.
type engines struct {
	mu              sync.Mutex
	builder         *saddleview.Builder
	view            *saddleview.View
	held            map[string]fireflysaddle.Holding
	orders          map[string][]fireflysaddle.PlaceOrder
	refuse          func(address string, received int) error // result of an order; received counts the orders to the engine
	stepTimeFactors map[string]float64
	leaving         string // address of an engine that says in its reports that it is leaving
	unreachable     string // address of an engine that does not answer
	state           saddlecontrol.EngineState
	term            atomic.Uint64
	models          []fireflysaddle.Group // in the configuration
}

func newEngines(count int) *engines {
	e := &engines{
		builder: saddleview.NewBuilder(), held: map[string]fireflysaddle.Holding{},
		orders: map[string][]fireflysaddle.PlaceOrder{}, stepTimeFactors: map[string]float64{},
		models: []fireflysaddle.Group{"drafts"},
	}
	for i := range count {
		e.register(fmt.Sprintf("e%d", i), 1)
	}
	e.term.Store(3)
	return e
}

func (e *engines) register(id string, incarnation uint64) {
	e.registerIn("drafts", id, incarnation)
}

func (e *engines) registerIn(group, id string, incarnation uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.builder.Update("control", &saddlewire.Update{Registrations: []*saddlewire.Registration{{
		Id: id, Address: id, Group: group, Centre: "a", Accelerator: "big", Incarnation: incarnation,
	}}})
	e.view = e.builder.Build()
}

func (e *engines) update(u *saddlewire.Update) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.builder.Update("control", u)
	e.view = e.builder.Build()
}

func (e *engines) View() *saddleview.View {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.view
}

func (e *engines) Place(_ context.Context, address string, o fireflysaddle.PlaceOrder) (bool, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders[address] = append(e.orders[address], o)
	if e.refuse != nil {
		if err := e.refuse(address, len(e.orders[address])); err != nil {
			return false, err
		}
	}
	e.held[address] = fireflysaddle.Holding{From: o.From, To: o.To}
	return false, nil
}

func (e *engines) Report(_ context.Context, address string) (fireflysaddle.EngineReport, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if address == e.unreachable {
		return fireflysaddle.EngineReport{}, errUnreachable
	}
	r := fireflysaddle.EngineReport{Orders: 7, StepTimeFactor: max(1, e.stepTimeFactors[address]), KVUsed: 40, Leaving: address == e.leaving}
	if h, ok := e.held[address]; ok {
		r.Holdings = append(r.Holdings, h)
	}
	return r, nil
}

// start runs a placer until the test ends. Its replica leads while e.term is not 0.
func (e *engines) start(t *testing.T) {
	t.Helper()
	p := saddleplacer.New(saddleplacer.Config{
		Orders: e, View: e.View, Term: e.term.Load, Log: zerolog.Nop(),
		Routing: func() *saddlerouting.Routing {
			routing := &saddlerouting.Routing{Version: 1, Pools: map[fireflysaddle.Group]*saddlerouting.Pool{}}
			for _, group := range e.models {
				routing.Pools[group] = &saddlerouting.Pool{Group: group, Model: &saddlerouting.Model{
					Layers: 4, LayerMB: 10, TokenBytes: 400, LoadTime: 10 * time.Millisecond, Step: time.Millisecond, PrefillTokensPerSecond: 1e6,
					Accelerators: map[fireflysaddle.Accelerator]saddlerouting.Accelerator{"big": {MemoryMB: 40, StepTimeFactor: 1, PrefillFactor: 1}},
				}}
			}
			return routing
		},
		OnLayers: func(_ context.Context, reg *saddlewire.Registration) {
			e.update(&saddlewire.Update{Registrations: []*saddlewire.Registration{reg}})
		},
		OnEngineState: func(_ context.Context, state saddlecontrol.EngineState) {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.state = state
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
}

// covered reports whether the registered engines of drafts hold every layer.
func (e *engines) covered() bool { return e.modelCovered("drafts") }

func (e *engines) modelCovered(group string) bool {
	var held [4]bool
	for _, reg := range e.View().Registrations {
		if reg.GetGroup() != group {
			continue
		}
		for _, l := range reg.GetLayers() {
			for i := l.GetFrom(); i < l.GetTo(); i++ {
				held[i] = true
			}
		}
	}
	return held == [4]bool{true, true, true, true}
}

func await(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for until := time.Now().Add(waitTimeout); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(until) {
			t.Fatalf("waited %s for %s", waitTimeout, what)
		}
	}
}

// The placer must have the engines load all layers of the model and must report the loaded
// layers itself, because the simulated engines send no heartbeats with these layers.
func TestModelIsPlacedAndReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngines(3)
		e.start(t)
		await(t, "the model to be held", e.covered)
	})
}

func TestOnlyTheLeaderSendsOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := newEngines(3)
		e.term.Store(0)
		e.start(t)
		time.Sleep(2 * time.Second)
		e.mu.Lock()
		is.Equal(len(e.orders), 0)
		e.mu.Unlock()
		e.term.Store(5)
		await(t, "the model to be held", e.covered)
	})
}

// Each order has its own fencing token, and the tokens of a term are larger than those
// of the terms before it.
func TestFencingTokensAreUniqueWithinATerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := newEngines(3)
		e.start(t)
		await(t, "the model to be held", e.covered)
		seen := map[uint64]bool{}
		e.mu.Lock()
		defer e.mu.Unlock()
		for _, list := range e.orders {
			for _, o := range list {
				is.True(o.Fence > 3<<20 && o.Fence < 4<<20)
				is.True(!seen[o.Fence])
				seen[o.Fence] = true
			}
		}
	})
}

// An engine that has received more orders than the placer expects refuses an order as
// stale. The placer must query the engine's order count and send the order again with
// that count.
func TestStaleOrderCountIsQueried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := newEngines(2)
		e.refuse = func(address string, received int) error {
			if received == 1 {
				return &fireflysaddle.OrderError{Address: address, Status: fireflysaddle.OrderStale}
			}
			return nil
		}
		e.start(t)
		await(t, "a second order", func() bool {
			e.mu.Lock()
			defer e.mu.Unlock()
			return len(e.orders["e0"]) >= 2
		})
		e.mu.Lock()
		defer e.mu.Unlock()
		is.Equal(e.orders["e0"][0].ExpectedOrders, uint64(0))
		is.Equal(e.orders["e0"][1].ExpectedOrders, uint64(7))
	})
}

// An order without an answer may still be carried out. Until it expires, its layers
// must not be ordered again.
func TestUnansweredOrderIsNotRepeatedBeforeItExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := newEngines(2)
		e.refuse = func(string, int) error { return errors.New("no answer") }
		e.start(t)
		await(t, "an order", func() bool {
			e.mu.Lock()
			defer e.mu.Unlock()
			return len(e.orders["e0"]) >= 1
		})
		time.Sleep(time.Second)
		e.mu.Lock()
		defer e.mu.Unlock()
		is.Equal(len(e.orders["e0"]), 1)
	})
}

// An engine counts as lost when two entries suspect it. One is not enough.
// Guards against the layers of an engine that says in its answers that it is leaving being
// without a successor until its registration says so too.
// Engines are probed for their step time factor while entries report slow drafts in
// their data centre. The engine that holds the first layer is also probed for its KV cache
// occupancy.
func TestSlowEnginesAreReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngines(3)
		e.stepTimeFactors["e1"], e.stepTimeFactors["e0"] = 12, 12
		e.start(t)
		await(t, "the model to be held", e.covered)
		e.update(&saddlewire.Update{Members: []*saddlewire.Member{{Node: "entry-1", Role: "entry", Slow: []string{"a"}}}})
		await(t, "a slow engine and the occupancy to be reported", func() bool {
			e.mu.Lock()
			defer e.mu.Unlock()
			return len(e.state.StepTimeFactors) > 0 && len(e.state.OccupiedTokens) == 1 && e.state.OccupiedTokens[0].GetTokens() > 0
		})
	})
}

// holderOfFirstLayer returns an engine that holds the first layer.
// Pattern: the links of a data centre lose packets, and entries elsewhere cannot probe its
// engines in time, while its own entries can.
// Guards against empty engines being spent on layers of engines that serve their data centre.
// Pattern: the control replicas are cut in two, and targets report to the side without the
// leader.
// Guards against empty engines being spent on layers of engines that run and serve.
// orderedEngines returns the number of engines that were sent an order.
// Guards against requests that are sent through layers which their engine is releasing.
// hold makes an engine hold and register layers.
// Pattern: the leader is lost, and an engine right after it.
// Guards against layers staying without a holder because the new leader does not use what it
// has learned as a follower.
// A replica that has just started may know engines by saved registrations that are no longer
// true.
