package saddleroute_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/entry/saddlechoice"
	"github.com/fireflysaddle/fireflysaddle/internal/entry/saddleretry"
	"github.com/fireflysaddle/fireflysaddle/internal/entry/saddleroute"
)

func BenchmarkChainAmong40(b *testing.B)   { benchmarkChain(b, 40) }
func BenchmarkChainAmong3000(b *testing.B) { benchmarkChain(b, 3000) }

func benchmarkChain(b *testing.B, targetCount int) {
	view := viewWithEngines(targetCount)
	r := saddleroute.New(saddlechoice.NewLatencyChooser(rand.New(rand.NewPCG(1, 1))))
	requirements := saddleroute.Requirements{
		Group:    model,
		Kind:     fireflysaddle.KindEngine,
		Work:     fireflysaddle.Work{PromptTokens: 400, MaxTokens: 128},
		Prefixes: []saddleroute.Prefix{{Hash: 1, Tokens: 16}, {Hash: 2, Tokens: 32}, {Hash: 3, Tokens: 64}, {Hash: 4, Tokens: 128}},
	}
	b.ReportAllocs()
	for b.Loop() {
		chain, ok := r.ChooseChain(startTime, view, requirements)
		if !ok {
			b.Fatal("no chain")
		}
		r.RecordResult(startTime.Add(time.Millisecond), chain.Head(), saddleroute.Result{Outcome: saddleretry.Succeeded})
	}
}

// A request that waits for a target repeats the choice, so an unsuccessful
// choice must be cheap.
func BenchmarkNoChainAmong40(b *testing.B) {
	view := viewWithEngines(40)
	requirements := saddleroute.Requirements{Group: model, Kind: fireflysaddle.KindEngine, Avoid: map[fireflysaddle.TargetID]bool{}}
	for _, m := range view.Groups[model] {
		requirements.Avoid[fireflysaddle.TargetID(m.GetTarget().GetId())] = true
	}
	r := saddleroute.New(saddlechoice.NewLatencyChooser(rand.New(rand.NewPCG(1, 1))))
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := r.ChooseChain(startTime, view, requirements); ok {
			b.Fatal("there is a chain")
		}
	}
}
