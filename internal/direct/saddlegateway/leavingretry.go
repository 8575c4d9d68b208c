package saddlegateway

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/fireflysaddle/fireflysaddle"
)

const (
	// shutdownRetryAfter is the retry delay while the process is shutting down. The retry
	// reaches another process, unless the balancer has no other one for this caller.
	shutdownRetryAfter = 20 * time.Millisecond
	// maxRetryDelayShare is the largest share of its caller's time that a call that comes back
	// may wait, so that most of it is left for the answer.
	maxRetryDelayShare = 1.0 / 3
)

// leavingMessage is the message of a refusal because the process is shutting down.
const leavingMessage = "the process is shutting down and may end before the answer"

// refuseLeaving refuses the call because the process is shutting down.
func (j *job) refuseLeaving(now time.Time) {
	r := Refusal{Code: fireflysaddle.CodeLeaving, Message: leavingMessage}
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
	if !end.After(now) {
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
