package saddlegateway

import (
	"time"

	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlerouting"
)

const (
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
	// for calls that cannot be continued elsewhere, and for plain ones after the lame-duck
	// period. Their callers lose little by going elsewhere.
	cautionFactor = 2
)

// expectedDuration returns how long the call may take if it is sent now: a duration that is
// rarely exceeded, or a multiple of a long one if cautious is set. It decides whether a call is sent
// during a shutdown, not when its answer begins, since it says nothing about what changes after
// the send.
func (j *job) expectedDuration(now time.Time, cautious bool) time.Duration {
	class, units := j.class(), j.outputUnits()
	if cautious {
		return cautionFactor * j.durations.estimate(class, units, longShare, j.defaultDuration(now))
	}
	return j.durations.estimate(class, units, rareShare, j.defaultDuration(now))
}

// defaultDuration returns how long the call is expected to take until enough calls were measured.
func (j *job) defaultDuration(now time.Time) time.Duration {
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
