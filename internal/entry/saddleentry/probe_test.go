package saddleentry_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle"
)

const (
	undisturbedDraftDuration = 4 * tokenInterval      // without network latency
	probeTimeout             = 250 * time.Millisecond // same value as the entry's probeTimeout
	networkSlack             = 50 * time.Millisecond
)

// An agent becomes unreachable for the entry during a draft and stays so, while the
// control replica still lists it. That draft waits for the silence timeout. One later
// draft may wait for it too, since a failure does not open the circuit of the only
// target of a group. All other drafts must detect the unreachable agent by a ping
// instead of waiting for the silence timeout again.
func TestDraftsAfterSilentAgentSkipSilenceTimeout(t *testing.T) {
	runWithCluster(t, fireflysaddle.KindEngine, func(t *testing.T, w *testCluster) {
		is := is.New(t)
		w.watchKey("first")
		w.onStep(stepRunning, func() { w.net.setCut("entry-1", "agent-1", true) })
		go func() {
			time.Sleep(callSilenceTimeout / 2)
			w.startAgent("agent-2", 1, fireflysaddle.KindEngine)
		}()
		out, text := w.draft(t.Context(), "entry-1", "first", 4, nil)
		is.Equal(out.kind, "answer")
		is.Equal(text, tokens("first", 4))
		slow := 0
		for range 80 {
			time.Sleep(200 * time.Millisecond)
			start := time.Now()
			out, _ := w.draft(t.Context(), "entry-1", "later", 4, nil)
			is.Equal(out.kind, "answer")
			if time.Since(start) > undisturbedDraftDuration+probeTimeout+networkSlack {
				slow++
			}
		}
		is.True(slow <= 1)
	})
}

// An agent that is reachable again gets requests again.
func TestRecoveredAgentGetsRequests(t *testing.T) {
	runWithCluster(t, fireflysaddle.KindEngine, func(t *testing.T, w *testCluster) {
		is := is.New(t)
		w.watchKey("first")
		w.onStep(stepRunning, func() { w.net.setCut("entry-1", "agent-1", true) })
		w.schedule(3*time.Second, func() { w.net.setCut("entry-1", "agent-1", false) })
		out, text := w.draft(t.Context(), "entry-1", "first", 4, nil)
		is.Equal(out.kind, "answer") // after a wait, since there is no other target
		is.Equal(text, tokens("first", 4))
	})
}
