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
		resend := w.post(context.Background(), "entry-2", "case-1", "case-1", nil)
		is.Equal(resend.kind, "answer")
		is.Equal(resend.body, first.body)
		is.True(resend.replayed)
		is.Equal(w.executionLog.countBody("case-1"), 1)
	})
}

// A recorded answer is replayed although no target is available.
func TestRecordedAnswerIsReplayedWithoutTarget(t *testing.T) {
	runWithCluster(t, fireflysaddle.KindService, func(t *testing.T, w *testCluster) {
		is := is.New(t)
		first := w.post(t.Context(), "entry-1", "case-1", "case-1", nil)
		is.Equal(first.kind, "answer")
		w.killAgent()
		time.Sleep(5 * time.Second)
		resend := w.post(t.Context(), "entry-2", "case-1", "case-1", nil)
		is.Equal(resend.kind, "answer")
		is.Equal(resend.body, first.body)
		reused := w.post(t.Context(), "entry-2", "case-1", "another body", nil)
		is.Equal(reused.code, "key_reused") // same key, another body
		is.Equal(reused.kind, "no")
		fresh := w.post(t.Context(), "entry-2", "case-2", "case-2", nil)
		is.Equal(fresh.kind, "no") // no recorded answer and no target
	})
}

// The caller disconnects while its call runs. The call continues and its outcome is
// recorded.
func TestOutcomeIsRecordedWhenCallerDisconnects(t *testing.T) {
	runWithCluster(t, fireflysaddle.KindService, func(t *testing.T, w *testCluster) {
		is := is.New(t)
		ctx, disconnect := context.WithCancel(t.Context())
		w.watchKey("case-1")
		w.onStep(stepRunning, disconnect)
		is.Equal(w.post(ctx, "entry-1", "case-1", "case-1", nil).kind, "gone")
		time.Sleep(5 * time.Second)
		w.killAgent() // only the record is left
		time.Sleep(5 * time.Second)
		is.Equal(w.post(t.Context(), "entry-2", "case-1", "case-1", nil).kind, "answer")
		is.Equal(w.executionLog.countBody("case-1"), 1)
	})
}

// The caller disconnects while its call waits in the agent's queue. The call still
// runs, without a resend.
func TestQueuedCallContinuesWhenCallerDisconnects(t *testing.T) {
	runWithCluster(t, fireflysaddle.KindService, func(t *testing.T, w *testCluster) {
		is := is.New(t)
		release := w.occupySlot()
		ctx, disconnect := context.WithCancel(t.Context())
		w.watchKey("case-1")
		w.spawn(func(context.Context) {
			w.awaitQueued()
			disconnect()
			time.Sleep(clusterSettleTime)
			release()
		})
		is.Equal(w.post(ctx, "entry-1", "case-1", "case-1", nil).kind, "gone")
		time.Sleep(5 * time.Second)
		is.Equal(w.executionLog.countBody("case-1"), 1)
		resend := w.post(t.Context(), "entry-2", "case-1", "case-1", nil)
		is.Equal(resend.kind, "answer")
		is.True(resend.replayed)
		is.Equal(w.executionLog.countBody("case-1"), 1)
	})
}

// The entry is killed after it has the answer and before the answer is recorded. The
// caller resends long after its deadline, and the call must not run a second time.
func TestResendLongAfterTheDeadlineDoesNotRunAgain(t *testing.T) {
	for _, after := range []time.Duration{time.Minute, 3 * time.Minute, 10 * time.Minute} {
		t.Run(after.String(), func(t *testing.T) {
			runWithCluster(t, fireflysaddle.KindService, func(t *testing.T, w *testCluster) {
				is := is.New(t)
				w.watchKey("case-1")
				w.onStep(stepAnswerEnded, func() { w.killEntry("entry-1") })
				w.onStep(stepAnswerStarted, func() { w.control.setMajority(false) })
				is.Equal(w.post(t.Context(), "entry-1", "case-1", "case-1", nil).kind == "no", false)
				w.killEntry("entry-1") // in case the hook of stepAnswerEnded has not run
				w.control.setMajority(true)
				time.Sleep(after)
				resend := w.post(t.Context(), "entry-2", "case-1", "case-1", nil)
				is.True(resend.kind == "answer" || resend.kind == "unknown")
				is.Equal(w.executionLog.countBody("case-1"), 1)
			})
		})
	}
}

// The connection becomes unresponsive before the request reaches the agent. The agent
// seals the attempt, and the retry goes to the same agent, since there is no other.
func TestSealedAttemptIsRetriedAtSameAgent(t *testing.T) {
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

// A refused request releases its claim: the resend runs although the agent named in
// the claim does not return.
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

// The agent is lost permanently after the target started to run the request. The
// outcome cannot be determined: each resend gets "unknown", and the request is not run
// again.
func TestOutcomeAtLostAgentStaysUnknown(t *testing.T) {
	runWithCluster(t, fireflysaddle.KindService, func(t *testing.T, w *testCluster) {
		is := is.New(t)
		w.watchKey("case-1")
		w.onStep(stepRunning, func() { w.killAgent() })
		is.Equal(w.post(t.Context(), "entry-1", "case-1", "case-1", nil).kind, "unknown")
		w.startAgent("agent-2", 1, fireflysaddle.KindService)
		time.Sleep(clusterSettleTime)
		for range 3 {
			resend := w.post(t.Context(), "entry-2", "case-1", "case-1", nil)
			is.Equal(resend.kind, "unknown")
			is.True(strings.Contains(resend.body, "target-of-agent-1")) // names the target to inspect
			time.Sleep(time.Minute)
		}
		is.Equal(w.executionLog.countBody("case-1"), 1)
	})
}

// The deadline passes while the service runs the call. The outcome is recorded when it
// arrives, and a resend gets it.
func TestOutcomeAfterTheDeadlineIsRecorded(t *testing.T) {
	runWithCluster(t, fireflysaddle.KindService, func(t *testing.T, w *testCluster) {
		is := is.New(t)
		w.currentAgent().testTarget.delay = 5 * time.Second
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

// An answer too large to be recorded is delivered completely; a resend is told that
// the request ran.
func TestLargeAnswerIsDeliveredAndNotRecorded(t *testing.T) {
	runWithCluster(t, fireflysaddle.KindService, func(t *testing.T, w *testCluster) {
		is := is.New(t)
		answer := bytes.Repeat([]byte("0123456789abcdef"), 6<<20/16)
		w.currentAgent().testTarget.answer = answer
		first := w.post(t.Context(), "entry-1", "case-1", "case-1", nil)
		is.Equal(first.kind, "answer")
		is.Equal(len(first.body), len(answer))
		is.True(w.control.stateSize() < 1<<20) // bytes of the replicated state
		resend := w.post(t.Context(), "entry-2", "case-1", "case-1", nil)
		is.Equal(resend.kind, "yes")
		is.Equal(resend.code, "answer_not_kept")
		is.Equal(w.executionLog.countBody("case-1"), 1)
	})
}

// Without a control majority, a keyed request is refused as not run, with Retry-After
// and long before its deadline.
func TestKeyedRequestIsRefusedWithoutMajority(t *testing.T) {
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

// A request is duplicated on the way to the agent. The refusal of the duplicate must
// not be reported to the caller as "not run".
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
