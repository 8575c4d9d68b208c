package saddlestage

import (
	"context"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// Draft is a request to be driven through a chain from its head.
type Draft struct {
	Request   string
	Attempt   uint32
	Priority  int32
	Chain     []*saddlewire.Stage
	Spares    []*saddlewire.Stage // may take the place of lost stages, best first
	Prompt    string
	Delivered []string
	MaxTokens uint32
	Budget    time.Duration
	// Replaced, if not nil, is called with each target that a spare took over
	// from, from the goroutine that drives the request.
	OnReplaced func(target fireflysaddle.TargetID)
}

// Drive runs a request through a chain of two or more stages of which this
// agent is the head. emit is called once for each token in order. A stage that
// is lost is replaced by a spare where that can be done without running the
// others again; else the error is a *LostError. A chain that does not cover the
// model is a *fireflysaddle.RefusedError.
func (r *Runner) Drive(ctx context.Context, d Draft, emit func(text string) error) error {
	h, err := newDriver(r, d)
	if err != nil {
		return &fireflysaddle.RefusedError{Code: fireflysaddle.CodeBadRequest, Message: err.Error()}
	}
	defer h.close()
	step := fireflysaddle.Step{
		Request:  fireflysaddle.RequestID(d.Request),
		Attempt:  fireflysaddle.Attempt(d.Attempt),
		Priority: fireflysaddle.Priority(d.Priority),
		Prompt:   d.Prompt,
		Given:    d.Delivered,
	}
	for range d.MaxTokens {
		count, err := h.headStep(ctx, step)
		if err != nil {
			return err
		}
		token, err := h.awaitToken(ctx)
		if err != nil {
			return err
		}
		if token == "" {
			return nil
		}
		if err := emit(token); err != nil {
			return err
		}
		step = fireflysaddle.Step{
			Request:  step.Request,
			Attempt:  step.Attempt,
			Priority: step.Priority,
			Position: step.Position + fireflysaddle.Position(count),
			Token:    token,
		}
	}
	return nil
}
