package saddleforecast_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddleforecast"
)

var start = time.Unix(1_800_000_000, 0)

const (
	perToken = 50 * time.Microsecond // that idle engines need
	tokens   = 800
)

// see records streams for a duration that each come after a delay.
func see(f *saddleforecast.FirstEvent, from time.Time, d, delay time.Duration) time.Time {
	now := from
	for ; now.Before(from.Add(d)); now = now.Add(50 * time.Millisecond) {
		f.Seen(now, tokens, tokens*perToken, tokens*perToken+delay)
	}
	return now
}

func TestNothingKnown(t *testing.T) {
	is := is.New(t)
	var f saddleforecast.FirstEvent
	is.Equal(f.Expect(start, tokens), time.Duration(0))
}

// Load: a queue builds up at the engines, and ends.
func TestForecastFollowsTheQueueAtTheEngines(t *testing.T) {
	is := is.New(t)
	var f saddleforecast.FirstEvent
	now := see(&f, start, 5*time.Second, 20*time.Millisecond)
	is.True((f.Expect(now, tokens) - 60*time.Millisecond).Abs() < 5*time.Millisecond)
	now = see(&f, now, 2*time.Second, 400*time.Millisecond)
	is.True(f.Expect(now, tokens) > 400*time.Millisecond)
	now = see(&f, now, 3*time.Second, 20*time.Millisecond)
	is.True(f.Expect(now, tokens) < 100*time.Millisecond)
}

// Load: long prompts among short ones.
func TestLongPromptsTakeLonger(t *testing.T) {
	is := is.New(t)
	var f saddleforecast.FirstEvent
	now := see(&f, start, 5*time.Second, 20*time.Millisecond)
	is.True(f.Expect(now, 4*tokens)-f.Expect(now, tokens) > 2*tokens*perToken)
}

// Failure: no stream was served for some time, after a queue. The engines may be idle.
func TestOldDelaysCountLess(t *testing.T) {
	is := is.New(t)
	var f saddleforecast.FirstEvent
	now := see(&f, start, 5*time.Second, time.Second)
	is.True(f.Expect(now.Add(20*time.Second), tokens) < 100*time.Millisecond)
}
