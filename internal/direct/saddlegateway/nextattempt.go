package saddlegateway

import (
	"context"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlefleet"
)

// nextAttempt is the chain that is reserved for the attempt after the present one, or the
// target of a plain service.
type nextAttempt struct {
	chain   saddlefleet.Chain
	release func()
}

// exclusions are the targets that the next attempt leaves out.
type exclusions struct {
	targets []fireflysaddle.TargetID // of a plain service: those that were tried
	engines []string                 // addresses of engines that the call avoids
	heads   []string                 // addresses of engines that failed the stream as heads; left out if another chain has capacity
}

// secureNextAttempt reserves a chain and a retry for an attempt that replaces the present
// one. It reserves neither and returns false unless both are available, because the present
// attempt may still succeed.
func (j *job) secureNextAttempt(ctx context.Context, now time.Time, out exclusions) bool {
	var next nextAttempt
	var ok bool
	if j.pool.Model == nil {
		next.chain.Head, next.release, ok = j.cfg.Fleet.Pick(now, j.pool.Group, out.targets)
	} else {
		next.chain, next.release, _, ok = j.pickChainWithout(now, out.engines, out.heads)
	}
	if !ok {
		return false
	}
	if !j.prepayRetry(ctx) {
		next.release()
		return false
	}
	j.next.Store(&next)
	return true
}

// takeNextAttempt returns the chain reserved for this attempt.
func (j *job) takeNextAttempt() (nextAttempt, bool) {
	next := j.next.Swap(nil)
	if next == nil {
		return nextAttempt{}, false
	}
	if j.pool.Model == nil {
		j.triedTargets = append(j.triedTargets, next.chain.Head.ID)
	}
	return *next, true
}

// releaseNextAttempt releases a chain that was reserved for an attempt that does not take
// place.
func (j *job) releaseNextAttempt() {
	if next := j.next.Swap(nil); next != nil {
		next.release()
	}
}
