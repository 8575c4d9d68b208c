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

// draft asks for n tokens and returns what the caller got and the text.
func (w *testCluster) draft(ctx context.Context, entry, prompt string, n int, headers map[string]string) (callerResult, string) {
	body := fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":%d}`, modelGroup, prompt, n)
	out := w.do(ctx, entry, "POST", "/v1/completions", "", body, headers)
	var whole struct {
		Choices []struct{ Text string }
	}
	if json.Unmarshal([]byte(out.body), &whole) != nil || len(whole.Choices) == 0 {
		return out, ""
	}
	return out, whole.Choices[0].Text
}

func tokens(prompt string, n int) string {
	var text strings.Builder
	for i := range n {
		text.WriteString(token(prompt, i))
	}
	return text.String()
}

// An attempt ran and was lost before its first token, and then there is no
// target: that is not "not run".
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

// The same for a call that may be repeated.
func TestLostIdempotentCallIsNotReportedAsNotRun(t *testing.T) {
	runWithCluster(t, fireflysaddle.KindService, func(t *testing.T, w *testCluster) {
		is := is.New(t)
		w.watchKey("case-1")
		w.onStep(stepRunning, func() { w.killAgent() })
		out := w.do(t.Context(), "entry-1", "GET", "/services/"+deskGroup+"/cases", "", "case-1", nil)
		is.Equal(w.executionLog.countBody("case-1"), 1)
		is.Equal(out.kind, "unknown")
	})
}

// The connection breaks between the last token and the end: the caller has the
// whole answer, and nothing is generated anew.
func TestDraftIsCompleteAfterLastToken(t *testing.T) {
	runWithCluster(t, fireflysaddle.KindEngine, func(t *testing.T, w *testCluster) {
		is := is.New(t)
		w.watchKey("form")
		w.onToken = func(n int) {
			if n == 3 {
				time.Sleep(10 * time.Millisecond) // for the token to arrive
				w.net.reset("entry-1", "agent-1")
			}
		}
		out, text := w.draft(t.Context(), "entry-1", "form", 4, nil)
		is.Equal(out.kind, "answer")
		is.Equal(text, tokens("form", 4))
		is.Equal(w.executionLog.countBody("form"), 1)
	})
}

// A connection breaks in the middle: the next attempt goes on where the
// caller's answer stands.
func TestDraftResumesAfterBrokenConnection(t *testing.T) {
	runWithCluster(t, fireflysaddle.KindEngine, func(t *testing.T, w *testCluster) {
		is := is.New(t)
		w.watchKey("form")
		broken := false
		w.onToken = func(n int) {
			if n == 1 && !broken {
				broken = true
				w.net.reset("entry-1", "agent-1")
			}
		}
		out, text := w.draft(t.Context(), "entry-1", "form", 6, nil)
		is.Equal(out.kind, "answer")
		is.Equal(text, tokens("form", 6))
	})
}

// The first attempt still waits at the agent, on a connection that has gone
// silent, when the second comes.
func TestSecondAttemptAtAgentThatHoldsFirst(t *testing.T) {
	runWithCluster(t, fireflysaddle.KindEngine, func(t *testing.T, w *testCluster) {
		is := is.New(t)
		go w.draft(t.Context(), "entry-2", "long", 200, nil) // 10 s in the only slot
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

// Tokens that come twice or out of order never reach the caller so: its answer
// is whole, or it is told that there is none.
func TestCopiedAndReorderedTokens(t *testing.T) {
	for name, c := range map[string]struct {
		mode  relayMode
		lasts time.Duration
		kind  string
	}{
		"twice for a while":     {mode: relayDuplicateAnswer, lasts: 200 * time.Millisecond, kind: "answer"},
		"twice for good":        {mode: relayDuplicateAnswer, lasts: time.Hour, kind: "answer"}, // one token an attempt
		"reordered for a while": {mode: relayForeignAnswerFirst, lasts: 200 * time.Millisecond, kind: "answer"},
		"reordered for good":    {mode: relayForeignAnswerFirst, lasts: time.Hour, kind: "unknown"},
	} {
		t.Run(name, func(t *testing.T) {
			runWithCluster(t, fireflysaddle.KindEngine, func(t *testing.T, w *testCluster) {
				is := is.New(t)
				w.startRelay()
				w.relay.setMode(c.mode)
				w.schedule(c.lasts, func() { w.relay.setMode(relayPass) })
				out, text := w.draft(t.Context(), "entry-1", "form", 6, nil)
				is.Equal(out.kind, c.kind)
				if c.kind == "answer" {
					is.Equal(text, tokens("form", 6))
				}
			})
		})
	}
}

// A caller gets the answer to its own draft, also when many are in flight.
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
