package saddleclock_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle/internal/control/saddleclock"
)

func TestClockAdvancesByTheLargerStep(t *testing.T) {
	for name, c := range map[string]struct{ wall, monotonic, want time.Duration }{
		"both":             {time.Second, time.Second, time.Second},
		"wall set back":    {-time.Hour, time.Second, time.Second},
		"VM suspended":     {time.Minute, time.Millisecond, time.Minute},
		"wall set forward": {time.Hour, time.Second, time.Hour},
		"both stand still": {0, 0, 0},
		"both go back":     {-time.Second, -time.Second, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			wall, monotonic := time.Unix(1_700_000_000, 0), time.Minute
			clock := saddleclock.New(wall, monotonic)
			got := clock.Read(wall.Add(c.wall), monotonic+c.monotonic)
			is.Equal(got.Sub(wall), c.want)
			after := clock.Read(wall.Add(c.wall+time.Second), monotonic+c.monotonic+time.Second)
			is.Equal(after.Sub(got), time.Second) // continues from the last reading
		})
	}
}
