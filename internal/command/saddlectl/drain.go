package saddlectl

import (
	"context"

	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

func runDrain(ctx context.Context, s *session, args []string) error {
	return s.putDrain(ctx, args[0], true)
}

func runUndrain(ctx context.Context, s *session, args []string) error {
	return s.putDrain(ctx, args[0], false)
}

// putDrain drains a target or ends its drain. If no member reports the target, it
// submits the change and prints a warning, because the target may be temporarily
// disconnected.
func (s *session) putDrain(ctx context.Context, target string, active bool) error {
	c, err := s.submit(ctx, kindTarget, target, s.requestID, &saddlewire.Command{Change: &saddlewire.Command_PutDrain{
		PutDrain: &saddlewire.PutDrain{Target: target, Active: active},
	}})
	if err != nil {
		return err
	}
	s.warnUnknownTarget(ctx, target)
	return s.waitAndPrint(ctx, 0, []change{c})
}

// warnUnknownTarget prints a warning if no member reports the target. A failed read is
// ignored, because the change has already been accepted.
func (s *session) warnUnknownTarget(ctx context.Context, target string) {
	state, err := s.read(ctx)
	if err != nil {
		return
	}
	for _, m := range state.GetMembers() {
		if m.GetTarget().GetId() == target {
			return
		}
	}
	s.printProgress("  no member currently reports a target with this name")
}
