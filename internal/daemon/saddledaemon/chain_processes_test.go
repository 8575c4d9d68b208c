package saddledaemon_test

import (
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle/internal/standin/saddleprocess"
	"github.com/fireflysaddle/fireflysaddle/internal/standin/saddlestandin"
)

// The agent of a middle stage is killed in the middle of a stream: a spare
// takes its place within the attempt, and the other stages run nothing twice.
func TestAKilledMiddleStageIsReplacedWithinTheAttempt(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFixture(t, "0s")
	agents := map[string]*saddleprocess.Agent{}
	for _, id := range []string{"middle-1", "middle-2"} {
		_, agents[id] = f.target(t, id, 2, 4)
	}
	f.target(t, "first", 0, 2)
	f.target(t, "last", 4, layers)
	f.awaitTargets(t, 4)
	var killed string
	tokens := f.stream(t, f.entry.Listen, func() {
		killed = f.stageOfLastStart(2)
		agents[killed].Kill()
	})
	is.Equal(tokens, expectedLong())
	is.NoErr(saddlestandin.CheckOrderAfterLoss(f.journal.All(), killed))
	long := f.starts()[len(f.starts())-1]
	first := slices.IndexFunc(f.starts(), func(e saddlestandin.Execution) bool { return e.Request == long.Request })
	is.Equal(f.starts()[first].Attempt, long.Attempt) // no restart
}
