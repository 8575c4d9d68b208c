package saddlegrant_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle/internal/control/saddlegrant"
)

const (
	limit             = 3
	timeout           = 2 * time.Second
	heartbeatInterval = 500 * time.Millisecond
)

var start = time.Unix(1000, 0)

// engine simulates an engine that, once it has a grant, loads for a number of heartbeats.
type engine struct {
	node      string
	remaining int // heartbeats until the load is complete
	started   bool
}

// run simulates engines that all need to load and returns the highest number of
// concurrent loads. At heartbeat leaderChangeAt a new leader takes over; -1: never.
func run(t *testing.T, table *saddlegrant.Table, fleet []*engine, leaderChangeAt int) (maxLoading int) {
	t.Helper()
	now := start
	for beat := range 1000 {
		if beat == leaderChangeAt {
			table.StartTerm(now)
		}
		loading, done := 0, 0
		for _, e := range fleet {
			table.RecordHeartbeat(now, e.node, e.remaining > 0, e.started && e.remaining > 0)
			switch {
			case e.remaining == 0:
				done++
			case e.started || table.Allow(now, e.node):
				e.started = true
				loading++
				e.remaining--
			}
		}
		maxLoading = max(maxLoading, loading)
		if done == len(fleet) {
			return maxLoading
		}
		now = now.Add(heartbeatInterval)
	}
	t.Fatal("the fleet did not finish its loads")
	return 0
}

func fleet(n int) []*engine {
	out := make([]*engine, 0, n)
	for i := range n {
		out = append(out, &engine{node: fmt.Sprintf("agent-%d", i), remaining: 6})
	}
	return out
}

func TestConcurrentLoadsStayWithinLimit(t *testing.T) {
	is := is.New(t)
	maxLoading := run(t, saddlegrant.New(limit, timeout), fleet(20), -1)
	is.Equal(maxLoading, limit)
}

func TestNewLeaderCountsLoadsOfPredecessor(t *testing.T) {
	is := is.New(t)
	maxLoading := run(t, saddlegrant.New(limit, timeout), fleet(20), 3)
	is.Equal(maxLoading, limit)
}

func TestGrantExpiresWithoutHeartbeats(t *testing.T) {
	is := is.New(t)
	table := saddlegrant.New(1, timeout)
	is.True(table.Allow(start, "agent-1"))
	is.True(!table.Allow(start.Add(timeout), "agent-2"))
	is.True(table.Allow(start.Add(timeout+heartbeatInterval), "agent-2"))
}

func TestWithoutLimitAllEnginesLoad(t *testing.T) {
	is := is.New(t)
	maxLoading := run(t, saddlegrant.New(0, timeout), fleet(20), -1)
	is.Equal(maxLoading, 20)
}
