package saddleentry_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/target/saddleannounce"
)

// A request for a leaving target is refused. The refusal tells the caller that the
// request was not run, and when to retry.
func TestRefusalOfLeavingTargetSetsRetryAfter(t *testing.T) {
	for _, key := range []string{"case-1", ""} {
		t.Run("key "+key, func(t *testing.T) {
			runWithCluster(t, fireflysaddle.KindService, func(t *testing.T, w *testCluster) {
				is := is.New(t)
				reply, err := saddleannounce.SendLeave(t.Context(), w.client("target"), "agent-1:2", saddleannounce.Leave{ID: "target-of-agent-1", Incarnation: 1})
				is.NoErr(err)
				is.True(reply.Accepted)
				out := w.post(t.Context(), "entry-1", key, "case-1", nil)
				is.Equal(out.kind, "no")
				is.True(out.retryAfter != "")
				is.Equal(w.executionLog.countBody("case-1"), 0)
			})
		})
	}
}
