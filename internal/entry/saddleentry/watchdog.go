package saddleentry

import (
	"context"
	"errors"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
)

// errAgentSilent reports that an agent sent nothing, not even a heartbeat, within
// the silence timeout.
var errAgentSilent = errors.New("no event from the agent within the silence timeout")

// watchdog cancels an attempt when its agent sends nothing for the silence timeout.
type watchdog struct {
	ctx     context.Context
	timer   *time.Timer
	timeout time.Duration
}

// newWatchdog returns a watchdog and a function that stops it and cancels its
// context.
func newWatchdog(ctx context.Context, timeout time.Duration) (*watchdog, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	w := &watchdog{ctx: ctx, timeout: timeout}
	w.timer = time.AfterFunc(timeout, func() { cancel(errAgentSilent) })
	return w, func() {
		w.timer.Stop()
		cancel(nil)
	}
}

// reset restarts the timer; it is called for each event from the agent.
func (w *watchdog) reset() { w.timer.Reset(w.timeout) }

// cause returns why an attempt ended: the silence timeout, the deadline, or err. A
// NotSentError takes precedence, because it proves that the request was not sent.
func (w *watchdog) cause(err error) error {
	var unsent *fireflysaddle.NotSentError
	if errors.As(err, &unsent) {
		return err
	}
	if cause := context.Cause(w.ctx); cause != nil {
		return cause
	}
	return err
}
