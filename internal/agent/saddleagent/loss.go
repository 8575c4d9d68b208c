package saddleagent

import (
	"context"
	"errors"
	"sync"
)

// errTargetSilent says that the target stopped answering while a request ran.
var errTargetSilent = errors.New("the target no longer answers")

// lossSignal ends the drafts of a target that is taken for lost: a target that
// is frozen keeps its connections open, and its drafts can go on elsewhere. It
// is safe for concurrent use.
type lossSignal struct {
	mu   sync.Mutex
	lost chan struct{} // closed while the target is lost
}

func newLossSignal() *lossSignal {
	return &lossSignal{lost: make(chan struct{})}
}

// setAlive notes whether the target is there.
func (b *backend) setAlive(alive bool) {
	b.loss.mu.Lock()
	defer b.loss.mu.Unlock()
	select {
	case <-b.loss.lost:
		if alive {
			b.loss.lost = make(chan struct{})
		}
	default:
		if !alive {
			close(b.loss.lost)
		}
	}
}

// whileAlive returns a context that ends with errTargetSilent when the target
// is lost, and its clean-up.
func (b *backend) whileAlive(ctx context.Context) (context.Context, func()) {
	b.loss.mu.Lock()
	lost := b.loss.lost
	b.loss.mu.Unlock()
	ctx, cancel := context.WithCancelCause(ctx)
	go func() {
		select {
		case <-lost:
			cancel(errTargetSilent)
		case <-ctx.Done():
		}
	}()
	return ctx, func() { cancel(nil) }
}
