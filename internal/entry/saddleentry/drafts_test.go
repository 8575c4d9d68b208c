package saddleentry_test

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle"
)

// draft requests n tokens through an entry and returns the caller's result and the text.
func (w *testCluster) draft(ctx context.Context, entry, prompt string, n int, headers map[string]string) (callerResult, string) {
	body := fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":%d}`, modelGroup, prompt, n)
	out := w.do(ctx, entry, "POST", "/v1/completions", "", body, headers)
	var answer struct {
		Choices []struct{ Text string }
	}
	if json.Unmarshal([]byte(out.body), &answer) != nil || len(answer.Choices) == 0 {
		return out, ""
	}
	return out, answer.Choices[0].Text
}

func tokens(prompt string, n int) string {
	var text strings.Builder
	for i := range n {
		text.WriteString(token(prompt, i))
	}
	return text.String()
}

// An attempt runs and is lost before its first token, and no target is left for a
// retry. The failure must not state that the request was not run.
func TestLostDraftIsNotReportedAsNotRun(t *testing.T) {
	runWithCluster(t, fireflysaddle.KindEngine, func(t *testing.T, w *testCluster) {
		is := is.New(t)
		w.watchKey("form")
		w.onStep(stepRunning, func() { w.killAgent() })
		out, _ := w.draft(t.Context(), "entry-1", "form", 4, nil)
		is.Equal(w.executionLog.countBody("form"), 1)
		is.Equal(out.kind, "unknown")
		is.True(out.retryAfter != "")
	})
}

// An idempotent call runs and is lost, and no target is left for a retry. The failure
// must not state that the request was not run.
func TestLostIdempotentCallIsNotReportedAsNotRun(t *testing.T) {
	runWithCluster(t, fireflysaddle.KindService, func(t *testing.T, w *testCluster) {
		is := is.New(t)
		w.watchKey("case-1")
		w.onStep(stepRunning, func() { w.killAgent() })
		out := w.do(t.Context(), "entry-1", "GET", "/services/"+serviceGroup+"/cases", "", "case-1", nil)
		is.Equal(w.executionLog.countBody("case-1"), 1)
		is.Equal(out.kind, "unknown")
	})
}

// The connection breaks between the last token and the end-of-stream event. The
// caller has the complete answer, and nothing is generated again.
func TestDraftIsCompleteAfterLastToken(t *testing.T) {
	runWithCluster(t, fireflysaddle.KindEngine, func(t *testing.T, w *testCluster) {
		is := is.New(t)
		w.watchKey("form")
		w.onToken = func(position int) {
			if position == 3 {
				time.Sleep(10 * time.Millisecond) // virtual time; enough for the token to reach the caller
				w.net.reset("entry-1", "agent-1")
			}
		}
		out, text := w.draft(t.Context(), "entry-1", "form", 4, nil)
		is.Equal(out.kind, "answer")
		is.Equal(text, tokens("form", 4))
		is.Equal(w.executionLog.countBody("form"), 1)
	})
}

// The connection breaks during the draft. The next attempt resumes after the last
// token that was delivered to the caller.
func TestDraftResumesAfterBrokenConnection(t *testing.T) {
	runWithCluster(t, fireflysaddle.KindEngine, func(t *testing.T, w *testCluster) {
		is := is.New(t)
		w.watchKey("form")
		broken := false
		w.onToken = func(position int) {
			if position == 1 && !broken {
				broken = true
				w.net.reset("entry-1", "agent-1")
			}
		}
		out, text := w.draft(t.Context(), "entry-1", "form", 6, nil)
		is.Equal(out.kind, "answer")
		is.Equal(text, tokens("form", 6))
	})
}

// A retry reaches an agent that still queues the first attempt, because the
// connection of the first attempt became unresponsive.
func TestRetryAtAgentThatQueuesFirstAttempt(t *testing.T) {
	runWithCluster(t, fireflysaddle.KindEngine, func(t *testing.T, w *testCluster) {
		is := is.New(t)
		go w.draft(t.Context(), "entry-2", "long", 200, nil) // occupies the only slot for 10 s
		time.Sleep(clusterSettleTime)
		w.watchKey("form")
		w.onStep(stepChosen, func() {})
		go func() {
			w.awaitQueued()
			w.net.setSilent("entry-1", "agent-1", true)
		}()
		out, text := w.draft(t.Context(), "entry-1", "form", 4, map[string]string{"X-Timeout-Ms": "40000"})
		is.Equal(out.kind, "answer")
		is.Equal(text, tokens("form", 4))
		time.Sleep(clusterSettleTime)
		is.Equal(w.control.member("agent-1").GetLoad().GetRunning(), uint32(0))
	})
}

// Duplicated or reordered tokens must not reach the caller: it gets the complete
// answer or a failure.
func TestDuplicatedAndReorderedTokens(t *testing.T) {
	for name, c := range map[string]struct {
		mode         relayMode
		modeDuration time.Duration
		kind         string
	}{
		"duplicated temporarily": {mode: relayDuplicateAnswer, modeDuration: 200 * time.Millisecond, kind: "answer"},
		"duplicated permanently": {mode: relayDuplicateAnswer, modeDuration: time.Hour, kind: "answer"}, // each attempt delivers one token
		"reordered temporarily":  {mode: relayReorderAnswers, modeDuration: 200 * time.Millisecond, kind: "answer"},
		"reordered permanently":  {mode: relayReorderAnswers, modeDuration: time.Hour, kind: "unknown"},
	} {
		t.Run(name, func(t *testing.T) {
			runWithCluster(t, fireflysaddle.KindEngine, func(t *testing.T, w *testCluster) {
				is := is.New(t)
				w.startRelay()
				w.relay.setMode(c.mode)
				w.schedule(c.modeDuration, func() { w.relay.setMode(relayPass) })
				out, text := w.draft(t.Context(), "entry-1", "form", 6, nil)
				is.Equal(out.kind, c.kind)
				if c.kind == "answer" {
					is.Equal(text, tokens("form", 6))
				}
			})
		})
	}
}

// Each caller gets the answer to its own draft while many drafts are in progress.
func TestEachCallerGetsItsOwnDraft(t *testing.T) {
	runWithCluster(t, fireflysaddle.KindEngine, func(t *testing.T, w *testCluster) {
		is := is.New(t)
		texts := make(chan [2]string)
		for i := range 20 {
			go func() {
				prompt := fmt.Sprintf("form-%d", i)
				_, text := w.draft(t.Context(), fmt.Sprintf("entry-%d", i%2+1), prompt, 4, nil)
				texts <- [2]string{prompt, text}
			}()
		}
		for range 20 {
			got := <-texts
			is.Equal(got[1], tokens(got[0], 4))
		}
	})
}
