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

// sendOrder orders an engine to hold layers, without waiting for the answer. The result
// is sent to p.results. holders is the number of engines that hold each of the layers
// already, and is logged.
func (p *Placer) sendOrder(ctx context.Context, now time.Time, wg *sync.WaitGroup, model *saddlerouting.Model, reg *saddlewire.Registration, layers saddleplan.Range, holders int) {
	p.ordersInTerm++
	fence := p.term*fenceTermFactor + p.ordersInTerm
	loadTime := model.LoadTime * time.Duration(layers.Len()) / time.Duration(model.Layers)
	o := order{incarnation: reg.GetIncarnation(), layers: layers, sentAt: now, expiresAt: now.Add(2*loadTime + orderGrace)}
	p.orders[fireflysaddle.TargetID(reg.GetId())] = o
	p.cfg.Log.Info().Str("target", reg.GetId()).Str("address", reg.GetAddress()).Int("from", layers.From).Int("to", layers.To).
		Uint64("fence", fence).Uint64("target_incarnation", reg.GetIncarnation()).Str("centre", reg.GetCentre()).
		Str("accelerator", reg.GetAccelerator()).Int("holders", holders).Msg("engine ordered to hold layers")
	countOrders.Add(1)
	wg.Go(func() {
		p.registerReleased(ctx, reg, layers)
		err := p.placeWithRetry(ctx, reg.GetAddress(), fireflysaddle.PlaceOrder{From: layers.From, To: layers.To, Fence: fence})
		if err == nil {
			defer p.awaitLoaded(ctx, loadTime, reg, layers)
		}
		select {
		case p.results <- orderResult{id: fireflysaddle.TargetID(reg.GetId()), order: o, err: err}:
		case <-ctx.Done():
		}
	})
}

// awaitLoaded polls an engine until it holds the layers that it was ordered to hold. It
// then passes the layers to OnLayers immediately, because the engine's next heartbeat may
// be a second away. It gives up after a failed poll or maxLoadPolls polls.
func (p *Placer) awaitLoaded(ctx context.Context, loadTime time.Duration, reg *saddlewire.Registration, layers saddleplan.Range) {
	if !sleep(ctx, loadTime) {
		return
	}
	for range maxLoadPolls {
		if !sleep(ctx, loadPollInterval) {
			return
		}
		callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
		countProbe(probeLoading)
		report, err := p.cfg.Orders.Report(callCtx, reg.GetAddress())
		cancel()
		if err != nil {
			p.cfg.Log.Warn().Err(err).Str("target", reg.GetId()).Msg("engine did not report its state while loading layers")
			return
		}
		for _, h := range report.Holdings {
			if h.From == layers.From && h.To == layers.To {
				p.reportLoaded(ctx, reg, layers)
				return
			}
		}
	}
}

// reportLoaded passes the registration of an engine with its new layers to OnLayers,
// unless the engine has restarted since the order.
func (p *Placer) reportLoaded(ctx context.Context, reg *saddlewire.Registration, layers saddleplan.Range) {
	current := p.cfg.View().Registrations[reg.GetId()]
	if current.GetIncarnation() != reg.GetIncarnation() {
		return
	}
	p.cfg.Log.Info().Str("target", reg.GetId()).Int("from", layers.From).Int("to", layers.To).Msg("engine holds the ordered layers")
	p.cfg.OnLayers(ctx, withLayers(current, layers))
}

// registerReleased passes the registration of an engine without the layers that an order
// makes it release to OnLayers, so that no further requests are sent through these.
func (p *Placer) registerReleased(ctx context.Context, reg *saddlewire.Registration, ordered saddleplan.Range) {
	held := registeredLayers(reg)
	if held.Len() == 0 || (ordered.From <= held.From && ordered.To >= held.To) {
		return
	}
	kept := saddleplan.Range{From: max(held.From, ordered.From), To: min(held.To, ordered.To)}
	p.cfg.Log.Info().Str("target", reg.GetId()).Int("from", held.From).Int("to", held.To).Msg("engine releases layers that others hold")
	p.cfg.OnLayers(ctx, withLayers(reg, kept))
}

// withLayers returns a registration with other layers, none if the range is empty.
func withLayers(reg *saddlewire.Registration, layers saddleplan.Range) *saddlewire.Registration {
	out, _ := proto.Clone(reg).(*saddlewire.Registration)
	out.Layers = nil
	if layers.Len() > 0 {
		out.Layers = []*saddlewire.HeldLayers{{From: uint32(layers.From), To: uint32(layers.To)}}
	}
	out.Looked = reg.GetLooked() + 1
	return out
}

// sleep waits for d or until the context ends. It returns false if the context ended
// first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// placeWithRetry sends an order with an expected order count of 0. If the engine refuses
// the order as stale, placeWithRetry queries the engine's order count and sends the order
// once more with that count.
func (p *Placer) placeWithRetry(ctx context.Context, address string, o fireflysaddle.PlaceOrder) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	_, err := p.cfg.Orders.Place(ctx, address, o)
	var refused *fireflysaddle.OrderError
	if !errors.As(err, &refused) || refused.Status != fireflysaddle.OrderStale {
		return err
	}
	countProbe(probeRevision)
	report, err := p.cfg.Orders.Report(ctx, address)
	if err != nil {
		return err
	}
	o.ExpectedOrders = report.Orders
	_, err = p.cfg.Orders.Place(ctx, address, o)
	return err
}

// recordOrderResult handles the result of an order. A refused order is dropped, so that the
// layers are planned again after refusalBackoff. An order without an answer is retained
// until it expires, because the engine may still carry it out.
func (p *Placer) recordOrderResult(now time.Time, o orderResult) {
	e := p.cfg.Log.Info()
	if o.err != nil {
		e = p.cfg.Log.Warn().Err(o.err)
	}
	e.Str("target", string(o.id)).Int("from", o.order.layers.From).Int("to", o.order.layers.To).Msg("order call to engine ended")
	var refused *fireflysaddle.OrderError
	if errors.As(o.err, &refused) && p.orders[o.id].sentAt.Equal(o.order.sentAt) {
		delete(p.orders, o.id)
		p.refusedUntil[o.id] = now.Add(refusalBackoff)
	}
}
