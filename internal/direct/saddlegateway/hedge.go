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

// hedge is an attempt that runs beside the present one and replaces it once it is accepted.
type hedge struct {
	watchdog *watchdog
	next     *nextAttempt
	forward  fireflysaddle.Forward
	cause    error         // why the present attempt is to be replaced
	delay    time.Duration // how late the check was that found the cause
	done     chan struct{} // closed once the hedge is accepted or has failed
}

// mayHedge reports whether another attempt may follow, and no hedge is in progress or may have
// run. It must be called with chainMu held.
func (w *watchdog) mayHedge() bool {
	return w.mayRetry && w.hedge == nil && w.runs == 0 && w.sends < w.sendsLeft
}

// startHedge sends the call to a chain without the engine at an address, while the present
// attempt continues. Once a target there begins to answer, the present attempt is aborted, and
// the hedge continues the stream. It must be called with chainMu held.
func (w *watchdog) startHedge(now time.Time, delay time.Duration, without string, cause error) {
	if !w.mayHedge() || (!w.answerBegun && !w.hasEvent.Load() && w.job.mayBeCut(now)) {
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
	h := &hedge{watchdog: w, next: next, forward: w.forward, cause: cause, delay: delay, done: make(chan struct{})}
	head := next.chain.Head
	h.forward.Target, h.forward.Address, h.forward.Chain, h.forward.NewConn = head.ID, head.Address, next.chain.Parts, true
	h.forward.Budget = w.job.deadline.Sub(now)
	if id := w.deliveredID.Load(); id != nil {
		h.forward.LastEventID = *id
	}
	next.accepted = &acceptedAttempt{sentAt: now}
	next.accepted.ctx, next.accepted.cancel = context.WithCancelCause(w.parent)
	w.hedge = h
	go h.run()
}

// run waits until the hedge is accepted or has failed.
func (h *hedge) run() {
	w, a := h.watchdog, h.next.accepted
	defer close(h.done)
	reply, err := w.job.cfg.Forwarder.Forward(a.ctx, h.forward)
	w.job.recordNotice(time.Now(), a.sentAt, h.next.chain.Head, reply, err)
	w.chainMu.Lock()
	defer w.chainMu.Unlock()
	w.hedge = nil
	if err == nil && !reply.NotRun && reply.Status == http.StatusOK && a.ctx.Err() == nil {
		a.reply = reply
		w.runs++
		w.job.next.Store(h.next)
		if !w.stopped {
			w.abort(w.chain.Load().Head.Address, h.delay, h.cause)
		}
		return
	}
	if reply != nil {
		_ = reply.Body.Close()
	}
	a.cancel(nil)
	h.next.release()
	h.recordFailure(time.Now(), reply, err)
}

// recordFailure records that the hedge does not continue the stream. It must be called
// with chainMu held.
func (h *hedge) recordFailure(now time.Time, reply *fireflysaddle.Reply, err error) {
	w, failed := h.watchdog, h.next.chain.Head.Address
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
	w.exclusions.targets = append(w.exclusions.targets, h.next.chain.Head.ID)
	w.job.logEvent(zerolog.InfoLevel).AnErr("error", err).Str("engine", failed).Bool("not_run", notRun).
		Msg("hedged attempt not accepted: the present one continues")
}
