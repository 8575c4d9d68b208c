package saddlegateway_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlegateway"
)

// Guards against a process that has served many calls never measuring longer ones again: the
// weight of a long call of its first minutes had become too small to divide by.
func TestDurationsAreMeasuredAfterMillionsOfCalls(t *testing.T) {
	is := is.New(t)
	const (
		usual   = 40 * time.Millisecond
		slower  = 2 * time.Second
		longest = 30 * time.Second
	)
	var h saddlegateway.DurationHistogram
	h.Record(longest, true)
	for range 1_450_000 {
		h.Record(usual, true)
	}
	h.Record(time.Second, false)
	for range 20_000 {
		h.Record(slower, true)
	}
	is.True(h.Quantile(0.5) >= slower)
	is.True(h.Quantile(0.98) < 2*slower)
}
