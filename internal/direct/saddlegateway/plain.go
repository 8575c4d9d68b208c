package saddlegateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlebudget"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlefleet"
)

const (
	// bufferedAnswerBytes is the size up to which an answer is read completely before
	// its header is sent to the caller, so that another target can be tried if the
	// answer is truncated. It is smaller while there is no memory for more.
	bufferedAnswerBytes = 256 << 10
	// heldAnswerBytes is that size for an answer that is held, see refusedByShutdown. The memory
	// for answers is smaller at most sites.
	heldAnswerBytes = 64 << 20
	// targetsFullRetryAfter is the retry delay after all targets of a group were full.
	// A target runs a request in some tens of milliseconds.
	targetsFullRetryAfter = 250 * time.Millisecond
)

// servePlain serves a call that is answered by a single target and without a stream of
// events.
func (j *job) servePlain(ctx context.Context) {
	reason := "no target is available"
	j.cfg.Fleet.RecordDemand(time.Now(), j.pool.Group)
	defer j.releaseNextAttempt()
	for {
		if refusal := j.quarantineRefusal(time.Now()); refusal != nil {
			j.failCall(ctx, refusal.Code, refusal.Message, refusal.RetryAfter)
			return
		}
		if j.refusedByShutdown(time.Now()) {
			j.refuseLeaving(time.Now())
			return
		}
		target, release, ok := j.pickTarget(time.Now())
		if !ok {
			j.failCall(ctx, fireflysaddle.CodeNoTarget, reason, j.targetsRetryAfter(time.Now()))
			return
		}
		if !j.reserveSend(ctx) {
			release()
			j.failCall(ctx, fireflysaddle.CodeNoTarget, reason, targetsFullRetryAfter)
			return
		}
		ended, failure := j.tryPlain(ctx, target)
		release()
		if ended {
			return
		}
		reason = failure
		j.logFraming(j.logEvent(zerolog.InfoLevel)).Str("target", string(target.ID)).Str("reason", failure).Int("runs", j.runs).Str("fingerprint", j.fingerprint()).Msg("attempt failed")
		if ctx.Err() != nil || (j.runs > 0 && (!j.route.Retryable() || j.runs >= j.route.MaxAttempts)) {
			j.failCall(ctx, fireflysaddle.CodeTargetFailed, reason, targetsFullRetryAfter)
			return
		}
	}
}

// pickTarget selects a target that was not tried, unless one is reserved.
func (j *job) pickTarget(now time.Time) (t saddlefleet.Target, release func(), ok bool) {
	if next, ok := j.takeNextAttempt(); ok {
		return next.chain.Head, next.release, true
	}
	if t, release, ok = j.cfg.Fleet.Pick(now, j.pool.Group, j.triedTargets); ok {
		j.triedTargets = append(j.triedTargets, t.ID)
	}
	return t, release, ok
}

// targetsRetryAfter returns the delay before a retry when no target of the group can be
// chosen. If all of them asked for a pause or limit their requests, callers return when the
// first one accepts a request.
func (j *job) targetsRetryAfter(now time.Time) time.Duration {
	if next, paused := j.cfg.Fleet.NextAccepting(now, j.pool.Group); paused {
		return untilSpread(now, next)
	}
	return targetsFullRetryAfter
}

