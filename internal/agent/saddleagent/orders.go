package saddleagent

import (
	"context"
	"errors"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/agent/saddleorder"
	"github.com/fireflysaddle/fireflysaddle/internal/trace/saddletimeline"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// orderTimeout bounds the request that sends one order. It does not bound the
// execution: an engine accepts an order first and executes it afterwards.
const orderTimeout = 5 * time.Second

// reconcileOrders compares the engine's desired state with its announced state at
// every heartbeat interval and sends the order that is due. At most one order is
// in progress, however many requests wait for its effect. No order is sent from a
// view that no control majority has confirmed, because such a view may be outdated
// and an engine that does not check fences would execute an outdated order.
func (s *Server) reconcileOrders(ctx context.Context) error {
	tick := time.NewTicker(s.cfg.HeartbeatInterval)
	defer tick.Stop()
	var r saddleorder.Reconciler
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		s.reconcileOnce(ctx, &r)
	}
}

// reconcileOnce sends the order that is due, if any. An order that makes the
// engine fetch weights is sent only after the control leader has permitted the load.
func (s *Server) reconcileOnce(ctx context.Context, r *saddleorder.Reconciler) {
	s.needsLoad.Store(false)
	b, _ := s.localTarget.live()
	if b == nil || b.engine == nil {
		return
	}
	view := s.control.View()
	p, ok := view.Placements[string(b.id())]
	if !ok || !view.Confirmed {
		return
	}
	needsLoad := saddleorder.NeedsLoad(desiredState(p), s.actualState(b))
	s.needsLoad.Store(needsLoad)
	if needsLoad && !view.MayLoad {
		return
	}
	s.sendDueOrder(ctx, r, b, p)
}

func (s *Server) sendDueOrder(ctx context.Context, r *saddleorder.Reconciler, b *backend, p *saddlewire.Placement) {
	now := time.Now()
	order, due, err := r.Next(now, fenceOf(p), desiredState(p), s.actualState(b))
	var staleFence *saddleorder.StaleFenceError
	if errors.As(err, &staleFence) {
		countStaleFences.Add(1)
	}
	if !due {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	countOrders.Add(1)
	err = b.engine.Order(ctx, order)
	e := saddletimeline.Event{
		Name: "order_" + order.Action, Target: p.GetTarget(), Subject: order.Subject,
		Revision: p.GetIndex(), Term: p.GetTerm(), Detail: "accepted",
	}
	if err != nil {
		e.Detail = "not accepted"
	}
	s.cfg.Timeline.Add(now, e)
}

func fenceOf(p *saddlewire.Placement) fireflysaddle.Fence {
	return fireflysaddle.Fence{Term: fireflysaddle.Term(p.GetTerm()), Sequence: fireflysaddle.Sequence(p.GetIndex())}
}

func desiredState(p *saddlewire.Placement) saddleorder.EngineState {
	return saddleorder.EngineState{
		Group:    fireflysaddle.Group(p.GetGroup()),
		Version:  fireflysaddle.Version(p.GetVersion()),
		Role:     p.GetRole(),
		Adapters: p.GetAdapters(),
	}
}

func (s *Server) actualState(b *backend) saddleorder.EngineState {
	return saddleorder.EngineState{
		Group:           fireflysaddle.Group(b.target.GetGroup()),
		Version:         fireflysaddle.Version(b.target.GetVersion()),
		Role:            b.target.GetRole(),
		Adapters:        b.target.GetAdapters(),
		OrderInProgress: s.localTarget.orderInProgress(),
	}
}
