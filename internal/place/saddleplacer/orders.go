package saddleplacer

import (
	"context"
	"errors"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlerouting"
	"github.com/fireflysaddle/fireflysaddle/internal/place/saddleplan"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// give orders an engine to hold layers.
func (p *Placer) give(ctx context.Context, now time.Time, wg *sync.WaitGroup, model *saddlerouting.Model, reg *saddlewire.Registration, layers saddleplan.Range) {
	p.fence++
	fence := p.term*fenceTerm + p.fence
	loading := model.LoadTime * time.Duration(layers.Len()) / time.Duration(model.Layers)
	o := order{incarnation: reg.GetIncarnation(), layers: layers, given: now, until: now.Add(2*loading + orderSlack)}
	p.orders[fireflysaddle.TargetID(reg.GetId())] = o
	p.cfg.Log.Info().Str("target", reg.GetId()).Str("address", reg.GetAddress()).Int("from", layers.From).Int("to", layers.To).
		Uint64("fence", fence).Uint64("target_incarnation", reg.GetIncarnation()).Str("centre", reg.GetCentre()).
		Str("accelerator", reg.GetAccelerator()).Msg("engine ordered to hold layers")
	countOrders.Add(1)
	wg.Go(func() {
		err := p.send(ctx, reg.GetAddress(), fireflysaddle.PlaceOrder{From: layers.From, To: layers.To, Fence: fence})
		if err == nil {
			defer p.watch(ctx, loading, reg, layers)
		}
		select {
		case p.done <- outcome{id: fireflysaddle.TargetID(reg.GetId()), order: o, err: err}:
		case <-ctx.Done():
		}
	})
}

// watch looks at an engine until it holds what it was ordered to hold, and has that
// known at once: its next heartbeat may be a second away.
func (p *Placer) watch(ctx context.Context, loading time.Duration, reg *saddlewire.Registration, layers saddleplan.Range) {
	if !wait(ctx, loading) {
		return
	}
	for range watchMost {
		if !wait(ctx, watchEvery) {
			return
		}
		callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
		report, err := p.cfg.Orders.Report(callCtx, reg.GetAddress())
		cancel()
		if err != nil {
			p.cfg.Log.Warn().Err(err).Str("target", reg.GetId()).Msg("engine that loads does not report")
			return
		}
		for _, h := range report.Holdings {
			if h.From == layers.From && h.To == layers.To {
				p.learnt(ctx, reg, layers)
				return
			}
		}
	}
}

func (p *Placer) learnt(ctx context.Context, reg *saddlewire.Registration, layers saddleplan.Range) {
	now := p.cfg.View().Registrations[reg.GetId()]
	if now.GetIncarnation() != reg.GetIncarnation() {
		return
	}
	next, _ := proto.Clone(now).(*saddlewire.Registration)
	next.Layers = []*saddlewire.HeldLayers{{From: uint32(layers.From), To: uint32(layers.To)}}
	next.Looked = now.GetLooked() + 1
	p.cfg.Log.Info().Str("target", reg.GetId()).Int("from", layers.From).Int("to", layers.To).Msg("engine holds its layers")
	p.cfg.OnLoaded(ctx, next)
}

func wait(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// send gives an order to an engine that has been given none; where it has been,
// it asks how many and gives it again.
func (p *Placer) send(ctx context.Context, address string, o fireflysaddle.PlaceOrder) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	_, err := p.cfg.Orders.Place(ctx, address, o)
	var refused *fireflysaddle.OrderError
	if !errors.As(err, &refused) || refused.Status != fireflysaddle.OrderStale {
		return err
	}
	report, err := p.cfg.Orders.Report(ctx, address)
	if err != nil {
		return err
	}
	o.ExpectedOrders = report.Orders
	_, err = p.cfg.Orders.Place(ctx, address, o)
	return err
}

// note takes in the answer to an order. One that was refused is dropped, so that
// the next look plans anew; one without an answer may still be carried out.
func (p *Placer) note(now time.Time, o outcome) {
	e := p.cfg.Log.Info()
	if o.err != nil {
		e = p.cfg.Log.Warn().Err(o.err)
	}
	e.Str("target", string(o.id)).Int("from", o.order.layers.From).Int("to", o.order.layers.To).Msg("engine answered its order")
	var refused *fireflysaddle.OrderError
	if errors.As(o.err, &refused) && p.orders[o.id].given.Equal(o.order.given) {
		delete(p.orders, o.id)
		p.refused[o.id] = now.Add(refusedFor)
	}
}
