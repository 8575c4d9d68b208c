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

// orderTimeout bounds the sending of one order; engines accept an order and
// carry it out afterwards.
const orderTimeout = 5 * time.Second

// giveOrders compares what the engine is wanted to hold with what it announced,
// again and again, and gives it the order that is due. There is one order in
// flight, however many requests wait for what it brings. A view that no
// majority confirmed gives none: an engine that ignores fences could not refuse
// an old one.
func (s *Server) giveOrders(ctx context.Context) error {
	tick := time.NewTicker(s.cfg.HeartbeatInterval)
	defer tick.Stop()
	var r saddleorder.Reconciler
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		s.lookForOrder(ctx, &r)
	}
}

// lookForOrder gives the order that is due, if any. One that fetches weights
// waits until the leader lets the engine load.
func (s *Server) lookForOrder(ctx context.Context, r *saddleorder.Reconciler) {
	s.needsLoad.Store(false)
	b, _ := s.slot.current()
	if b == nil || b.engine == nil {
		return
	}
	view := s.attendant.View()
	p, ok := view.Placements[string(b.id())]
	if !ok || !view.Confirmed {
		return
	}
	needs := saddleorder.NeedsLoad(wantedOf(p), s.actual(b))
	s.needsLoad.Store(needs)
	if needs && !view.MayLoad {
		return
	}
	s.giveOrder(ctx, r, b, p)
}

func (s *Server) giveOrder(ctx context.Context, r *saddleorder.Reconciler, b *backend, p *saddlewire.Placement) {
	now := time.Now()
	order, due, err := r.Next(now, fenceOf(p), wantedOf(p), s.actual(b))
	var fence *saddleorder.FenceError
	if errors.As(err, &fence) {
		countOldFences.Add(1)
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

func wantedOf(p *saddlewire.Placement) saddleorder.Holding {
	return saddleorder.Holding{
		Group:    fireflysaddle.Group(p.GetGroup()),
		Version:  fireflysaddle.Version(p.GetVersion()),
		Role:     p.GetRole(),
		Adapters: p.GetAdapters(),
	}
}

func (s *Server) actual(b *backend) saddleorder.Holding {
	return saddleorder.Holding{
		Group:    fireflysaddle.Group(b.info.GetGroup()),
		Version:  fireflysaddle.Version(b.info.GetVersion()),
		Role:     b.info.GetRole(),
		Adapters: b.info.GetAdapters(),
		Loading:  s.slot.carriesOut(),
	}
}
