package saddlegateway

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlerouting"
)

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
	countShutdownDecisions.Add(decisionName(refused), 1)
	j.logEvent(zerolog.InfoLevel).Int64("since_shutdown_ms", now.Sub(s.beganAt).Milliseconds()).Int("sends", j.sends).Int64("expected_ms", expected.Milliseconds()).
		Int64("left_ms", s.timeLeft(now).Milliseconds()).Int64("answer_time_ms", j.answerTime(now, s).Milliseconds()).Int("max_tokens", j.call.MaxOutputTokens).
		Int("token_hint", j.call.OutputTokensHint).Bool("refused", refused).
		Msg("expected duration compared with the time until the process is killed")
	return refused
}

func decisionName(refused bool) string {
	if refused {
		return "refused"
	}
	return "accepted"
}

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
