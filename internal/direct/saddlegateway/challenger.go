package saddlegateway

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"github.com/fireflysaddle/fireflysaddle"
)

// challenger is an attempt that is to replace another one, which goes on until the challenger
// is accepted.
type challenger struct {
	watchdog *watchdog
	next     *nextAttempt
	forward  fireflysaddle.Forward
	cause    error         // why the other attempt is to be replaced
	delay    time.Duration // how late the check was that found the cause
	done     chan struct{} // closed once the challenger is accepted or has failed
}

// mayChallenge reports whether another attempt may follow and none has been sent. It must be
// called with chainMu held.
func (w *watchdog) mayChallenge() bool {
	return w.mayRetry && w.challenger == nil && w.runs == 0 && w.sends < w.sendsLeft
}

// challenge sends the call to a chain without the engine at an address, while the present
// attempt goes on. Once a target there begins to answer, the present attempt is aborted, and
// the other one continues the stream. It must be called with chainMu held.
func (w *watchdog) challenge(now time.Time, delay time.Duration, without string, cause error) {
	if !w.mayChallenge() || (!w.answerBegun && !w.hasEvent.Load() && w.job.outlastsProcess(now)) {
		return
	}
	out := w.exclusions
	out.engines = maps.Clone(out.engines)
	if out.engines == nil {
		out.engines = map[string]time.Time{}
	}
	out.engines[without] = now.Add(avoidFailedFor)
	next, ok := w.job.secureNextAttempt(w.ctx, now, out)
	if !ok {
		return
	}
	w.job.retryPrepaid.Store(false) // this attempt uses it
	w.sends++
	c := &challenger{watchdog: w, next: next, forward: w.forward, cause: cause, delay: delay, done: make(chan struct{})}
	head := next.chain.Head
	c.forward.Target, c.forward.Address, c.forward.Chain, c.forward.NewConn = head.ID, head.Address, next.chain.Parts, true
	c.forward.Budget = w.job.deadline.Sub(now)
	if id := w.deliveredID.Load(); id != nil {
		c.forward.LastEventID = *id
	}
	next.accepted = &acceptedAttempt{sentAt: now}
	next.accepted.ctx, next.accepted.cancel = context.WithCancelCause(w.parent)
	w.challenger = c
	go c.run()
}

// run waits until the challenger is accepted or has failed.
func (c *challenger) run() {
	w, a := c.watchdog, c.next.accepted
	defer close(c.done)
	reply, err := w.job.cfg.Forwarder.Forward(a.ctx, c.forward)
	w.job.recordNotice(time.Now(), a.sentAt, c.next.chain.Head, reply, err)
	w.chainMu.Lock()
	defer w.chainMu.Unlock()
	w.challenger = nil
	if err == nil && !reply.NotRun && reply.Status == http.StatusOK && a.ctx.Err() == nil {
		a.reply = reply
		w.runs++
		w.job.next.Store(c.next)
		if !w.stopped {
			w.abort(w.chain.Load().Head.Address, c.delay, c.cause)
		}
		return
	}
	if reply != nil {
		_ = reply.Body.Close()
	}
	a.cancel(nil)
	c.next.release()
	c.recordFailure(time.Now(), reply, err)
}

// recordFailure records that the challenger does not continue the stream. It must be called
// with chainMu held.
func (c *challenger) recordFailure(now time.Time, reply *fireflysaddle.Reply, err error) {
	w, failed := c.watchdog, c.next.chain.Head.Address
	var notSent *fireflysaddle.NotSentError
	notRun := reply != nil && reply.NotRun
	switch {
	case notRun:
		if reply.FaultyEngine != "" {
			failed = reply.FaultyEngine
		}
		w.job.cfg.Fleet.RecordRefusal(now, failed)
	case !errors.As(err, &notSent):
		w.runs++
	}
	if w.exclusions.engines == nil {
		w.exclusions.engines = map[string]time.Time{}
	}
	w.exclusions.engines[failed] = now.Add(avoidFullFor)
	w.exclusions.targets = append(w.exclusions.targets, c.next.chain.Head.ID)
	w.job.logEvent(zerolog.InfoLevel).AnErr("error", err).Str("engine", failed).Bool("not_run", notRun).
		Msg("another attempt was not accepted: the present one goes on")
}
