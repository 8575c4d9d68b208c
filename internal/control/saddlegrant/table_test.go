package saddlegrant_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle/internal/control/saddlegrant"
)

const (
	limit = 3
	stale = 2 * time.Second
	beat  = 500 * time.Millisecond
)

var start = time.Unix(1000, 0)

// engine loads for a time once it may.
type engine struct {
	node  string
	left  int // heartbeats until the load is done
	began bool
}

// run drives a fleet of engines that all need a load and returns the highest
// number that loaded at once and the heartbeats that it took.
func run(t *testing.T, table *saddlegrant.Table, fleet []*engine, leadAt int) (most int) {
	t.Helper()
	now := start
	for beats := range 1000 {
		if beats == leadAt {
			table.Lead(now)
		}
		loading, done := 0, 0
		for _, e := range fleet {
			table.Note(now, e.node, e.left > 0, e.began && e.left > 0)
			switch {
			case e.left == 0:
				done++
			case e.began || table.Allow(now, e.node):
				e.began = true
				loading++
				e.left--
			}
		}
		most = max(most, loading)
		if done == len(fleet) {
			return most
		}
		now = now.Add(beat)
	}
	t.Fatal("the fleet did not finish its loads")
	return 0
}

func fleet(n int) []*engine {
	out := make([]*engine, 0, n)
	for i := range n {
		out = append(out, &engine{node: fmt.Sprintf("agent-%d", i), left: 6})
	}
	return out
}

func TestNoMoreEnginesLoadAtOnceThanGranted(t *testing.T) {
	is := is.New(t)
	most := run(t, saddlegrant.New(limit, stale), fleet(20), -1)
	is.Equal(most, limit)
}

func TestANewLeaderCountsTheLoadsThatItsPredecessorGranted(t *testing.T) {
	is := is.New(t)
	most := run(t, saddlegrant.New(limit, stale), fleet(20), 3)
	is.Equal(most, limit)
}

func TestAnEngineThatIsNotHeardFreesItsGrant(t *testing.T) {
	is := is.New(t)
	table := saddlegrant.New(1, stale)
	is.True(table.Allow(start, "agent-1"))
	is.True(!table.Allow(start.Add(stale), "agent-2"))
	is.True(table.Allow(start.Add(stale+beat), "agent-2"))
}

func TestWithoutALimitAllMayLoad(t *testing.T) {
	is := is.New(t)
	most := run(t, saddlegrant.New(0, stale), fleet(20), -1)
	is.Equal(most, 20)
}
