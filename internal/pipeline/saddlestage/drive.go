package saddlestage

import (
	"context"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/link/saddlelink"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// Draft is a request to be driven through a chain from its head.
type Draft struct {
	Request   string
	Attempt   uint32
	Priority  int32
	Chain     []*saddlewire.Stage
	Prompt    string
	Given     []string
	MaxTokens uint32
	Budget    time.Duration
}

// Drive runs a request through a chain of two or more stages of which this
// agent is the head. emit is called once for each token in order. A stage that
// fails is a *LostError.
func (r *Runner) Drive(ctx context.Context, d Draft, emit func(text string) error) error {
	k := key{request: d.Request, attempt: d.Attempt}
	queue := r.heads.open(k)
	defer r.heads.close(k)
	r.table.open(k, &session{chain: d.Chain, priority: d.Priority, expires: time.Now().Add(d.Budget + sessionTTL)})
	defer r.Take(time.Now(), &saddlewire.Frame{Kind: saddlewire.Frame_CLOSE, Request: d.Request, Attempt: d.Attempt})
	step := fireflysaddle.Step{
		Request:  fireflysaddle.RequestID(d.Request),
		Attempt:  fireflysaddle.Attempt(d.Attempt),
		Priority: fireflysaddle.Priority(d.Priority),
		Prompt:   d.Prompt,
		Given:    d.Given,
	}
	for range d.MaxTokens {
		count, err := r.headStep(d, step)
		if err != nil {
			return err
		}
		token, err := r.awaitToken(ctx, d, queue)
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

// headStep runs the head's own layers and sends the activation on.
func (r *Runner) headStep(d Draft, step fireflysaddle.Step) (count uint32, err error) {
	result, err := r.step(step)
	if err != nil {
		return 0, &LostError{Target: r.cfg.Target(), Reason: err.Error()}
	}
	r.table.done(key{request: d.Request, attempt: d.Attempt}, result.Count)
	f := &saddlewire.Frame{
		Kind:       saddlewire.Frame_STEP,
		Request:    d.Request,
		Attempt:    d.Attempt,
		Position:   uint32(step.Position),
		Count:      result.Count,
		Index:      1,
		Activation: result.Activation,
	}
	if step.Position == 0 {
		f.Chain = d.Chain
		f.BudgetMs = d.Budget.Milliseconds()
		f.Priority = d.Priority
	}
	r.send(d.Chain[1].GetAddress(), f)
	return result.Count, nil
}

// awaitToken waits for the last stage's token. When it is long in coming, the
// head asks after each stage.
func (r *Runner) awaitToken(ctx context.Context, d Draft, queue <-chan *saddlewire.Frame) (string, error) {
	tick := time.NewTicker(r.cfg.Probe)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return "", ctx.Err()
		case f := <-queue:
			if fault := f.GetFault(); fault != nil {
				return "", &LostError{Target: fireflysaddle.TargetID(fault.GetTarget()), Reason: fault.GetMessage()}
			}
			return f.GetToken(), nil
		case <-tick.C:
			if err := r.probe(ctx, d); err != nil {
				return "", err
			}
		}
	}
}

// probe asks each later stage over a new connection whether it still holds the
// attempt.
func (r *Runner) probe(ctx context.Context, d Draft) error {
	for _, s := range d.Chain[1:] {
		reply, err := ping(ctx, s.GetAddress(), d, r.cfg.Probe)
		lost := &LostError{Target: fireflysaddle.TargetID(s.GetTarget())}
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case err != nil:
			lost.Reason = err.Error()
			return lost
		case reply.GetIncarnation() != s.GetIncarnation():
			lost.Reason = "its agent was started anew"
			return lost
		case !reply.GetTargetAlive():
			lost.Reason = "its target does not answer"
			return lost
		}
	}
	return nil
}

func ping(ctx context.Context, address string, d Draft, timeout time.Duration) (*saddlewire.PingResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	conn, err := saddlelink.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }()
	return saddlewire.NewDRPCAgentClient(conn).Ping(ctx, &saddlewire.PingRequest{Request: d.Request, Attempt: d.Attempt})
}
