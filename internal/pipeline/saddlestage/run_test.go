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

// run is one request, with what became of it.
type run struct {
	got      []string
	attempts uint32
	err      error
}

// drive runs the first attempt only.
func (f *fleet) drive(ctx context.Context, emit func(string) error) error {
	return f.attempt(ctx, f.stages, 1, nil, emit)
}

func (f *fleet) attempt(ctx context.Context, chain []*agent, number uint32, given []string, emit func(string) error) error {
	return chain[0].runner.Drive(ctx, saddlestage.Draft{
		Request: "r1", Attempt: number, Chain: infos(chain), Spares: infos(f.spares),
		Prompt: prompt, Delivered: append([]string(nil), given...), MaxTokens: uint32(tokens - len(given)), Budget: budget,
		OnReplaced: func(target fireflysaddle.TargetID) { f.replaced = append(f.replaced, string(target)) },
	}, emit)
}

// run runs a request as an entry does: one that loses a stage for good begins
// anew, from the tokens already given out, without the lost target.
func (f *fleet) run(ctx context.Context) run {
	ctx, cancel := context.WithTimeout(ctx, budget)
	defer cancel()
	r := run{}
	chain := append([]*agent(nil), f.stages...)
	for r.attempts < maxAttempts {
		r.attempts++
		attemptCtx, end := context.WithCancel(ctx)
		stop := context.AfterFunc(chain[0].ctx, end) // an entry sees the stream of a dead head break off
		r.err = f.attempt(attemptCtx, chain, r.attempts, r.got, func(text string) error {
			r.got = append(r.got, text)
			return nil
		})
		stop()
		end()
		if r.err == nil || ctx.Err() != nil {
			return r
		}
		f.replan(chain, r.err)
	}
	return r
}

// replan replaces the dead stages, and the one that the last attempt blames.
func (f *fleet) replan(chain []*agent, err error) {
	var lost *saddlestage.LostError
	blamed := ""
	if errors.As(err, &lost) {
		blamed = string(lost.Target)
	}
	for i, a := range chain {
		if !a.dead.Load() && a.info.GetTarget() != blamed {
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

// judge checks the caller's tokens, the journal of all engines, and that
// nothing is left of the request.
func (f *fleet) judge(t *testing.T, r run) {
	t.Helper()
	is := is.New(t)
	is.NoErr(r.err)
	is.Equal(r.got, f.expected())                                                // every token, once, in order
	is.NoErr(saddlestandin.CheckOrderAfterLoss(f.journal.All(), f.allLost()...)) // every layer once for each position
	if f.stages[0].dead.Load() {
		time.Sleep(12 * probe) // for the later stages to give up asking the head
	}
	time.Sleep(4 * probe)
	for _, a := range f.all() {
		if a.dead.Load() || a.stranded.Load() {
			continue
		}
		is.Equal(a.runner.Active(), 0)         // no session is left
		is.Equal(a.engine.CachedAttempts(), 0) // no engine holds the attempt
	}
}

func (f *fleet) allLost() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.lost...)
}

// at has a function called once, when an engine is about to run a position.
func (a *agent) at(position uint32, do func()) {
	done := false
	a.engine.BeforePosition(func(p uint32) {
		if p == position && !done {
			done = true
			do()
			time.Sleep(time.Microsecond) // lets what was begun take effect
		}
	})
}
