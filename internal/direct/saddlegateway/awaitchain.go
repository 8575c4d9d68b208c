package saddlegateway

import (
	"context"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlefleet"
)

const (
	// capacityWait is how long a request waits for a chain with capacity before it is
	// refused. Callers disconnect after two seconds without an event.
	capacityWait = 1200 * time.Millisecond
	// turnDelay is an upper bound on the delay of a request's turn in the wait queue, because
	// the queue is polled.
	turnDelay = 200 * time.Millisecond
)

// awaitChain selects a chain as soon as one has capacity, and as soon as it is the call's turn
// while engines limit their requests. Retries do not wait for their turn.
func (j *job) awaitChain(ctx context.Context) (saddlefleet.Chain, func(), *Refusal) {
	full := true
	if j.sends > 0 || j.waitQueue.mayOvertake() {
		var chain saddlefleet.Chain
		var release func()
		var ok bool
		if chain, release, full, ok = j.pickOtherHead(); ok {
			return chain, release, nil
		}
	}
	if refusal := j.refusePaused(time.Now()); refusal != nil {
		return saddlefleet.Chain{}, nil, refusal
	}
	if refusal := j.refuseLimited(time.Now()); refusal != nil {
		return saddlefleet.Chain{}, nil, refusal
	}
	waiter := j.waitQueue.join(j.sends > 0)
	defer waiter.leave()
	for {
		if wait := capacityWait - j.sinceLastEvent(); wait <= 0 || ctx.Err() != nil || !waiter.awaitTurn(ctx, wait) {
			break
		}
		var chain saddlefleet.Chain
		var release func()
		var ok bool
		chain, release, full, ok = j.cfg.Fleet.PickChain(time.Now(), j.pool, j.call.estimatedTokens(), j.avoidedAddresses(time.Now()))
		if ok {
			j.logEvent(zerolog.InfoLevel).Int64("waited_ms", time.Since(j.startTime).Milliseconds()).Msg("chain with capacity found after waiting")
			return chain, release, nil
		}
	}
	if refusal := j.refuseWaiting(ctx); refusal != nil {
		return saddlefleet.Chain{}, nil, refusal
	}
	if full {
		return saddlefleet.Chain{}, nil, &Refusal{Code: fireflysaddle.CodeOverloaded, Message: "no chain has capacity", RetryAfter: noCapacityRetryAfter}
	}
	return saddlefleet.Chain{}, nil, &Refusal{Code: fireflysaddle.CodeNoTarget, Message: "the available engines do not cover all layers", RetryAfter: noChainRetryAfter}
}

// pickOtherHead selects a chain with capacity. An engine that failed the stream as head is
// selected again only if no other chain has capacity.
func (j *job) pickOtherHead() (chain saddlefleet.Chain, release func(), full, ok bool) {
	now := time.Now()
	return j.pickChainWithout(now, j.avoidedAddresses(now), j.failedHeads)
}

// pickChainWithout selects a chain with capacity without the engines avoid, and without the
// engines failedHeads if such a chain has capacity.
func (j *job) pickChainWithout(now time.Time, avoid, failedHeads []string) (chain saddlefleet.Chain, release func(), full, ok bool) {
	if len(failedHeads) > 0 {
		chain, release, _, ok = j.cfg.Fleet.PickChain(now, j.pool, j.call.estimatedTokens(), slices.Concat(avoid, failedHeads))
		if ok {
			return chain, release, false, true
		}
	}
	return j.cfg.Fleet.PickChain(now, j.pool, j.call.estimatedTokens(), avoid)
}

// refusePaused returns a refusal if engines without which a layer is missing have asked for
// pauses that outlast the time for which the call waits for a chain.
func (j *job) refusePaused(now time.Time) *Refusal {
	next, paused := j.cfg.Fleet.NextCovered(now, j.pool)
	if !paused || (next.Before(j.deadline) && next.Sub(now) < capacityWait-j.sinceLastEvent()) {
		return nil
	}
	return &Refusal{Code: fireflysaddle.CodeNoTarget, Message: "the engines that hold a layer asked for a pause", RetryAfter: untilSpread(now, next)}
}

// refuseLimited returns a refusal if all engines that can begin the call limit their requests,
// and more requests wait for them than this entry may send within the time for which the call
// can wait. A retry is not refused, because its caller may have part of the answer.
func (j *job) refuseLimited(now time.Time) *Refusal {
	rate, next, limited := j.cfg.Fleet.LimitedRate(now, j.pool)
	j.waitQueue.setOldestFirst(limited)
	if !limited {
		return nil
	}
	return j.refuseBeyond(now, rate, next, j.waitQueue.length())
}

// refuseBeyond returns a refusal if more requests wait than this entry may send at a rate, the
// next one at a time.
func (j *job) refuseBeyond(now time.Time, rate fireflysaddle.RequestRate, next time.Time, waiting int) *Refusal {
	if j.sends > 0 || float64(waiting+1) <= float64(rate)*(capacityWait-turnDelay-j.sinceLastEvent()).Seconds() {
		return nil
	}
	return &Refusal{Code: fireflysaddle.CodeOverloaded, Message: "the engines that begin drafts limit their requests", RetryAfter: untilSpread(now, next)}
}

// sinceLastEvent returns the time since the caller received an event, or since the call
// began.
func (j *job) sinceLastEvent() time.Duration {
	if j.lastEventAt.IsZero() {
		return time.Since(j.startTime)
	}
	return time.Since(j.lastEventAt)
}
