package saddlehops

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/bench/saddlefigure"
	"github.com/fireflysaddle/fireflysaddle/internal/pipeline/saddlestage"
	"github.com/fireflysaddle/fireflysaddle/internal/standin/saddlestandin"
)

const (
	recoveryStages  = 4
	recoveryDelay   = 500 * time.Microsecond
	recoveryToken   = 2 * time.Millisecond
	recoveryPrefill = 200 * time.Microsecond
	recoveryLength  = 4 // times the tokens of the other tables
)

// way is a way of going on after the loss of a middle stage.
type way struct {
	name   string
	every  fireflysaddle.Position // positions between exports, 0: none
	spares bool
}

// measureRecovery compares what the loss of a middle stage costs.
func measureRecovery(ctx context.Context, o options) (*saddlefigure.Table, error) {
	tokens := recoveryLength * o.tokens
	t := &saddlefigure.Table{
		Name: "recovery",
		Settings: fmt.Sprintf("%d stages, link %v, %v a token, %v a position of a prompt, %d tokens, engine of stage 2 lost at position %d",
			recoveryStages, recoveryDelay, recoveryToken, recoveryPrefill, tokens, lossAt(tokens)),
		Columns: []string{"way", "positions run again", "by stage", "next token ms", "by mean gap", "exports"},
	}
	ways := []way{
		{"restart", 0, false},
		{"buffer, no exports", 0, true},
		{"export each 128", 128, true},
		{"export each 32", 32, true},
		{"export each 8", 8, true},
	}
	for _, w := range ways {
		if err := addRecovery(ctx, t, w, tokens); err != nil {
			return nil, fmt.Errorf("%s: %w", w.name, err)
		}
	}
	return t, nil
}

// lossAt returns the position at which the stage is lost.
func lossAt(tokens int) int { return tokens * 7 / 8 }

func addRecovery(ctx context.Context, t *saddlefigure.Table, w way, tokens int) error {
	f, cleanup := newFleet(settings{
		stages: recoveryStages, spares: true, delay: recoveryDelay,
		tokenTime: recoveryToken, prefillTime: recoveryPrefill, exportEvery: w.every,
	})
	defer cleanup()
	exports := saddlestage.Exports()
	victim := f.stages[2]
	victim.engine.BeforePosition(func(p uint32) {
		if p == uint32(lossAt(tokens)) && !victim.dead.Swap(true) {
			victim.engine.Kill()
		}
	})
	got, gaps, err := f.drive(ctx, w.spares, tokens)
	if err != nil {
		return err
	}
	want := saddlestandin.ExpectedTokens(prompt, recoveryStages, uint32(tokens))
	if fmt.Sprint(got) != fmt.Sprint(want) {
		return errors.New("the tokens are wrong")
	}
	again := f.ranAgain(len(want))
	t.Add(w.name, fmt.Sprint(again), fmt.Sprintf("%.1f", float64(again)/recoveryStages),
		saddlefigure.Ms(gaps.longest()), fmt.Sprintf("%.1f", float64(gaps.longest())/float64(gaps.mean())),
		fmt.Sprint(saddlestage.Exports()-exports))
	return nil
}

// drive runs a request to its end; without spares it begins anew with the
// spare in the chain, as an entry does.
func (f *fleet) drive(ctx context.Context, spares bool, tokens int) (got []string, g *gaps, err error) {
	g = &gaps{}
	emit := func(text string) error {
		got = append(got, text)
		return g.token(text)
	}
	d := saddlestage.Draft{Request: request, Attempt: 1, Chain: infos(f.stages), Prompt: prompt, MaxTokens: uint32(tokens), Budget: budget}
	if spares {
		d.Spares = infos(f.spares)
	}
	err = f.stages[0].runner.Drive(ctx, d, emit)
	var lost *saddlestage.LostError
	if spares || !errors.As(err, &lost) {
		return got, g, err
	}
	chain := append([]*agent(nil), f.stages...)
	chain[2] = f.spares[2]
	d.Attempt = 2
	d.Chain = infos(chain)
	d.Delivered = append([]string(nil), got...)
	d.MaxTokens -= uint32(len(got))
	err = f.stages[0].runner.Drive(ctx, d, emit)
	return got, g, err
}

// ranAgain returns the positions that engines ran beyond those of a run
// without a loss.
func (f *fleet) ranAgain(tokens int) int {
	ran := 0
	for _, e := range f.journal.All() {
		if !e.Imported {
			ran++
		}
	}
	positions := len(strings.Fields(prompt)) + tokens - 1
	return ran - positions*recoveryStages
}
