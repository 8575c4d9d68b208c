package saddleslope_test

import (
	"bytes"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle/internal/bench/saddleslope"
)

// Every quantity is measured at three sizes and has a row in docs/CAPACITY.md. The
// test fails if the benchmark reports a quantity that the page does not have.
func TestEachQuantityIsMeasuredAtThreeSizes(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	is.NoErr(saddleslope.Run(t.Context(), []string{"-divide", "50", "-window", "600ms"}, &out))
	page, err := os.ReadFile("../../../docs/CAPACITY.md")
	is.NoErr(err)
	rows := strings.Split(strings.TrimSpace(out.String()), "\n")[1:]
	is.Equal(len(rows), 27)
	for _, row := range rows {
		is.Equal(strings.Count(row, ": "), 3) // three sizes with their values
		is.True(!strings.Contains(row, "NaN"))
		name, _, _ := strings.Cut(row, "  ")
		is.True(strings.Contains(string(page), "| "+name+" |")) // the page has a row for the quantity
	}
}

func TestUnknownMeasurementIsRefused(t *testing.T) {
	is := is.New(t)
	err := saddleslope.Run(t.Context(), []string{"-only", "streams,colours"}, &bytes.Buffer{})
	is.True(err != nil && strings.Contains(err.Error(), `"colours"`))
}
