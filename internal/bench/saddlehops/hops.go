package saddlehops

import (
	"context"
	"fmt"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/bench/saddlereport"
	"github.com/fireflysaddle/fireflysaddle/internal/pipeline/saddlestage"
)

const (
	prompt         = "a wall of twelve courses"
	requestID      = "r1"
	requestTimeout = time.Minute
)

// measureHops measures the mean time between tokens, once with stages that send
// activations to each other and once with an entry that relays every
// activation. Engines take no time. With k stages, a token crosses k links between
// agents but 2k links between the stages and the entry, so the expected ratio is
// one half.
func measureHops(ctx context.Context, o options) (*saddlereport.Table, error) {
	t := &saddlereport.Table{
		Name:     "hops",
		Settings: fmt.Sprintf("%d tokens, engines that take no time", o.tokens),
		Columns:  []string{"stages", "link ms", "agent to agent ms", "through the entry ms", "ratio", "k by 2k"},
	}
	for stages := 2; stages <= 6; stages++ {
		for _, delay := range []time.Duration{100 * time.Microsecond, time.Millisecond, 10 * time.Millisecond} {
			direct, viaEntry, err := compareHops(ctx, chainSettings{stages: stages, linkDelay: delay}, o.tokens)
			if err != nil {
				return nil, err
			}
			t.Add(fmt.Sprint(stages), saddlereport.FormatMs(delay), saddlereport.FormatMs(direct), saddlereport.FormatMs(viaEntry),
				saddlereport.FormatRatio(float64(direct)/float64(viaEntry)), saddlereport.FormatRatio(1.0/2))
		}
	}
	return t, nil
}

// compareHops returns the mean time between tokens with direct hops and with hops
// through the entry.
func compareHops(ctx context.Context, s chainSettings, tokens int) (direct, viaEntry time.Duration, err error) {
	f, cleanup := newFleet(s)
	defer cleanup()
	directIntervals := &tokenIntervals{}
	err = f.stages[0].runner.Drive(ctx, saddlestage.Draft{
		Request: requestID, Attempt: 1, Chain: stageInfos(f.stages), Prompt: prompt, MaxTokens: uint32(tokens), Budget: requestTimeout,
	}, directIntervals.record)
	if err != nil {
		return 0, 0, err
	}
	viaEntryIntervals, err := driveViaEntry(ctx, f, tokens)
	if err != nil {
		return 0, 0, err
	}
	return directIntervals.mean(), viaEntryIntervals.mean(), nil
}

// tokenIntervals records the times between tokens.
type tokenIntervals struct {
	lastTokenAt time.Time
	intervals   []time.Duration
}

func (t *tokenIntervals) record(string) error {
	now := time.Now()
	if !t.lastTokenAt.IsZero() {
		t.intervals = append(t.intervals, now.Sub(t.lastTokenAt))
	}
	t.lastTokenAt = now
	return nil
}

func (t *tokenIntervals) mean() time.Duration {
	var sum time.Duration
	for _, d := range t.intervals {
		sum += d
	}
	return sum / time.Duration(max(len(t.intervals), 1))
}

func (t *tokenIntervals) longest() time.Duration {
	var longest time.Duration
	for _, d := range t.intervals {
		longest = max(longest, d)
	}
	return longest
}

// driveViaEntry runs the baseline: the entry has a stream to each stage and
// relays every activation to the next stage. It uses attempt 2, because the
// direct run used attempt 1 on the same engines.
func driveViaEntry(ctx context.Context, f *fleet, tokens int) (*tokenIntervals, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var streams []*relayStream
	for _, a := range f.stages {
		r, err := newRelayStream(ctx, f, a)
		if err != nil {
			return nil, err
		}
		defer r.close()
		streams = append(streams, r)
	}
	intervals := &tokenIntervals{}
	step := fireflysaddle.Step{Request: requestID, Attempt: 2, Prompt: prompt}
	for range tokens {
		result, err := relayStep(streams, step)
		if err != nil {
			return nil, err
		}
		if err := intervals.record(result.Token); err != nil {
			return nil, err
		}
		step = fireflysaddle.Step{
			Request: requestID, Attempt: 2, Token: result.Token,
			Position: step.Position + fireflysaddle.Position(result.Count),
		}
	}
	return intervals, nil
}
