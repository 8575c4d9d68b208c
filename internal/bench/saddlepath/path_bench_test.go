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

// Each operation is a draft; the figures of a token are those of the long
// drafts less the short ones, by the tokens between them.
func BenchmarkDirectShort(b *testing.B)  { benchmark(b, (*saddlepath.Fleet).Direct, shortDraft) }
func BenchmarkThroughShort(b *testing.B) { benchmark(b, (*saddlepath.Fleet).Through, shortDraft) }
func BenchmarkDirectLong(b *testing.B)   { benchmark(b, (*saddlepath.Fleet).Direct, longDraft) }
func BenchmarkThroughLong(b *testing.B)  { benchmark(b, (*saddlepath.Fleet).Through, longDraft) }

func benchmark(b *testing.B, draft func(*saddlepath.Fleet, context.Context, string, int) (saddlepath.Draft, error), n int) {
	f, cleanup, err := saddlepath.New(b.Context(), 0)
	if err != nil {
		b.Fatal(err)
	}
	defer cleanup()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := draft(f, b.Context(), prompt, n); err != nil {
			b.Fatal(err)
		}
	}
}
