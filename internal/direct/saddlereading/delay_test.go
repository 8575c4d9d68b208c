package saddlereading_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlereading"
)

func TestExcess(t *testing.T) {
	const ms = time.Millisecond
	for name, c := range map[string]struct {
		own       time.Duration
		entries   int
		objective time.Duration
		want      time.Duration
	}{
		"nothing is read":                     {0, 5, 500 * ms, 0},
		"a quarter of the objective":          {125 * ms, 1, 500 * ms, 0},
		"more than a quarter":                 {200 * ms, 1, 500 * ms, 75 * ms},
		"the other entries have sent as much": {30 * ms, 5, 500 * ms, 25 * ms},
		"no objective":                        {time.Hour, 5, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(saddlereading.Excess(c.own, c.entries, c.objective), c.want)
		})
	}
}
