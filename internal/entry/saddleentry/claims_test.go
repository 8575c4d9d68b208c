package saddleentry_test

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle"
)

func TestKeyedCallRunsOnceAndIsReplayed(t *testing.T) {
	runWithCluster(t, fireflysaddle.KindService, func(t *testing.T, w *testCluster) {
		is := is.New(t)
		first := w.post(context.Background(), "entry-1", "case-1", "case-1", nil)
		is.Equal(first.kind, "answer")
		again := w.post(context.Background(), "entry-2", "case-1", "case-1", nil)
		is.Equal(again.kind, "answer")
		is.Equal(again.body, first.body)
		is.True(again.replayed)
		is.Equal(w.executionLog.countBody("case-1"), 1)
	})
}

// A recorded answer needs no target.
func TestRecordedAnswerIsReplayedWithNoTargetUp(t *testing.T) {
	runWithCluster(t, fireflysaddle.KindService, func(t *testing.T, w *testCluster) {
		is := is.New(t)
		first := w.post(t.Context(), "entry-1", "case-1", "case-1", nil)
		is.Equal(first.kind, "answer")
		w.killAgent()
		time.Sleep(5 * time.Second)
		again := w.post(t.Context(), "entry-2", "case-1", "case-1", nil)
		is.Equal(again.kind, "answer")
		is.Equal(again.body, first.body)
		reused := w.post(t.Context(), "entry-2", "case-1", "another body", nil)
		is.Equal(reused.code, "key_reused") // same key, another body
		is.Equal(reused.kind, "no")
		fresh := w.post(t.Context(), "entry-2", "case-2", "case-2", nil)
		is.Equal(fresh.kind, "no") // nothing to replay and no target
	})
}

// The caller hangs up; its filing goes on and its outcome is recorded.
func TestOutcomeIsRecordedWhenTheCallerIsGone(t *testing.T) {
	runWithCluster(t, fireflysaddle.KindService, func(t *testing.T, w *testCluster) {
		is := is.New(t)
		ctx, hangUp := context.WithCancel(t.Context())
		w.watchKey("case-1")
		w.onStep(stepRunning, hangUp)
		is.Equal(w.post(ctx, "entry-1", "case-1", "case-1", nil).kind, "gone")
		time.Sleep(5 * time.Second)
		w.killAgent() // only the record is left
		time.Sleep(5 * time.Second)
		is.Equal(w.post(t.Context(), "entry-2", "case-1", "case-1", nil).kind, "answer")
		is.Equal(w.executionLog.countBody("case-1"), 1)
	})
}

// The caller hangs up while its filing waits in the agent's queue; it is filed
// all the same, without a resend.
func TestQueuedFilingGoesOnWhenTheCallerIsGone(t *testing.T) {
	runWithCluster(t, fireflysaddle.KindService, func(t *testing.T, w *testCluster) {
		is := is.New(t)
		release := w.occupySlot()
		ctx, hangUp := context.WithCancel(t.Context())
		w.watchKey("case-1")
		w.spawn(func(context.Context) {
			w.awaitQueued()
			hangUp()
			time.Sleep(clusterSettleTime)
			release()
		})
		is.Equal(w.post(ctx, "entry-1", "case-1", "case-1", nil).kind, "gone")
		time.Sleep(5 * time.Second)
		is.Equal(w.executionLog.countBody("case-1"), 1)
		again := w.post(t.Context(), "entry-2", "case-1", "case-1", nil)
		is.Equal(again.kind, "answer")
		is.True(again.replayed)
		is.Equal(w.executionLog.countBody("case-1"), 1)
	})
}

// The entry dies after the answer and before it is recorded; the caller comes
// back long after its deadline.
func TestResendLongAfterTheDeadlineDoesNotRunAgain(t *testing.T) {
	for _, after := range []time.Duration{time.Minute, 3 * time.Minute, 10 * time.Minute} {
		t.Run(after.String(), func(t *testing.T) {
			runWithCluster(t, fireflysaddle.KindService, func(t *testing.T, w *testCluster) {
				is := is.New(t)
				w.watchKey("case-1")
				w.onStep(stepAnswerEnded, func() { w.killEntry("entry-1") })
				w.onStep(stepAnswerStarted, func() { w.control.setMajority(false) })
				is.Equal(w.post(t.Context(), "entry-1", "case-1", "case-1", nil).kind == "no", false)
				w.killEntry("entry-1")
				w.control.setMajority(true)
				time.Sleep(after)
				again := w.post(t.Context(), "entry-2", "case-1", "case-1", nil)
				is.True(again.kind == "answer" || again.kind == "unknown")
				is.Equal(w.executionLog.countBody("case-1"), 1)
			})
		})
	}
}

// The connection falls silent before the request reached the agent: it is
// sealed there and tried again, at the same agent where there is no other.
func TestSealedAttemptIsFollowedByAnotherAtTheSameAgent(t *testing.T) {
	for _, key := range []string{"case-1", ""} {
		t.Run("key "+key, func(t *testing.T) {
			runWithCluster(t, fireflysaddle.KindService, func(t *testing.T, w *testCluster) {
				is := is.New(t)
				w.watchKey("case-1")
				w.onStep(stepChosen, func() { w.net.setSilent("entry-1", "agent-1", true) })
				out := w.post(t.Context(), "entry-1", key, "case-1", nil)
				is.Equal(out.kind, "answer")
				is.Equal(w.executionLog.countBody("case-1"), 1)
			})
		})
	}
}

