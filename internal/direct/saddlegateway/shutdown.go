package saddlegateway

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/rs/zerolog"
)

// shutdownMargin is the time before the end of the process at which calls without an
// answer are refused, so that the refusals are written. A busy VM needs some tens of
// milliseconds for that.
const shutdownMargin = 300 * time.Millisecond

// errProcessEnding ends the attempts of calls that have no answer when the process is about
// to be killed. It is a cancellation, which is no fault of the target.
var errProcessEnding = fmt.Errorf("the process is about to end: %w", context.Canceled)

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

// timeLeft returns the time in which an answer must end.
func (s *shutdown) timeLeft(now time.Time) time.Duration { return s.killAt.Sub(now) - shutdownMargin }

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
