package saddlestandin

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/target/saddleengine"
)

// LocalEngine is an Engine that is called directly and opens no sockets, for
// tests under virtual time. It implements fireflysaddle.Engine.
type LocalEngine struct {
	*Engine

	once   sync.Once
	killed chan struct{}
}

var errKilled = errors.New("the engine was killed")

// NewLocalEngine returns a running engine without a listener.
func NewLocalEngine(cfg EngineConfig) *LocalEngine {
	e := newEngine(cfg)
	e.host = newHostWithoutListener()
	return &LocalEngine{Engine: e, killed: make(chan struct{})}
}

// Kill makes every call fail, including calls in progress.
func (l *LocalEngine) Kill() { l.once.Do(func() { close(l.killed) }) }

// Generate always fails, because a local engine holds only one stage of a chain.
func (l *LocalEngine) Generate(context.Context, fireflysaddle.Generation, func(string) error) error {
	return l.targetError(errors.New("a local engine supports steps only"))
}

// Step runs the engine's layers for one step.
func (l *LocalEngine) Step(ctx context.Context, s fireflysaddle.Step) (fireflysaddle.StepResult, error) {
	ctx, cancel := l.withKill(ctx)
	defer cancel()
	answer, code := l.runStep(ctx, saddleengine.StepRequest{
		Request: string(s.Request), Attempt: uint32(s.Attempt), Priority: int32(s.Priority),
		Position: uint32(s.Position), Prompt: s.Prompt, Delivered: s.Delivered, Token: s.Token,
		Activation: s.Activation, Count: s.Count,
	})
	if err := l.callError(ctx, code); err != nil {
		return fireflysaddle.StepResult{}, err
	}
	return fireflysaddle.StepResult{Activation: answer.Activation, Count: answer.Count, Token: answer.Token}, nil
}

// Cancel removes the KV cache of an attempt.
func (l *LocalEngine) Cancel(ctx context.Context, id fireflysaddle.RequestID, attempt fireflysaddle.Attempt) error {
	if err := l.callError(ctx, 0); err != nil {
		return err
	}
	l.removeAttempt(attemptKey{request: string(id), attempt: uint32(attempt)})
	return nil
}

// Export returns the KV cache of an attempt.
func (l *LocalEngine) Export(ctx context.Context, id fireflysaddle.RequestID, attempt fireflysaddle.Attempt) (fireflysaddle.KVCache, error) {
	out, code := l.exportState(attemptKey{request: string(id), attempt: uint32(attempt)})
	if err := l.callError(ctx, code); err != nil {
		return fireflysaddle.KVCache{}, err
	}
	return fireflysaddle.KVCache{Positions: fireflysaddle.Position(out.Positions), Data: out.Data}, nil
}

// Import replaces the KV cache of an attempt.
func (l *LocalEngine) Import(ctx context.Context, id fireflysaddle.RequestID, attempt fireflysaddle.Attempt, kv fireflysaddle.KVCache) error {
	if err := l.callError(ctx, 0); err != nil {
		return err
	}
	return l.callError(ctx, l.importState(attemptKey{request: string(id), attempt: uint32(attempt)}, kv.Data))
}

// Order always fails.
func (l *LocalEngine) Order(context.Context, fireflysaddle.Order) error {
	return l.targetError(errors.New("a local engine accepts no orders"))
}

// Alive returns an error if the engine was killed or the context has ended.
func (l *LocalEngine) Alive(ctx context.Context) error { return l.callError(ctx, 0) }

// withKill returns a context that is cancelled when the engine is killed.
func (l *LocalEngine) withKill(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	stop := make(chan struct{})
	go func() {
		select {
		case <-l.killed:
			cancel()
		case <-stop:
		}
	}()
	return ctx, func() {
		close(stop)
		cancel()
	}
}

// callError returns the error of a call that ended with an HTTP status. A killed
// engine or an ended context is an error with every status. Otherwise 0 and 200
// give nil, and every other status an error.
func (l *LocalEngine) callError(ctx context.Context, code int) error {
	select {
	case <-l.killed:
		return l.targetError(errKilled)
	default:
	}
	switch {
	case ctx.Err() != nil:
		return ctx.Err()
	case code != 0 && code != http.StatusOK:
		return l.targetError(fmt.Errorf("status %d", code))
	}
	return nil
}

func (l *LocalEngine) targetError(err error) error {
	return &fireflysaddle.TargetError{Target: fireflysaddle.TargetID(l.cfg.ID), Err: err}
}
