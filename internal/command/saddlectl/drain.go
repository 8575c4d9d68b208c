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

// putDrain accepts a target that nobody has heard of: it may be away just now.
func (s *session) putDrain(ctx context.Context, target string, active bool) error {
	c, err := s.submit(ctx, kindTarget, target, s.request, &saddlewire.Command{Change: &saddlewire.Command_PutDrain{
		PutDrain: &saddlewire.PutDrain{Target: target, Active: active},
	}})
	if err != nil {
		return err
	}
	s.noteUnheard(ctx, target)
	return s.finish(ctx, 0, []change{c})
}

func (s *session) noteUnheard(ctx context.Context, target string) {
	state, err := s.read(ctx)
	if err != nil {
		return
	}
	for _, m := range state.GetMembers() {
		if m.GetTarget().GetId() == target {
			return
		}
	}
	s.progress("  no target of that name is heard at present")
}
