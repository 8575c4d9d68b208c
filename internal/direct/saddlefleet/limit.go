package saddlefleet

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/fireflysaddle/fireflysaddle"
)

// limit is what the answers of a target say of the requests that it accepts.
type limit struct {
	stated   bool
	rate     fireflysaddle.RequestRate
	statedAt time.Time // latest answer with the statement
}

// RecordLimit records whether a target stated a limit in its answer to a request that was sent
// at a time. The limit holds until an answer does not state it; answers to requests that were
// sent before the latest statement may have been overtaken and end nothing.
func (f *Fleet) RecordLimit(now, sentAt time.Time, t Target, n fireflysaddle.Notice, request fireflysaddle.RequestID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	current, ok := f.targets[t.ID]
	if !ok || current.incarnation != t.incarnation {
		return
	}
	l := &current.limit
	logEvent := func() *zerolog.Event {
		return f.log.Info().Str("request", string(request)).Str("target", string(t.ID)).Str("address", t.Address).
			Uint64("target_incarnation", t.incarnation).Float64("before", float64(l.rate))
	}
	switch {
	case n.Limited:
		if !l.stated || l.rate != n.Limit {
			countLimits.Add(1)
			logEvent().Float64("limit", float64(n.Limit)).Msg("target stated a limit of requests per second")
		}
		*l = limit{stated: true, rate: n.Limit, statedAt: now}
	case l.stated && sentAt.After(l.statedAt):
		logEvent().Time("stated", l.statedAt).Msg("target ended its limit of requests per second")
		*l = limit{}
	}
}