// tryPlain sends the call to one target. It reports whether the call has ended and, if
// it has not, why the attempt failed.
func (j *job) tryPlain(ctx context.Context, target saddlefleet.Target) (ended bool, failure string) {
	now := time.Now()
	f := j.newForward(now, target)
	f.FreshConn = !j.route.Retryable()
	j.attemptAddress, j.attemptLifetime, j.attemptSentAt = target.Address, target.Lifetime(), now
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stopLimit := j.limitAttempt(ctx, now, cancel)
	defer stopLimit()
	reply, err := j.cfg.Forwarder.Forward(ctx, f)
	j.recordNotice(time.Now(), now, target, reply, err)
	if err != nil {
		runs := j.runs
		failure = j.recordNoReply(target.Address, time.Since(now), err)
		if j.runs > runs && ctx.Err() == nil {
			j.recordUnanswered()
		}
		return false, failure
	}
	defer func() { _ = reply.Body.Close() }()
	if reply.NotRun {
		return false, "target refused the request without running it"
	}
	j.runs++
	j.framing = reply.Framing.String()
	j.firstByteAt = time.Now()
	part, err := j.readFirst(reply, target.Address)
	defer part.release()
	if err != nil {
		if !isProcessEnding(ctx) {
			j.cfg.Fleet.RecordFault(time.Now(), target.Address, "answer truncated")
		}
		if ctx.Err() == nil {
			j.recordUnanswered()
		}
		return false, "answer truncated: " + err.Error()
	}
	if stopLimit(); ctx.Err() != nil && !part.Whole {
		return false, "answer ended after its first part"
	}
	j.cfg.Fleet.MarkWorking(time.Now(), target.Address)
	j.recordHarmless()
	if j.shouldRetryStatus(reply.Status) {
		return false, "target answered " + http.StatusText(reply.Status)
	}
	j.sendAnswer(reply, part)
	return true, ""
}

// recordNoReply records a send that failed with err after the time elapsed, before any
// answer arrived. It updates the health of the target and returns the reason.
func (j *job) recordNoReply(address string, elapsed time.Duration, err error) string {
	var exhausted *saddlebudget.ExhaustedError
	if errors.As(err, &exhausted) {
		j.logExhausted(exhausted).Msg("attempt ended: no memory for the header of its answer")
	}
	var notSent *fireflysaddle.NotSentError
	sent := !errors.As(err, &notSent)
	if sent {
		j.runs++
	}
	now := time.Now()
	if errors.Is(err, syscall.ECONNREFUSED) {
		j.recordEnded(now, address)
	}
	switch {
	case errors.Is(err, context.Canceled):
	case errors.Is(err, context.DeadlineExceeded) && elapsed < j.route.FirstByteObjective:
		// The deadline was shorter than the route's objective, so the time-out does
		// not indicate a fault of the target.
	case !sent:
		j.cfg.Fleet.MarkDown(now, address, err.Error())
	default:
		j.cfg.Fleet.RecordFault(now, address, err.Error())
	}
	return err.Error()
}

// shouldRetryStatus reports whether an answer with this status should be discarded and
// the call retried at another target.
func (j *job) shouldRetryStatus(status int) bool {
	return status >= http.StatusInternalServerError && j.route.Retryable() && j.runs < j.route.MaxAttempts
}

// sendAnswer sends a target's answer to the caller. part is the part of its body that
// has already been read.
func (j *job) sendAnswer(reply *fireflysaddle.Reply, part *firstPart) {
	// The length of an answer to HEAD is that of a body that is not sent.
	if reply.Length < 0 && part.Whole && j.call.Method != http.MethodHead {
		reply.Length = int64(len(part.Bytes))
	}
	if !j.claimAnswer() && !part.Whole { // the rest would be cut
		j.refuseLeaving(time.Now())
		return
	}
	j.headerSent = true
	if err := j.responder.Begin(reply); err != nil {
		j.endDisconnected()
		return
	}
	if err := j.responder.Write(part.Bytes); err != nil {
		j.endDisconnected()
		return
	}
	if !part.Whole {
		if err := j.copyRest(reply.Body, part.copyBuffer()); err != nil {
			j.refuse(Refusal{Code: fireflysaddle.CodeTargetFailed, Outcome: OutcomeUnknown, Message: err.Error()})
			return
		}
	}
	countAnswered.Add(1)
	j.recordEnd("answered", "", "")
}

// copyRest sends the rest of a body to the caller.
func (j *job) copyRest(in io.Reader, buf []byte) error {
	for {
		n, err := in.Read(buf)
		if n > 0 {
			if err := j.responder.Write(buf[:n]); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
