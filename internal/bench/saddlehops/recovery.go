package saddlehops

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/bench/saddlereport"
	"github.com/fireflysaddle/fireflysaddle/internal/pipeline/saddlestage"
	"github.com/fireflysaddle/fireflysaddle/internal/standin/saddlestandin"
)

const (
	recoveryStages      = 4
	recoveryLinkDelay   = 500 * time.Microsecond
	recoveryTokenTime   = 2 * time.Millisecond
	recoveryPrefillTime = 200 * time.Microsecond
	recoveryTokenFactor = 4 // a request has this many times the tokens of a request of the hops table
)

// recoveryMode is how a request continues after the loss of a middle stage.
type recoveryMode struct {
	name           string
	exportInterval fireflysaddle.Position // positions between KV cache exports; 0 disables exports
	useSpares      bool                   // whether the head may replace a lost stage by a spare
}

// measureRecovery compares the cost of losing a middle stage in each recovery
// mode.
func measureRecovery(ctx context.Context, o options) (*saddlereport.Table, error) {
	tokens := recoveryTokenFactor * o.tokens
	t := &saddlereport.Table{
		Name: "recovery",
		Settings: fmt.Sprintf("%d stages, link %v, %v a token, %v a position of a prompt, %d tokens, engine of stage 2 lost at position %d",
			recoveryStages, recoveryLinkDelay, recoveryTokenTime, recoveryPrefillTime, tokens, lossPosition(tokens)),
		Columns: []string{"way", "positions run again", "by stage", "next token ms", "by mean gap", "exports"},
	}
	modes := []recoveryMode{
		{"restart", 0, false},
		{"buffer, no exports", 0, true},
		{"export each 128", 128, true},
		{"export each 32", 32, true},
		{"export each 8", 8, true},
	}
	for _, mode := range modes {
		if err := addRecoveryRow(ctx, t, mode, tokens); err != nil {
			return nil, fmt.Errorf("%s: %w", mode.name, err)
		}
	}
	return t, nil
}

// lossPosition returns the position at which the engine of stage 2 is killed.
func lossPosition(tokens int) int { return tokens * 7 / 8 }

// addRecoveryRow runs a request in a recovery mode, kills the engine of stage 2
// during the run, and adds a row with the cost of the recovery to the table.
func addRecoveryRow(ctx context.Context, t *saddlereport.Table, mode recoveryMode, tokens int) error {
	f, cleanup := newFleet(chainSettings{
		stages: recoveryStages, withSpares: true, linkDelay: recoveryLinkDelay,
		tokenTime: recoveryTokenTime, prefillTime: recoveryPrefillTime, exportInterval: mode.exportInterval,
	})
	defer cleanup()
	exportsBefore := saddlestage.Exports()
	lostStage := f.stages[2]
	lostStage.engine.BeforePosition(func(p uint32) {
		if p == uint32(lossPosition(tokens)) && !lostStage.engineLost.Swap(true) {
			lostStage.engine.Kill()
		}
	})
	got, intervals, err := f.drive(ctx, mode.useSpares, tokens)
	if err != nil {
		return err
	}
	want := saddlestandin.ExpectedTokens(prompt, recoveryStages, uint32(tokens))
	if fmt.Sprint(got) != fmt.Sprint(want) {
		return errors.New("generated tokens differ from the expected tokens")
	}
	rerun := f.rerunPositions(len(want))
	t.Add(mode.name, fmt.Sprint(rerun), fmt.Sprintf("%.1f", float64(rerun)/recoveryStages),
		saddlereport.FormatMs(intervals.longest()), fmt.Sprintf("%.1f", float64(intervals.longest())/float64(intervals.mean())),
		fmt.Sprint(saddlestage.Exports()-exportsBefore))
	return nil
}

// drive runs a request to completion and returns its tokens and the times between
// them. With useSpares, the head replaces a lost stage by its spare. Without
// useSpares, the loss of stage 2 ends the attempt. drive then does what an entry
// does: it starts a new attempt that continues after the delivered tokens, on a
// chain with the spare in place of the lost stage.
func (f *fleet) drive(ctx context.Context, useSpares bool, tokens int) (got []string, intervals *tokenIntervals, err error) {
	intervals = &tokenIntervals{}
	emit := func(text string) error {
		got = append(got, text)
		return intervals.record(text)
	}
	d := saddlestage.Draft{Request: requestID, Attempt: 1, Chain: stageInfos(f.stages), Prompt: prompt, MaxTokens: uint32(tokens), Budget: requestTimeout}
	if useSpares {
		d.Spares = stageInfos(f.spares)
	}
	err = f.stages[0].runner.Drive(ctx, d, emit)
	var lost *saddlestage.LostError
	if useSpares || !errors.As(err, &lost) {
		return got, intervals, err
	}
	chain := append([]*agent(nil), f.stages...)
	chain[2] = f.spares[2]
	d.Attempt = 2
	d.Chain = stageInfos(chain)
	d.Delivered = append([]string(nil), got...)
	d.MaxTokens -= uint32(len(got))
	err = f.stages[0].runner.Drive(ctx, d, emit)
	return got, intervals, err
}

// rerunPositions returns the number of positions that the engines ran in excess
// of a run without a loss. tokens is the number of tokens of the request.
func (f *fleet) rerunPositions(tokens int) int {
	executed := 0
	for _, e := range f.journal.All() {
		if !e.Imported {
			executed++
		}
	}
	positions := len(strings.Fields(prompt)) + tokens - 1
	return executed - positions*recoveryStages
}
