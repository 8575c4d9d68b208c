package saddlestage

import (
	"context"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// Draft is a generation request that the head drives through a chain.
type Draft struct {
	Request   string
	Attempt   uint32
	Priority  int32
	Chain     []*saddlewire.Stage
	Spares    []*saddlewire.Stage // candidates for the replacement of lost stages, best first
	Prompt    string
	Delivered []string // tokens that the caller already has from earlier attempts
	MaxTokens uint32
	Budget    time.Duration
	// OnReplaced, if not nil, is called with each target that was replaced by a
	// target of another agent. It runs in the goroutine that drives the request.
	OnReplaced func(target fireflysaddle.TargetID)
}

// Drive runs a request through a chain of two or more stages of which this
// agent is the head. emit is called once for each token, in order. A lost stage
// is replaced by a spare if the other stages need not run any step again;
// otherwise Drive returns a *LostError. For a chain that does not cover the
// model it returns a *fireflysaddle.RefusedError.
func (r *Runner) Drive(ctx context.Context, d Draft, emit func(text string) error) error {
	h, err := newDriver(r, d)
	if err != nil {
		return &fireflysaddle.RefusedError{Code: fireflysaddle.CodeBadRequest, Message: err.Error()}
	}
	defer h.close()
	step := fireflysaddle.Step{
		Request:   fireflysaddle.RequestID(d.Request),
		Attempt:   fireflysaddle.Attempt(d.Attempt),
		Priority:  fireflysaddle.Priority(d.Priority),
		Prompt:    d.Prompt,
		Delivered: d.Delivered,
	}
	for range d.MaxTokens {
		count, err := h.runHeadStep(ctx, step)
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
