package saddleentry

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
)

const (
	// refusalMargin is the time before the shutdown timeout at which the requests that are still
	// in progress are given up, so that their callers get a failure.
	refusalMargin = 300 * time.Millisecond
	// resolveMargin is the time before the shutdown timeout at which the entry stops to wait for
	// the outcome of a request that it gave up.
	resolveMargin = 100 * time.Millisecond
	// leavingRetryAfter is the Retry-After of requests that another entry can serve.
	leavingRetryAfter = 20 * time.Millisecond
)

// errEnding reports that a request was given up because the shutdown timeout is near.
var errEnding = errors.New("the entry is about to end")

// shutdownEnd holds the contexts that end shortly before the shutdown timeout.
type shutdownEnd struct {
	requests context.Context //nolint:containedctx // ends refusalMargin before the shutdown timeout
	outcomes context.Context //nolint:containedctx // ends resolveMargin before the shutdown timeout

	cancelRequests context.CancelFunc
	cancelOutcomes context.CancelFunc

	at atomic.Pointer[time.Time] // when outcomes ends; nil before the shutdown, or without a timeout
}

func newShutdownEnd() *shutdownEnd {
	e := &shutdownEnd{}
	e.requests, e.cancelRequests = context.WithCancel(context.Background())
	e.outcomes, e.cancelOutcomes = context.WithCancel(context.Background())
	return e
}

// schedule ends the contexts before the shutdown timeout, which is left after now. The returned
// function stops the timers.
func (e *shutdownEnd) schedule(now time.Time, left time.Duration) (stop func()) {
	at := now.Add(left - resolveMargin)
	e.at.Store(&at)
	requests := time.AfterFunc(left-refusalMargin, e.cancelRequests)
	outcomes := time.AfterFunc(left-resolveMargin, e.cancelOutcomes)
	return func() {
		requests.Stop()
		outcomes.Stop()
	}
}

// requestContext returns a context for the work on a request. It ends at the deadline, or with
// the cause errEnding shortly before the shutdown timeout.
func (e *shutdownEnd) requestContext(ctx context.Context, deadline time.Time) (context.Context, func()) {
	ctx, cancelDeadline := context.WithDeadline(ctx, deadline)
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(e.requests, func() { cancel(errEnding) })
	return ctx, func() {
		stop()
		cancel(nil)
		cancelDeadline()
	}
}

// outcomeContext returns a context that outlives ctx, for finding out or recording the outcome of
// a request.
func (e *shutdownEnd) outcomeContext(ctx context.Context, timeout time.Duration) (context.Context, func()) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout)
	stop := context.AfterFunc(e.outcomes, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// limit returns the deadline of an attempt for a request with the given deadline. It is later than
// the end of the request's context, so that an agent never gives up first.
func (e *shutdownEnd) limit(deadline time.Time) time.Time {
	if at := e.at.Load(); at != nil && at.Before(deadline) {
		return *at
	}
	return deadline
}

// refusedForShutdown reports whether an attempt was refused because the entry ends before it would.
func (e *shutdownEnd) refusedForShutdown(deadline time.Time, err error) bool {
	var refused *fireflysaddle.RefusedError
	return errors.As(err, &refused) && refused.Code == fireflysaddle.CodeDeadline && e.limit(deadline).Before(deadline)
}

// endingFailure returns the failure of a request that was given up because of the shutdown.
func endingFailure(status fireflysaddle.ExecutionStatus) *failure {
	return &failure{Code: fireflysaddle.CodeLeaving, Message: errEnding.Error(), ExecutionStatus: status, RetryAfter: leavingRetryAfter}
}
