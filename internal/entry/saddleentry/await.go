package saddleentry

import (
	"context"
	"time"

	"github.com/fireflysaddle/fireflysaddle/internal/entry/saddleroute"
	"github.com/fireflysaddle/fireflysaddle/internal/pipeline/saddlechain"
)

// awaitChain picks the targets of attempt n of a draft. last is the error of
// the attempt before, nil for the first.
func (s *Server) awaitChain(ctx context.Context, need saddleroute.Requirements, n uint32, last error) (saddlechain.Chain, error) {
	var chain saddlechain.Chain
	err := s.await(ctx, need, n, last, func(now time.Time) ([]saddlechain.Stage, bool) {
		var ok bool
		chain, ok = s.router.ChooseChain(now, s.attendant.View(), need)
		return chain.Stages(), ok
	})
	return chain, err
}

// awaitService picks the target of attempt n of a call. Its error is the reason
// why there is no target, also when the caller's time is up.
func (s *Server) awaitService(ctx context.Context, need saddleroute.Requirements, n uint32, last error) (saddlechain.Stage, error) {
	var stage saddlechain.Stage
	err := s.await(ctx, need, n, last, func(now time.Time) ([]saddlechain.Stage, bool) {
		var ok bool
		stage, ok = s.router.ChooseService(now, s.attendant.View(), need)
		return []saddlechain.Stage{stage}, ok
	})
	if err != nil {
		return saddlechain.Stage{}, noTarget(need, last)
	}
	return stage, nil
}

// await calls pick until it finds targets whose agents are not in doubt. A first
// attempt is refused at once where there are none; one that failed waits a while
// for the lost target to be replaced.
func (s *Server) await(ctx context.Context, need saddleroute.Requirements, n uint32, last error, pick func(now time.Time) ([]saddlechain.Stage, bool)) error {
	start := time.Now()
	until := waitUntil(start, last)
	for {
		now := time.Now()
		stages, ok := pick(now)
		if ok && s.vouched(ctx, stages, need.Avoid) {
			return nil
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if ok {
			continue // others, without the target that does not answer
		}
		if !now.Before(until) {
			return noTarget(need, last)
		}
		if now.Sub(start) >= avoidTime(n) {
			clear(need.Avoid) // rather a target that failed before than none
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pollTarget):
		}
	}
}
