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

// backend is one incarnation of the announced target. Its fields do not change
// after its creation; gate and loss guard their own state.
type backend struct {
	announcement saddleannounce.Announcement
	target       *saddlewire.Target
	engine       fireflysaddle.Engine  // engines only
	service      fireflysaddle.Service // services only
	gate         *saddlegate.Gate
	close        func() // releases the adapter's resources
	loss         *lossSignal
}

func newBackend(a saddleannounce.Announcement, maxQueueWait time.Duration, adapters Adapters) *backend {
	b := &backend{
		announcement: a,
		target:       a.Target(),
		loss:         newLossSignal(),
		gate:         saddlegate.New(saddlequeue.New(int(a.Slots), maxQueueWait, a.Rate)),
	}
	id := fireflysaddle.TargetID(a.ID)
	if fireflysaddle.TargetKind(a.Kind) == fireflysaddle.KindEngine {
		b.engine, b.close = adapters.Engine(id, a.Address)
	} else {
		b.service, b.close = adapters.Service(id, a.Address)
	}
	return b
}

func (b *backend) id() fireflysaddle.TargetID {
	return fireflysaddle.TargetID(b.announcement.ID)
}

func (b *backend) alive(ctx context.Context) error {
	if b.engine != nil {
		return b.engine.Alive(ctx)
	}
	return b.service.Alive(ctx)
}