// A refused request leaves no claim behind: the resend runs though the agent
// named in the claim is gone for good.
func TestRefusedRequestLeavesNoClaim(t *testing.T) {
	runWithCluster(t, fireflysaddle.KindService, func(t *testing.T, w *testCluster) {
		is := is.New(t)
		w.watchKey("case-1")
		w.onStep(stepClaimed, func() { w.killAgent() })
		is.Equal(w.post(t.Context(), "entry-1", "case-1", "case-1", nil).kind, "no")
		w.startAgent("agent-2", 1, fireflysaddle.KindService)
		time.Sleep(clusterSettleTime)
		is.Equal(w.post(t.Context(), "entry-2", "case-1", "case-1", nil).kind, "answer")
		is.Equal(w.executionLog.countBody("case-1"), 1)
	})
}

// The agent is gone for good after the target ran the request: nobody can say,
// the caller is told so each time, and nothing runs it again.
func TestClaimOfLostAgentStaysUnknown(t *testing.T) {
	runWithCluster(t, fireflysaddle.KindService, func(t *testing.T, w *testCluster) {
		is := is.New(t)
		w.watchKey("case-1")
		w.onStep(stepRunning, func() { w.killAgent() })
		is.Equal(w.post(t.Context(), "entry-1", "case-1", "case-1", nil).kind, "unknown")
		w.startAgent("agent-2", 1, fireflysaddle.KindService)
		time.Sleep(clusterSettleTime)
		for range 3 {
			again := w.post(t.Context(), "entry-2", "case-1", "case-1", nil)
			is.Equal(again.kind, "unknown")
			is.True(strings.Contains(again.body, "target-of-agent-1")) // says where to look
			time.Sleep(time.Minute)
		}
		is.Equal(w.executionLog.countBody("case-1"), 1)
	})
}

// The deadline passes while the service works; the outcome comes later and the
// resend gets it.
func TestOutcomeAfterTheDeadlineIsRecorded(t *testing.T) {
	runWithCluster(t, fireflysaddle.KindService, func(t *testing.T, w *testCluster) {
		is := is.New(t)
		w.currentAgent().targets.delay = 5 * time.Second
		first := w.post(t.Context(), "entry-1", "case-1", "case-1", map[string]string{"X-Timeout-Ms": "2000"})
		is.Equal(first.kind, "unknown")
		is.True(first.elapsed < 2500*time.Millisecond) // answered at its deadline, virtual time
		is.True(first.retryAfter != "")
		time.Sleep(10 * time.Second)
		w.killAgent() // only the record is left
		time.Sleep(5 * time.Second)
		is.Equal(w.post(t.Context(), "entry-2", "case-1", "case-1", nil).kind, "answer")
		is.Equal(w.executionLog.countBody("case-1"), 1)
	})
}

// An answer too large to be recorded reaches its caller whole; the resend is
// told that the request ran.
func TestLargeAnswerIsDeliveredWholeAndNotRecorded(t *testing.T) {
	runWithCluster(t, fireflysaddle.KindService, func(t *testing.T, w *testCluster) {
		is := is.New(t)
		answer := bytes.Repeat([]byte("0123456789abcdef"), 6<<20/16)
		w.currentAgent().targets.answer = answer
		first := w.post(t.Context(), "entry-1", "case-1", "case-1", nil)
		is.Equal(first.kind, "answer")
		is.Equal(len(first.body), len(answer))
		is.True(w.control.stateSize() < 1<<20) // bytes of the replicated state
		again := w.post(t.Context(), "entry-2", "case-1", "case-1", nil)
		is.Equal(again.kind, "yes")
		is.Equal(again.code, "answer_not_kept")
		is.Equal(w.executionLog.countBody("case-1"), 1)
	})
}

// Without a majority a keyed request is refused as not run, with when to come
// back, and long before its deadline.
func TestKeyedRequestIsRefusedWithoutAMajority(t *testing.T) {
	runWithCluster(t, fireflysaddle.KindService, func(t *testing.T, w *testCluster) {
		is := is.New(t)
		w.control.setMajority(false)
		out := w.post(t.Context(), "entry-1", "case-1", "case-1", nil)
		is.Equal(out.kind, "no")
		is.Equal(out.code, "no_majority")
		is.True(out.retryAfter != "")
		is.True(out.elapsed <= 3*time.Second) // virtual time; the deadline is at 20 s
		is.Equal(w.executionLog.countBody("case-1"), 0)
	})
}

// The copy of a request that is refused as a duplicate does not make the
// caller's "not run".
func TestDuplicateIsNotReportedAsNotRun(t *testing.T) {
	for _, key := range []string{"case-1", ""} {
		t.Run("key "+key, func(t *testing.T) {
			runWithCluster(t, fireflysaddle.KindService, func(t *testing.T, w *testCluster) {
				is := is.New(t)
				w.startRelay()
				w.relay.setMode(relayDuplicateRequest)
				out := w.post(t.Context(), "entry-1", key, "case-1", nil)
				is.Equal(out.kind, "answer")
				is.Equal(w.executionLog.countBody("case-1"), 1)
			})
		})
	}
}
