package saddlegateway

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/rs/zerolog"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlerouting"
)

// shutdownMargin is the time before the end of the process at which calls without an
// answer are refused, so that the refusals are written. A busy VM needs some tens of
// milliseconds for that.
const shutdownMargin = 300 * time.Millisecond

// errProcessEnding ends the attempts of calls that have no answer when the process is about
// to be killed. It is a cancellation, which is no fault of the target.
var errProcessEnding = fmt.Errorf("the process is about to end: %w", context.Canceled)

// errLeaving ends the wait of calls that are not sent any more because a shutdown has begun.
var errLeaving = fmt.Errorf("the process is shutting down: %w", context.Canceled)

// shutdown is a planned end of the process.
type shutdown struct {
	beganAt     time.Time
	lameDuck    time.Duration
	lameDuckEnd time.Time
	killAt      time.Time
	returning   *returningCalls
}

// StartShutdown records that the process has been told to stop, when its lame-duck period
// ends, and when it will be killed. Calls that may last longer, and those that wait to be sent, are
// refused from now on, and those that have no answer shortly before the process is killed are
// refused then.
func (g *Gateway) StartShutdown(now, lameDuckEnd, killAt time.Time) {
	g.shutdown.Store(&shutdown{beganAt: now, lameDuck: lameDuckEnd.Sub(now), lameDuckEnd: lameDuckEnd, killAt: killAt, returning: newReturningCalls()})
	g.cfg.Log.Info().Int64("in_progress", g.callsInProgress.Load()).Int64("answers_begun", g.answersBegun.Load()).
		Int64("lame_duck_ms", lameDuckEnd.Sub(now).Milliseconds()).Int64("killed_after_ms", killAt.Sub(now).Milliseconds()).Msg("calls in progress as the shutdown begins")
	g.leave()
	time.AfterFunc(killAt.Sub(now)-shutdownMargin, g.end)
}

// endWithProcess returns a context that ends when the process is about to be killed, unless
// claimAnswer has been called, and a function that releases its resources.
func (j *job) endWithProcess(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	j.giveUp = func() { cancel(errProcessEnding) }
	j.stopEnding = context.AfterFunc(j.ending, j.giveUp)
	stopWarning := context.AfterFunc(j.ending, j.warnOfCut)
	return ctx, func() {
		stopWarning()
		j.stopHoldTimer()
		if j.answerClaimed.Load() {
			j.answersBegun.Add(-1)
		}
		j.stopEnding()
		cancel(nil)
	}
}

// warnOfCut logs an answer that has begun when the process is about to be killed. A process that is
// killed leaves no other line about the answers that it cuts.
func (j *job) warnOfCut() {
	if j.answerClaimed.Load() {
		countUnfinished.Add(1)
		e := j.logEvent(zerolog.WarnLevel).Dur("left", shutdownMargin)
		if s := j.shutdown.Load(); s != nil {
			e = e.Int64("since_shutdown_ms", j.startTime.Sub(s.beganAt).Milliseconds()) // negative: the call came before it
		}
		j.progress.log(e, time.Since(j.startTime)).Msg("answer in progress as the process is about to be killed")
	}
}

// claimAnswer reports whether an answer may begin that takes some time. From then on the
// call continues until the process is killed, because a refusal can no longer be sent.
func (j *job) claimAnswer() bool {
	if j.headerSent {
		return true
	}
	j.stopHoldTimer()
	claimed := j.stopEnding()
	if j.answerClaimed.Store(claimed); claimed {
		j.answersBegun.Add(1)
	}
	return claimed
}

// isProcessEnding reports whether a context has ended because the process is about to.
func isProcessEnding(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), errProcessEnding)
}

// refusedByShutdown reports whether the call is not to be sent, because the process is shutting
// down and the whole answer may come too late. A call that is sent all the same is held: its
// answer begins once it is whole, because how long it takes is not sure. An answer that has begun
// continues in any case.
func (j *job) refusedByShutdown(now time.Time) bool {
	s := j.shutdown.Load()
	if s == nil || j.headerSent {
		return false
	}
	refused, expected := j.mayEndTooLate(now), j.expectedDuration(now, s.cautious(now, j.route))
	if j.held = !refused && j.mayOutlastProcess(now, s); j.held {
		j.startHoldTimer(now)
	}
	j.progress.expected.Store(int64(expected))
	countShutdownDecisions.Add(map[bool]string{false: "accepted", true: "refused"}[refused], 1)
	j.logEvent(zerolog.InfoLevel).Int64("since_shutdown_ms", now.Sub(s.beganAt).Milliseconds()).Int("sends", j.sends).Int64("expected_ms", expected.Milliseconds()).
		Int64("left_ms", s.timeLeft(now).Milliseconds()).Int64("answer_time_ms", j.answerTime(now, s).Milliseconds()).Int("max_tokens", j.call.MaxOutputTokens).
		Int("token_hint", j.call.OutputTokensHint).Bool("refused", refused).
		Msg("expected duration compared with the time until the process is killed")
	return refused
}

// timeLeft returns the time in which an answer must end.
func (s *shutdown) timeLeft(now time.Time) time.Duration { return s.killAt.Sub(now) - shutdownMargin }

// cautious reports whether a call on a route must be almost certain to end in time. A stream that
// can be continued elsewhere need not be: it is held for a short time only.
func (s *shutdown) cautious(now time.Time, route *saddlerouting.Route) bool {
	return !route.Retryable() || (route.Kind != saddlerouting.Streaming && !now.Before(s.lameDuckEnd))
}

// mayOutlastProcess reports whether the deadline of the call leaves it more time than the process
// has.
func (j *job) mayOutlastProcess(now time.Time, s *shutdown) bool {
	return j.deadline.Sub(now) > s.timeLeft(now)
}

// answerTime returns the time in which the whole answer to a call that is sent now must have
// arrived.
func (j *job) answerTime(now time.Time, s *shutdown) time.Duration {
	if j.route.Kind != saddlerouting.Streaming {
		return s.timeLeft(now)
	}
	return min(s.timeLeft(now), j.holdEnd().Sub(now))
}

// mayEndTooLate reports whether, during a shutdown, the whole answer to a call that is sent now may
// come too late.
func (j *job) mayEndTooLate(now time.Time) bool {
	s := j.shutdown.Load()
	return j.mayBeCut(now) && j.expectedDuration(now, s.cautious(now, j.route)) > j.answerTime(now, s)
}

// mayBeCut reports whether the answer to a call may be cut by the kill if it begins before it is whole.
func (j *job) mayBeCut(now time.Time) bool {
	s := j.shutdown.Load()
	return s != nil && j.mayOutlastProcess(now, s)
}

// waitUntilShutdown returns a context in which a call whose answer has not begun waits before it is
// sent, and a function that releases its resources. It ends when a shutdown begins that the call may
// outlast, because other entries serve the call then.
func (j *job) waitUntilShutdown(ctx context.Context) (context.Context, func()) {
	if j.headerSent {
		return ctx, func() {}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	leave := func() {
		if s := j.shutdown.Load(); j.mayOutlastProcess(time.Now(), s) {
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
