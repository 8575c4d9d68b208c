package saddlehops_test

import (
	"bytes"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle/internal/bench/saddlehops"
)

// A recovery mode that loses, repeats or changes a token fails the run: the
// recovery table is written only if the tokens of every mode are as expected.
func TestEveryRecoveryModeYieldsTheExpectedTokens(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	is.NoErr(saddlehops.Run(t.Context(), []string{"-table", "recovery", "-tokens", "10"}, &out))
	for _, mode := range []string{"restart", "buffer, no exports", "export each 32"} {
		is.True(strings.Contains(out.String(), mode))
	}
}

func BenchmarkHops(b *testing.B)     { benchmark(b, "hops") }
func BenchmarkStreams(b *testing.B)  { benchmark(b, "streams") }
func BenchmarkRecovery(b *testing.B) { benchmark(b, "recovery") }

func benchmark(b *testing.B, table string) {
	for b.Loop() {
		if err := saddlehops.Run(b.Context(), []string{"-table", table}, os.Stdout); err != nil {
			b.Fatal(err)
		}
	}
}
