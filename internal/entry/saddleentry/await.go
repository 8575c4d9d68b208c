package saddleentry

import (
	"context"
	"errors"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/entry/saddleroute"
	"github.com/fireflysaddle/fireflysaddle/internal/pipeline/saddlechain"
)

// awaitChain selects the targets for attempt n of a draft. lastErr is the error of
// the previous attempt, nil for the first.
func (s *Server) awaitChain(ctx context.Context, requirements saddleroute.Requirements, n uint32, lastErr error) (saddlechain.Chain, error) {
	var chain saddlechain.Chain
	err := s.awaitTargets(ctx, requirements, n, lastErr, func(now time.Time) ([]saddlechain.Stage, bool) {
		var ok bool
		chain, ok = s.router.ChooseChain(now, s.subscriber.View(), requirements)
		return chain.Stages(), ok
	})
	return chain, err
}

// awaitService selects the target for attempt n of a call. The error states why there
// is no target, even if the caller's deadline has passed.
func (s *Server) awaitService(ctx context.Context, requirements saddleroute.Requirements, n uint32, lastErr error) (saddlechain.Stage, error) {
	var stage saddlechain.Stage
	err := s.awaitTargets(ctx, requirements, n, lastErr, func(now time.Time) ([]saddlechain.Stage, bool) {
		var ok bool
		stage, ok = s.router.ChooseService(now, s.subscriber.View(), requirements)
		return []saddlechain.Stage{stage}, ok
	})
	if errors.Is(err, errEnding) {
		return saddlechain.Stage{}, &fireflysaddle.RefusedError{Code: fireflysaddle.CodeLeaving, Message: errEnding.Error(), RetryAfter: leavingRetryAfter}
	}
	if err != nil {
		return saddlechain.Stage{}, noTargetError(requirements, lastErr)
	}
	return stage, nil
}

// awaitTargets calls choose until choose returns targets whose agents are all
// reachable. If there are none, a first attempt is refused at once, and so is a retry
// after an overload refusal. Any other retry waits up to maxTargetWait for the lost
// target to be replaced.
func (s *Server) awaitTargets(ctx context.Context, requirements saddleroute.Requirements, n uint32, lastErr error, choose func(now time.Time) ([]saddlechain.Stage, bool)) error {
	start := time.Now()
	deadline := targetDeadline(start, lastErr)
	for {
		now := time.Now()
		stages, ok := choose(now)
		if ok && s.confirmReachable(ctx, stages, requirements.Avoid) {
			return nil
		}
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
		if ok {
			continue // choose others, without the unreachable target
		}
		if !now.Before(deadline) {
			return noTargetError(requirements, lastErr)
		}
		if now.Sub(start) >= avoidDuration(n) {
			clear(requirements.Avoid) // a target that failed before is better than none
		}
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-time.After(targetPollInterval):
		}
	}
}
