package saddledaemon_test

import (
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle/internal/standin/saddleprocess"
	"github.com/fireflysaddle/fireflysaddle/internal/standin/saddlestandin"
)

// The agent of a middle stage is killed during a stream. A spare target replaces the
// stage within the same attempt, and the other stages run no position twice.
func TestKilledMiddleStageIsReplacedWithinTheAttempt(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFixture(t, "0s")
	agents := map[string]*saddleprocess.Agent{}
	for _, id := range []string{"middle-1", "middle-2"} {
		_, agents[id] = f.startTarget(t, id, 2, 4)
	}
	f.startTarget(t, "first", 0, 2)
	f.startTarget(t, "last", 4, layers)
	f.awaitTargets(t, 4)
	var killed string
	tokens := f.streamLong(t, f.entry.Listen, func() {
		killed = f.engineOfLastStart(2)
		agents[killed].Kill()
	})
	is.Equal(tokens, expectedLongTokens())
	is.NoErr(saddlestandin.CheckOrderAfterLoss(f.journal.All(), killed))
	lastStart := f.attemptStarts()[len(f.attemptStarts())-1]
	firstStartIndex := slices.IndexFunc(f.attemptStarts(), func(e saddlestandin.Execution) bool { return e.Request == lastStart.Request })
	is.Equal(f.attemptStarts()[firstStartIndex].Attempt, lastStart.Attempt) // same attempt, not a restart
}
