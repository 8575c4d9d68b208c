package saddlestage_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/pipeline/saddlestage"
	"github.com/fireflysaddle/fireflysaddle/internal/standin/saddlestandin"
)

const maxAttempts = 4

// requestResult is the result of one request.
type requestResult struct {
	got      []string
	attempts uint32
	err      error
}

// driveFirstAttempt drives the first attempt and starts no other if it fails.
func (f *fleet) driveFirstAttempt(ctx context.Context, emit func(string) error) error {
	return f.driveAttempt(ctx, f.stages, 1, nil, emit)
}

func (f *fleet) driveAttempt(ctx context.Context, chain []*agent, attempt uint32, delivered []string, emit func(string) error) error {
	return chain[0].runner.Drive(ctx, saddlestage.Draft{
		Request: "r1", Attempt: attempt, Chain: stageInfos(chain), Spares: stageInfos(f.spares),
		Prompt: prompt, Delivered: append([]string(nil), delivered...), MaxTokens: uint32(tokens - len(delivered)), Budget: budget,
		OnReplaced: func(target fireflysaddle.TargetID) { f.replaced = append(f.replaced, string(target)) },
	}, emit)
}

// runRequest runs a request as an entry does: after the loss of a stage that
// cannot be recovered it starts a new attempt, from the tokens already delivered
// and without the lost target.
func (f *fleet) runRequest(ctx context.Context) requestResult {
	ctx, cancel := context.WithTimeout(ctx, budget)
	defer cancel()
	r := requestResult{}
	chain := append([]*agent(nil), f.stages...)
	for r.attempts < maxAttempts {
		r.attempts++
		attemptCtx, end := context.WithCancel(ctx)
		stop := context.AfterFunc(chain[0].ctx, end) // an entry sees the broken stream of a dead head
		r.err = f.driveAttempt(attemptCtx, chain, r.attempts, r.got, func(text string) error {
			r.got = append(r.got, text)
			return nil
		})
		stop()
		end()
		if r.err == nil || ctx.Err() != nil {
			return r
		}
		f.replaceLostStages(chain, r.err)
	}
	return r
}

// replaceLostStages replaces the dead stages and the target of the last
// attempt's LostError.
func (f *fleet) replaceLostStages(chain []*agent, err error) {
	var lost *saddlestage.LostError
	lostTarget := ""
	if errors.As(err, &lost) {
		lostTarget = string(lost.Target)
	}
	for i, a := range chain {
		if !a.dead.Load() && a.info.GetTarget() != lostTarget {
			continue
		}
		for _, spare := range f.spares {
			if !spare.dead.Load() && spare != a && spare.info.GetLayers().GetFrom() == a.info.GetLayers().GetFrom() {
				chain[i] = spare
				break
			}
		}
	}
}

// checkResult checks the caller's tokens, the journal of all engines, and that no
// agent or engine still holds state of the request.
func (f *fleet) checkResult(t *testing.T, r requestResult) {
	t.Helper()
	is := is.New(t)
	is.NoErr(r.err)
	is.Equal(r.got, f.expectedTokens())                                              // every token, once, in order
	is.NoErr(saddlestandin.CheckOrderAfterLoss(f.journal.All(), f.lostEngines()...)) // each layer once per position
	if f.stages[0].dead.Load() {
		time.Sleep(12 * probeInterval) // lets the other stages drop the sessions of an unreachable head
	}
	time.Sleep(4 * probeInterval)
	for _, a := range f.allAgents() {
		if a.dead.Load() || a.ignoresNewConns.Load() {
			continue
		}
		is.Equal(a.runner.Active(), 0)         // no session remains
		is.Equal(a.engine.CachedAttempts(), 0) // no engine holds the attempt
	}
}

func (f *fleet) lostEngines() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.lost...)
}

// onPosition calls a function once, when the engine is about to run a position.
func (a *agent) onPosition(position uint32, do func()) {
	done := false
	a.engine.BeforePosition(func(p uint32) {
		if p == position && !done {
			done = true
			do()
			time.Sleep(time.Microsecond) // lets the function's goroutines take effect
		}
	})
}
