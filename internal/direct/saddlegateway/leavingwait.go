package saddlegateway

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
)

// errLeaving ends the wait of calls that are not sent any more because a shutdown has begun.
var errLeaving = fmt.Errorf("the process is shutting down: %w", context.Canceled)

// waitUntilShutdown returns a context in which a call whose answer has not begun waits before it is
// sent, and a function that releases its resources. It ends when a shutdown begins that the call may
// outlast, because other entries serve the call then.
func (j *job) waitUntilShutdown(ctx context.Context) (context.Context, func()) {
	if j.headerSent {
		return ctx, func() {}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	leave := func() {
		if j.mayBeCut(time.Now()) {
			cancel(errLeaving)
		}
	}
	if j.leaving.Err() != nil {
		leave()
	}
	stop := context.AfterFunc(j.leaving, leave)
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// refuseWaiting returns a refusal if a wait in the context of waitUntilShutdown has ended because
// of a shutdown.
func (j *job) refuseWaiting(ctx context.Context) *Refusal {
	if !errors.Is(context.Cause(ctx), errLeaving) {
		return nil
	}
	return &Refusal{Code: fireflysaddle.CodeLeaving, Message: leavingMessage, RetryAfter: j.leavingRetryAfter(time.Now())}
}
