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

const (
	// shutdownMargin is the time before the end of the process at which calls without an
	// answer are refused, so that the refusals are written. A busy VM needs some tens of
	// milliseconds for that.
	shutdownMargin = 300 * time.Millisecond
	// shutdownRetryAfter is the retry delay while the process is shutting down. The retry
	// reaches another process, unless the balancer has no other one for this caller.
	shutdownRetryAfter = 20 * time.Millisecond
	// maxRetryDelayShare is the largest share of its caller's time that a call that comes back
	// may wait, so that most of it is left for the answer.
	maxRetryDelayShare = 1.0 / 3
	// plannedTokenInterval is the time per token of streams until enough were measured.
	plannedTokenInterval = 17 * time.Millisecond
	// plannedEstimateFactor is how many times the estimate of their callers the length of
	// streams is taken to be until enough were measured.
	plannedEstimateFactor = 4
	// longShare is the share of calls that take no longer than what counts as long, and rareShare
	// that of the calls that take no longer than what is rarely exceeded.
	longShare = 0.95
	rareShare = 0.98
	// cautionFactor is the duration for which time must be left, as a multiple of a long one,
	// after the lame-duck period, and for calls that cannot be continued elsewhere. Their
	// callers lose little by going elsewhere.
	cautionFactor = 2
)

// errProcessEnding ends the attempts of calls that have no answer when the process is about
// to be killed. It is a cancellation, which is no fault of the target.
var errProcessEnding = fmt.Errorf("the process is about to end: %w", context.Canceled)

// shutdown is a planned end of the process.
type shutdown struct {
	lameDuck    time.Duration
	lameDuckEnd time.Time
	killAt      time.Time
	returning   *returningCalls
}

// StartShutdown records that the process has been told to stop, when its lame-duck period
// ends, and when it will be killed. Calls that may last longer are refused from now on, and
// those that have no answer shortly before the process is killed are refused then.
func (g *Gateway) StartShutdown(now, lameDuckEnd, killAt time.Time) {
	g.shutdown.Store(&shutdown{lameDuck: lameDuckEnd.Sub(now), lameDuckEnd: lameDuckEnd, killAt: killAt, returning: newReturningCalls()})
	time.AfterFunc(killAt.Sub(now)-shutdownMargin, g.end)
}

// endWithProcess returns a context that ends when the process is about to be killed, unless
// claimAnswer has been called, and a function that releases its resources.
func (j *job) endWithProcess(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	j.stopEnding = context.AfterFunc(j.ending, func() { cancel(errProcessEnding) })
	stopWarning := context.AfterFunc(j.ending, j.warnOfCut)
	return ctx, func() {
		stopWarning()
		j.stopEnding()
		cancel(nil)
	}
}

// warnOfCut logs an answer that has begun when the process is about to be killed. A process that is
// killed leaves no other line about the answers that it cuts.
func (j *job) warnOfCut() {
	if j.answerClaimed.Load() {
		countUnfinished.Add(1)
		j.logEvent(zerolog.WarnLevel).Dur("left", shutdownMargin).Msg("answer in progress as the process is about to be killed")
	}
}

// claimAnswer reports whether an answer may begin that takes some time. From then on the
// call continues until the process is killed, because a refusal can no longer be sent.
func (j *job) claimAnswer() bool {
	if j.headerSent {
		return true
	}
	claimed := j.stopEnding()
	j.answerClaimed.Store(claimed)
	return claimed
}

// isProcessEnding reports whether a context has ended because the process is about to.
func isProcessEnding(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), errProcessEnding)
}

// mayOutlastProcess reports whether the call, if it is sent now, may take longer than the
// time left until the process is killed. During the lame-duck period calls that can be
// continued elsewhere need less time, because the balancer still sends calls then and most
// would be refused in vain otherwise. An answer that has begun continues in any case.
func (j *job) mayOutlastProcess(now time.Time) bool { return !j.headerSent && j.outlastsProcess(now) }

// outlastsProcess is mayOutlastProcess for a call whose answer has not begun.
func (j *job) outlastsProcess(now time.Time) bool {
	s := j.shutdown.Load()
	if s == nil {
		return false
	}
	left := s.killAt.Sub(now) - shutdownMargin
	if j.deadline.Sub(now) <= left {
		return false
	}
	expected := j.expectedDuration(now, !now.Before(s.lameDuckEnd) || !j.route.Retryable())
	j.logEvent(zerolog.InfoLevel).Int64("expected_ms", expected.Milliseconds()).Int64("left_ms", left.Milliseconds()).
		Int("max_tokens", j.call.MaxOutputTokens).Int("token_hint", j.call.OutputTokensHint).Bool("refused", expected > left).
		Msg("expected duration compared with the time until the process is killed")
	return expected > left
}

// expectedDuration returns how long the call may take if it is sent now: a duration that is
// rarely exceeded, or a multiple of a long one if cautious is set.
func (j *job) expectedDuration(now time.Time, cautious bool) time.Duration {
	class, units := j.class(), j.outputUnits()
	if cautious {
		return cautionFactor * j.durations.estimate(class, units, longShare, j.plannedDuration(now))
	}
	return j.durations.estimate(class, units, rareShare, j.plannedDuration(now))
}

// plannedDuration returns how long the call is taken to last until enough were measured.
func (j *job) plannedDuration(now time.Time) time.Duration {
	tokens := j.call.MaxOutputTokens
	if hint := min(j.call.OutputTokensHint, maxOutputUnits); hint > 0 && (tokens <= 0 || hint < tokens/plannedEstimateFactor) {
		tokens = plannedEstimateFactor * hint
	}
	tokens = min(tokens, maxOutputUnits)
	if j.route.FirstByteObjective <= 0 || (j.route.Kind == saddlerouting.Streaming && tokens <= 0) {
		return j.deadline.Sub(now)
	}
	return j.route.FirstByteObjective + time.Duration(tokens)*plannedTokenInterval
}

// refuseLeaving refuses the call because the process is shutting down.
func (j *job) refuseLeaving(now time.Time) {
	r := Refusal{Code: fireflysaddle.CodeLeaving, Message: "the process is shutting down and may end before the answer"}
	if j.runs > 0 {
		r.Outcome = OutcomeUnknown
	} else {
		r.RetryAfter = j.leavingRetryAfter(now)
	}
	j.refuse(r)
}

// leavingRetryAfter returns when the caller of a call that has not run is to return: at once,
// because another entry can serve it, or when the balancer has taken out this entry and those that
// would refuse the call like this one. That is the case at the end of their lame-duck periods.
func (j *job) leavingRetryAfter(now time.Time) time.Duration {
	s := j.shutdown.Load()
	if s == nil {
		return shutdownRetryAfter
	}
	end := s.lameDuckEnd
	last, alone := j.peers.allLeaving()
	switch {
	case alone:
		end = latest(end, last.Add(s.lameDuck))
	case !s.returning.mostReturn(now, j.fingerprint()):
		return shutdownRetryAfter
	}
	longest := time.Duration(maxRetryDelayShare * float64(j.deadline.Sub(now)))
	delay := max(shutdownRetryAfter, min(end.Sub(now), longest))
	j.logEvent(zerolog.InfoLevel).Bool("others_leaving", alone).Int64("retry_after_ms", delay.Milliseconds()).
		Msg("no other entry would serve the refused call yet: retry delayed")
	return delay
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
