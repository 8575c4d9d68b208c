package saddleagent

import (
	"context"
	"errors"
	"sync"
)

// errTargetLost is the error of a request whose target stopped answering.
var errTargetLost = errors.New("the target stopped answering")

// lossSignal cancels the drafts of a lost target. It is needed because a target
// that hangs keeps its connections open, while its drafts can be resumed on
// another target. It is safe for concurrent use.
type lossSignal struct {
	mu   sync.Mutex
	lost chan struct{} // closed while the target is lost
}

func newLossSignal() *lossSignal {
	return &lossSignal{lost: make(chan struct{})}
}

// setAlive records whether the target is alive. A lost target's drafts are
// cancelled.
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

// cancelOnLoss returns a context that is cancelled with the cause errTargetLost
// when the target is lost, and a function that releases it.
func (b *backend) cancelOnLoss(ctx context.Context) (context.Context, func()) {
	b.loss.mu.Lock()
	lost := b.loss.lost
	b.loss.mu.Unlock()
	ctx, cancel := context.WithCancelCause(ctx)
	go func() {
		select {
		case <-lost:
			cancel(errTargetLost)
		case <-ctx.Done():
		}
	}()
	return ctx, func() { cancel(nil) }
}
