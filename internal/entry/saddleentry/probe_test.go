package saddleentry_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle"
)

const (
	undisturbedDraft = 4 * tokenInterval      // without the way to the target and back
	probeTimeout     = 250 * time.Millisecond // of the question to a doubted agent
	networkSlack     = 50 * time.Millisecond
)

// An agent falls silent in the middle of a draft and stays so. That draft waits
// for the silence time, and one after it may: the only target of a group is not
// left out. All others find out by a question, not by waiting for the silence
// time again. Control goes on naming the agent.
func TestDraftsAfterSilentAgentSkipSilenceTimeout(t *testing.T) {
	runWithCluster(t, fireflysaddle.KindEngine, func(t *testing.T, w *testCluster) {
		is := is.New(t)
		w.watchKey("first")
		w.onStep(stepRunning, func() { w.net.setCut("entry-1", "agent-1", true) })
		go func() {
			time.Sleep(callSilence / 2)
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
			if time.Since(start) > undisturbedDraft+probeTimeout+networkSlack {
				slow++
			}
		}
		is.True(slow <= 1)
	})
}

// The agent is heard again: it gets work again.
func TestRecoveredAgentGetsRequests(t *testing.T) {
	runWithCluster(t, fireflysaddle.KindEngine, func(t *testing.T, w *testCluster) {
		is := is.New(t)
		w.watchKey("first")
		w.onStep(stepRunning, func() { w.net.setCut("entry-1", "agent-1", true) })
		w.schedule(3*time.Second, func() { w.net.setCut("entry-1", "agent-1", false) })
		out, text := w.draft(t.Context(), "entry-1", "first", 4, nil)
		is.Equal(out.kind, "answer") // it waited: there is no other target
		is.Equal(text, tokens("first", 4))
	})
}
