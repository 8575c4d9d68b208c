package saddleagent

import (
	"context"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/agent/saddlegate"
	"github.com/fireflysaddle/fireflysaddle/internal/agent/saddlequeue"
	"github.com/fireflysaddle/fireflysaddle/internal/target/saddleannounce"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// backend is one incarnation of the announced target. But for its loss it is
// immutable.
type backend struct {
	announced saddleannounce.Announcement
	info      *saddlewire.Target
	engine    fireflysaddle.Engine  // engines only
	service   fireflysaddle.Service // services only
	gate      *saddlegate.Gate
	close     func()
	loss      *lossSignal
}

func newBackend(a saddleannounce.Announcement, queueWait time.Duration, targets Adapters) *backend {
	b := &backend{
		announced: a,
		info:      a.Target(),
		loss:      newLossSignal(),
		gate:      saddlegate.New(saddlequeue.New(int(a.Slots), queueWait, a.Rate)),
	}
	id := fireflysaddle.TargetID(a.ID)
	if fireflysaddle.TargetKind(a.Kind) == fireflysaddle.KindEngine {
		b.engine, b.close = targets.Engine(id, a.Address)
	} else {
		b.service, b.close = targets.Service(id, a.Address)
	}
	return b
}

func (b *backend) id() fireflysaddle.TargetID {
	return fireflysaddle.TargetID(b.announced.ID)
}

func (b *backend) alive(ctx context.Context) error {
	if b.engine != nil {
		return b.engine.Alive(ctx)
	}
	return b.service.Alive(ctx)
}
