package saddlegateway

import (
	"errors"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlefleet"
)

// pauseSpread is the time over which callers return after the pauses of all targets.
const pauseSpread = time.Second

// recordNotice records what a target said about itself in its answer or, with an error, in
// an answer that cannot be used. sentAt is the time at which the request was sent.
func (j *job) recordNotice(now, sentAt time.Time, target saddlefleet.Target, reply *fireflysaddle.Reply, err error) {
	var n fireflysaddle.Notice
	var failed *fireflysaddle.TargetError
	faultyEngine := ""
	switch {
	case reply != nil:
		n, faultyEngine = reply.Notice, reply.FaultyEngine
	case errors.As(err, &failed):
		n = failed.Notice
	}
	if n.Leaving {
		j.cfg.Fleet.RecordLeaving(target, j.call.ID)
	}
	if n.InvalidLimit != "" {
		j.logEvent(zerolog.WarnLevel).Str("target", string(target.ID)).Str("value", n.InvalidLimit).Msg("limit of a target not understood")
	}
	if n.Limited || (reply != nil && n.InvalidLimit == "") {
		j.cfg.Fleet.RecordLimit(now, sentAt, target, n, j.call.ID)
	}
	if n.InvalidPause != "" {
		j.logEvent(zerolog.WarnLevel).Str("target", string(target.ID)).Str("value", n.InvalidPause).Msg("pause of a target not understood")
	}
	if n.Pause <= 0 {
		return
	}
	limit := j.limits.Load().MaxPause
	if n.Pause > limit {
		j.logEvent(zerolog.WarnLevel).Str("target", string(target.ID)).Dur("asked_ms", n.Pause).Dur("pause_ms", limit).Msg("pause of a target shortened")
	}
	pause := min(n.Pause, limit)
	j.cfg.Fleet.RecordPause(now, target, pause, j.call.ID)
	if faultyEngine != "" && faultyEngine != target.Address {
		j.cfg.Fleet.RecordStagePause(now, faultyEngine, pause, j.call.ID)
	}
}

// untilSpread returns the delay before a retry that is to arrive within pauseSpread after a
// time.
func untilSpread(now, t time.Time) time.Duration {
	return t.Sub(now) + rand.N(pauseSpread)
}
