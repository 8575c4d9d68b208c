package saddlegateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlefleet"
)

const (
	// keptAnswer is the size up to which an answer is read whole before its head
	// is handed on, so that another target can be asked when it breaks off.
	keptAnswer = 256 << 10
	// tryAims is after how many times the route's aim a request that may be
	// repeated is sent to another target.
	tryAims = 2
	// retryFull is when to come back after all targets of a group were full: they
	// run a request in some tens of milliseconds.
	retryFull = 250 * time.Millisecond
)

// plain serves a call at a plain service.
func (j *job) plain(ctx context.Context) {
	reason := "no target is known"
	for {
		target, done, ok := j.cfg.Fleet.Pick(time.Now(), j.pool.Group, j.tried)
		if !ok || !j.maySend(ctx) {
			j.giveUp(ctx, fireflysaddle.CodeNoTarget, reason, retryFull)
			return
		}
		j.tried = append(j.tried, target.ID)
		ended, why := j.tryPlain(ctx, target)
		done()
		if ended {
			return
		}
		reason = why
		j.event(zerolog.InfoLevel).Str("target", string(target.ID)).Str("reason", why).Int("runs", j.runs).Msg("attempt failed")
		if ctx.Err() != nil || (j.runs > 0 && (!j.route.Retryable() || j.runs >= j.route.MaxAttempts)) {
			j.giveUp(ctx, fireflysaddle.CodeTargetFailed, reason, retryFull)
			return
		}
	}
}

// tryPlain sends the call to one target. It reports whether the call has ended,
// else why the attempt failed.
func (j *job) tryPlain(ctx context.Context, target saddlefleet.Target) (ended bool, why string) {
	now := time.Now()
	f := j.forward(now)
	f.Target = target.ID
	f.Address = target.Address
	f.Fresh = !j.route.Retryable()
	ctx, cancel := context.WithTimeout(ctx, j.tryTimeout(now))
	defer cancel()
	reply, err := j.cfg.Forwarder.Forward(ctx, f)
	if err != nil {
		return false, j.noReply(target.Address, time.Since(now), err)
	}
	defer func() { _ = reply.Body.Close() }()
	if reply.NotRun {
		return false, "target refused, not run"
	}
	j.runs++
	j.firstAt = time.Now()
	body, err := io.ReadAll(io.LimitReader(reply.Body, keptAnswer))
	if err != nil {
		j.cfg.Fleet.RecordFault(time.Now(), target.Address, "answer broke off")
		return false, "answer broke off: " + err.Error()
	}
	j.cfg.Fleet.MarkWorking(time.Now(), target.Address)
	if j.worthAnother(reply.Status) {
		return false, "target answered " + http.StatusText(reply.Status)
	}
	j.handOn(reply, body)
	return true, ""
}

// noReply takes in that no answer came and returns why. waited is for how long.
func (j *job) noReply(address string, waited time.Duration, err error) string {
	var notSent *fireflysaddle.NotSentError
	sent := !errors.As(err, &notSent)
	if sent {
		j.runs++
	}
	now := time.Now()
	switch {
	case errors.Is(err, context.Canceled):
	case errors.Is(err, context.DeadlineExceeded) && waited < j.route.FirstByteObjective:
		// the caller left it no time, which says nothing of the target
	case !sent:
		j.cfg.Fleet.MarkDown(now, address, err.Error())
	default:
		j.cfg.Fleet.RecordFault(now, address, err.Error())
	}
	return err.Error()
}

// worthAnother reports whether a target's failure is to be tried at another one.
func (j *job) worthAnother(status int) bool {
	return status >= http.StatusInternalServerError && j.route.Retryable() && j.runs < j.route.MaxAttempts
}

// tryTimeout bounds one attempt, so that one that may be repeated leaves time for
// another.
func (j *job) tryTimeout(now time.Time) time.Duration {
	left := j.deadline.Sub(now)
	if !j.route.Retryable() || j.route.MaxAttempts <= j.runs+1 || j.route.FirstByteObjective <= 0 {
		return left
	}
	return min(left, tryAims*j.route.FirstByteObjective)
}

// handOn gives the caller a target's answer, of which the first bytes were read.
func (j *job) handOn(reply *fireflysaddle.Reply, body []byte) {
	if reply.Length < 0 && len(body) < keptAnswer {
		reply.Length = int64(len(body))
	}
	j.headed = true
	if err := j.w.Begin(reply); err != nil {
		j.gone()
		return
	}
	if err := j.w.Write(body); err != nil {
		j.gone()
		return
	}
	if len(body) == keptAnswer {
		if err := j.pass(reply.Body); err != nil {
			j.refuse(Refusal{Code: fireflysaddle.CodeTargetFailed, Outcome: OutcomeUnknown, Message: err.Error()})
			return
		}
	}
	countServed.Add(1)
	j.finish("answered", "", "")
}

// pass hands on the rest of a body.
func (j *job) pass(in io.Reader) error {
	buf := make([]byte, 32<<10)
	for {
		n, err := in.Read(buf)
		if n > 0 {
			if err := j.w.Write(buf[:n]); err != nil {
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
