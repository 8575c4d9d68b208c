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
	chain    saddlefleet.Chain
	release  func()
	accepted *acceptedAttempt // nil: the call was not sent to the chain yet
}

// acceptedAttempt is an attempt at a stream whose target has begun to answer.
type acceptedAttempt struct {
	ctx    context.Context // of the attempt; ends with the call
	cancel context.CancelCauseFunc
	sentAt time.Time
	reply  *fireflysaddle.Reply
}

// exclusions are the targets that the next attempt leaves out.
type exclusions struct {
	targets []fireflysaddle.TargetID // of a plain service: those that were tried
	engines map[string]time.Time     // addresses of engines that the call avoids, and until when
	heads   []string                 // addresses of engines that failed the stream as heads; left out if another chain has capacity
}

// secureNextAttempt reserves a chain and a retry for an attempt that replaces the present
// one, because the present attempt may still succeed. A retry that was paid for in vain is used
// the next time.
func (j *job) secureNextAttempt(ctx context.Context, now time.Time, out exclusions) (*nextAttempt, bool) {
	if !j.prepayRetry(ctx) {
		return nil, false
	}
	var next nextAttempt
	var ok bool
	if j.pool.Model == nil {
		next.chain.Head, next.release, ok = j.cfg.Fleet.Pick(now, j.pool.Group, out.targets)
	} else {
		next.chain, next.release, _, ok = j.pickChainWithout(now, unexpired(now, out.engines), out.heads)
	}
	return &next, ok
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
		next.discard()
	}
}

// attemptContext returns the context of the attempt, which is that in which it was accepted or
// a new one of the call, and the function that ends it.
func (n *nextAttempt) attemptContext(parent context.Context) (context.Context, context.CancelCauseFunc) {
	if n.accepted != nil {
		return n.accepted.ctx, n.accepted.cancel
	}
	return context.WithCancelCause(parent)
}

// discard ends an attempt that does not take place.
func (n *nextAttempt) discard() {
	if n.accepted != nil {
		_ = n.accepted.reply.Body.Close()
		n.accepted.cancel(nil)
	}
	n.release()
}
