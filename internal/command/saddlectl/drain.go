package saddlectl

import (
	"context"

	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

func runDrain(ctx context.Context, s *session, args []string) error {
	return s.putDrain(ctx, args, true)
}

func runUndrain(ctx context.Context, s *session, args []string) error {
	return s.putDrain(ctx, args, false)
}

func (s *session) putDrain(ctx context.Context, args []string, active bool) error {
	if len(args) != 1 {
		return &usageError{reason: "name one target"}
	}
	result, err := s.submit(ctx, &saddlewire.Command{Change: &saddlewire.Command_PutDrain{
		PutDrain: &saddlewire.PutDrain{Target: args[0], Active: active},
	}})
	if err != nil {
		return err
	}
	s.progress("target %s: drain %t accepted", args[0], active)
	if !s.wait {
		return nil
	}
	return s.awaitInForce(ctx, result.GetIndex())
}
