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

// LocalEngine is the stand-in engine without sockets, for tests under virtual
// time. It implements fireflysaddle.Engine.
type LocalEngine struct {
	*Engine

	once   sync.Once
	killed chan struct{}
}

var errKilled = errors.New("the engine was killed")

// NewLocalEngine returns a stand-in engine that is called directly.
func NewLocalEngine(cfg EngineConfig) *LocalEngine {
	e := newEngine(cfg)
	e.host = newUnlistened()
	return &LocalEngine{Engine: e, killed: make(chan struct{})}
}

// Kill makes every call fail, those in progress too.
func (l *LocalEngine) Kill() { l.once.Do(func() { close(l.killed) }) }

// Generate is not served: a local engine holds one stage of a chain.
func (l *LocalEngine) Generate(context.Context, fireflysaddle.Generation, func(string) error) error {
	return l.fail(errors.New("a local engine runs steps only"))
}

// Step runs the engine's layers for one step.
func (l *LocalEngine) Step(ctx context.Context, s fireflysaddle.Step) (fireflysaddle.StepResult, error) {
	ctx, cancel := l.bound(ctx)
	defer cancel()
	answer, code := l.runStep(ctx, saddleengine.StepRequest{
		Request: string(s.Request), Attempt: uint32(s.Attempt), Priority: int32(s.Priority),
		Position: uint32(s.Position), Prompt: s.Prompt, Delivered: s.Given, Token: s.Token,
		Activation: s.Activation, Count: s.Count,
	})
	if err := l.outcome(ctx, code); err != nil {
		return fireflysaddle.StepResult{}, err
	}
	return fireflysaddle.StepResult{Activation: answer.Activation, Count: answer.Count, Token: answer.Token}, nil
}

// Cancel drops the state of an attempt.
func (l *LocalEngine) Cancel(ctx context.Context, id fireflysaddle.RequestID, attempt fireflysaddle.Attempt) error {
	if err := l.outcome(ctx, 0); err != nil {
		return err
	}
	l.drop(attemptKey{request: string(id), attempt: uint32(attempt)})
	return nil
}

// Export returns the KV cache of an attempt.
func (l *LocalEngine) Export(ctx context.Context, id fireflysaddle.RequestID, attempt fireflysaddle.Attempt) (fireflysaddle.KVCache, error) {
	out, code := l.exportState(attemptKey{request: string(id), attempt: uint32(attempt)})
	if err := l.outcome(ctx, code); err != nil {
		return fireflysaddle.KVCache{}, err
	}
	return fireflysaddle.KVCache{Positions: fireflysaddle.Position(out.Positions), Data: out.Data}, nil
}

// Import gives the engine the KV cache of an attempt.
func (l *LocalEngine) Import(ctx context.Context, id fireflysaddle.RequestID, attempt fireflysaddle.Attempt, kv fireflysaddle.KVCache) error {
	if err := l.outcome(ctx, 0); err != nil {
		return err
	}
	return l.outcome(ctx, l.importState(attemptKey{request: string(id), attempt: uint32(attempt)}, kv.Data))
}

// Order accepts nothing.
func (l *LocalEngine) Order(context.Context, fireflysaddle.Order) error {
	return l.fail(errors.New("a local engine takes no orders"))
}

// Alive returns nil until Kill.
func (l *LocalEngine) Alive(ctx context.Context) error { return l.outcome(ctx, 0) }

// bound returns a context that ends with the engine.
func (l *LocalEngine) bound(ctx context.Context) (context.Context, func()) {
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

// outcome turns a status code into an error; 0 and 200 are none.
func (l *LocalEngine) outcome(ctx context.Context, code int) error {
	select {
	case <-l.killed:
		return l.fail(errKilled)
	default:
	}
	switch {
	case ctx.Err() != nil:
		return ctx.Err()
	case code != 0 && code != http.StatusOK:
		return l.fail(fmt.Errorf("status %d", code))
	}
	return nil
}

func (l *LocalEngine) fail(err error) error {
	return &fireflysaddle.TargetError{Target: fireflysaddle.TargetID(l.cfg.ID), Err: err}
}
