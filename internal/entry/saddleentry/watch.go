package saddleentry

import (
	"context"
	"errors"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
)

// errSilent says that an agent sent nothing, not even a heartbeat, for the
// whole silence time.
var errSilent = errors.New("the agent fell silent")

// watch ends a call when the other side falls silent.
type watch struct {
	ctx     context.Context
	timer   *time.Timer
	silence time.Duration
}

// newWatch returns a watch and its clean-up, which ends its context.
func newWatch(ctx context.Context, silence time.Duration) (*watch, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	w := &watch{ctx: ctx, silence: silence}
	w.timer = time.AfterFunc(silence, func() { cancel(errSilent) })
	return w, func() {
		w.timer.Stop()
		cancel(nil)
	}
}

// heard notes that the other side sent something.
func (w *watch) heard() { w.timer.Reset(w.silence) }

// cause returns why a call ended: silence, the deadline, or the given error. A
// proof that nothing was sent goes before.
func (w *watch) cause(err error) error {
	var unsent *fireflysaddle.NotSentError
	if errors.As(err, &unsent) {
		return err
	}
	if cause := context.Cause(w.ctx); cause != nil {
		return cause
	}
	return err
}
