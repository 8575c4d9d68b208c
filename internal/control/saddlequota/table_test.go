package saddlequota_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/fireflysaddle/fireflysaddle/internal/control/saddlequota"
)

const window = 12 * time.Second

var start = time.Unix(1_800_000_000, 0)

func TestGrantsWithinWindowStayWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := saddlequota.New()
		now := start.Add(window)
		limit := rapid.IntRange(0, 50).Draw(t, "limit")
		type grant struct {
			at    time.Time
			count int
		}
		var granted []grant
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond)
			granted = append(granted, grant{now, table.Grant(now, "a", rapid.IntRange(0, 40).Draw(t, "want"), limit)})
			sum := 0
			for _, g := range granted {
				if now.Sub(g.at) < window {
					sum += g.count
				}
			}
			if sum > limit {
				t.Fatalf("%d granted within a window, the limit is %d", sum, limit)
			}
		}
	})
}

func TestGrantsExpireAfterWindow(t *testing.T) {
	is := is.New(t)
	table := saddlequota.New()
	now := start.Add(window)
	is.Equal(table.Grant(now, "a", 30, 40), 30)
	is.Equal(table.Grant(now, "a", 30, 40), 10)
	is.Equal(table.Grant(now, "a", 30, 40), 0)
	is.Equal(table.Grant(now, "b", 30, 40), 30) // each group has its own limit
	is.Equal(table.Grant(now.Add(window), "a", 30, 40), 30)
}

func TestNewLeaderGrantsNothingForOneWindow(t *testing.T) {
	is := is.New(t)
	table := saddlequota.New()
	table.StartTerm(start)
	is.Equal(table.Grant(start.Add(window-time.Millisecond), "a", 1, 40), 0)
	is.Equal(table.Grant(start.Add(window), "a", 1, 40), 1)
}
