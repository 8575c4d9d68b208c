package saddlegateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

const (
	// slowAttemptFactor is the time after which another target is tried in place of a slow
	// one, as a multiple of the route's first-byte objective.
	slowAttemptFactor = 2
	// secureInterval is the time between attempts to find another target for a request whose
	// target is slow.
	secureInterval = 100 * time.Millisecond
)

// attemptLimit ends a slow attempt at a plain request once another attempt is certain.
type attemptLimit struct {
	job        *job
	ctx        context.Context // ends when the attempt needs no limit any more
	end        context.CancelFunc
	cancel     context.CancelCauseFunc // ends the attempt
	exclusions exclusions
	startTime  time.Time
	timer      *time.Timer

	mu      sync.Mutex
	stopped bool // the attempt has ended
}

// limitAttempt limits the present attempt, which began at now, if another one may follow. stop
// ends the limit.
func (j *job) limitAttempt(ctx context.Context, now time.Time, cancel context.CancelCauseFunc) (stop func()) {
	if !j.route.Retryable() || j.route.MaxAttempts <= j.runs+1 || j.sends >= maxSends || j.route.FirstByteObjective <= 0 {
		return func() {}
	}
	l := &attemptLimit{job: j, cancel: cancel, exclusions: exclusions{targets: slices.Clone(j.triedTargets)}, startTime: now}
	l.ctx, l.end = context.WithCancel(ctx)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.timer = time.AfterFunc(slowAttemptFactor*j.route.FirstByteObjective, l.check)
	return l.stop
}

// check ends the attempt if another one is certain. Otherwise the slow target may still answer.
func (l *attemptLimit) check() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopped || l.ctx.Err() != nil {
		return
	}
	now := time.Now()
	if l.job.mayEndTooLate(now) { // another attempt would not be sent
		return
	}
	next, ok := l.job.secureNextAttempt(l.ctx, now, l.exclusions)
	if !ok {
		l.timer.Reset(secureInterval)
		return
	}
	l.job.next.Store(next)
	l.job.logEvent(zerolog.InfoLevel).Int64("elapsed_ms", now.Sub(l.startTime).Milliseconds()).Msg("slow attempt ended: another target is tried")
	l.cancel(context.DeadlineExceeded)
}

func (l *attemptLimit) stop() {
	l.end()
	l.timer.Stop()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopped = true
}
