package saddlehops

import (
	"context"
	"fmt"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/bench/saddlefigure"
	"github.com/fireflysaddle/fireflysaddle/internal/pipeline/saddlestage"
)

const (
	prompt  = "a wall of twelve courses"
	request = "r1"
	budget  = time.Minute
)

// measureHops compares the time between tokens, agent to agent and through the
// entry, with engines that take no time.
func measureHops(ctx context.Context, o options) (*saddlefigure.Table, error) {
	t := &saddlefigure.Table{
		Name:     "hops",
		Settings: fmt.Sprintf("%d tokens, engines that take no time", o.tokens),
		Columns:  []string{"stages", "link ms", "agent to agent ms", "through the entry ms", "ratio", "k by 2k"},
	}
	for stages := 2; stages <= 6; stages++ {
		for _, delay := range []time.Duration{100 * time.Microsecond, time.Millisecond, 10 * time.Millisecond} {
			direct, through, err := compareHops(ctx, settings{stages: stages, delay: delay}, o.tokens)
			if err != nil {
				return nil, err
			}
			t.Add(fmt.Sprint(stages), saddlefigure.Ms(delay), saddlefigure.Ms(direct), saddlefigure.Ms(through),
				saddlefigure.Share(float64(direct)/float64(through)), saddlefigure.Share(1.0/2))
		}
	}
	return t, nil
}

func compareHops(ctx context.Context, s settings, tokens int) (direct, through time.Duration, err error) {
	f, cleanup := newFleet(s)
	defer cleanup()
	gaps := &gaps{}
	err = f.stages[0].runner.Drive(ctx, saddlestage.Draft{
		Request: request, Attempt: 1, Chain: infos(f.stages), Prompt: prompt, MaxTokens: uint32(tokens), Budget: budget,
	}, gaps.token)
	if err != nil {
		return 0, 0, err
	}
	viaEntry, err := driveThroughEntry(ctx, f, tokens)
	if err != nil {
		return 0, 0, err
	}
	return gaps.mean(), viaEntry.mean(), nil
}

// gaps notes the times between tokens.
type gaps struct {
	last time.Time
	all  []time.Duration
}

func (g *gaps) token(string) error {
	now := time.Now()
	if !g.last.IsZero() {
		g.all = append(g.all, now.Sub(g.last))
	}
	g.last = now
	return nil
}

func (g *gaps) mean() time.Duration {
	var sum time.Duration
	for _, d := range g.all {
		sum += d
	}
	return sum / time.Duration(max(len(g.all), 1))
}

func (g *gaps) longest() time.Duration {
	var longest time.Duration
	for _, d := range g.all {
		longest = max(longest, d)
	}
	return longest
}

// driveThroughEntry is the baseline: the entry holds a stream to each stage and
// passes every activation on by itself.
func driveThroughEntry(ctx context.Context, f *fleet, tokens int) (*gaps, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var stages []*relayed
	for _, a := range f.stages {
		r, err := newRelayed(ctx, f, a)
		if err != nil {
			return nil, err
		}
		defer r.close()
		stages = append(stages, r)
	}
	out := &gaps{}
	step := fireflysaddle.Step{Request: request, Attempt: 2, Prompt: prompt}
	for range tokens {
		result, err := relay(stages, step)
		if err != nil {
			return nil, err
		}
		if err := out.token(result.Token); err != nil {
			return nil, err
		}
		step = fireflysaddle.Step{
			Request: request, Attempt: 2, Token: result.Token,
			Position: step.Position + fireflysaddle.Position(result.Count),
		}
	}
	return out, nil
}
