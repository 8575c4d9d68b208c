package saddlepath_test

import (
	"context"
	"testing"

	"github.com/fireflysaddle/fireflysaddle/internal/bench/saddlepath"
)

const (
	prompt     = "explain the fault in the third course of the wall"
	longDraft  = 500 // tokens
	shortDraft = 1   // token
)

// Each operation of the benchmarks is a draft. The cost of a token is the
// difference between the times of a long and a short draft, divided by the
// difference between their numbers of tokens.
func BenchmarkDirectShort(b *testing.B) { benchmark(b, (*saddlepath.Fleet).DraftDirect, shortDraft) }

func BenchmarkThroughShort(b *testing.B) { benchmark(b, (*saddlepath.Fleet).DraftViaEntry, shortDraft) }

func BenchmarkDirectLong(b *testing.B) { benchmark(b, (*saddlepath.Fleet).DraftDirect, longDraft) }

func BenchmarkThroughLong(b *testing.B) { benchmark(b, (*saddlepath.Fleet).DraftViaEntry, longDraft) }

func benchmark(b *testing.B, draft func(*saddlepath.Fleet, context.Context, string, int) (saddlepath.Draft, error), tokens int) {
	f, cleanup, err := saddlepath.New(b.Context(), 0)
	if err != nil {
		b.Fatal(err)
	}
	defer cleanup()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := draft(f, b.Context(), prompt, tokens); err != nil {
			b.Fatal(err)
		}
	}
}
