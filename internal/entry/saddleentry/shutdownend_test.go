package saddleentry_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/entry/saddleentry"
)

const (
	endingEntry    = "entry-3"
	endingLameDuck = time.Second
	endingTimeout  = 4 * time.Second
	deliveryTime   = time.Millisecond // until callers have read what was sent
	longDraft      = 200              // tokens, which take longer than endingLameDuck and endingTimeout
	shortDraft     = 20               // tokens, which take 1 s
)

// startEndingEntry starts an entry with a shutdown timeout, whose process is killed when its
// shutdown ends. The returned function begins the shutdown.
func (w *testCluster) startEndingEntry() (stop func()) {
	w.t.Helper()
	s, cleanup, err := saddleentry.New(saddleentry.Config{
		Node: endingEntry, Incarnation: 1, Centre: "centre-1", Listen: endingEntry + ":1",
		Controls: []string{controlAddress}, HeartbeatInterval: 500 * time.Millisecond, ControlSilenceTimeout: 2 * time.Second,
		CallSilenceTimeout: callSilenceTimeout, BodyLimit: 1 << 20, MaxTimeout: time.Minute, Seed: 1,
		LameDuck: endingLameDuck, ShutdownTimeout: endingTimeout, Log: zerolog.Nop(), Network: w.net.forProcess(endingEntry),
	})
	if err != nil {
		w.t.Fatal(err)
	}
	stopped := make(chan struct{})
	w.wg.Go(func() {
		_ = s.Run(w.ctx, stopped)
		time.Sleep(deliveryTime) // kill discards what was sent, unlike the end of a process
		w.net.kill(endingEntry)
		_ = cleanup()
	})
	time.Sleep(clusterSettleTime)
	return func() { close(stopped) }
}

// streamedDraft requests n tokens as server-sent events.
func (w *testCluster) streamedDraft(entry, prompt string, n int) callerResult {
	body := fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":%d,"stream":true}`, modelGroup, prompt, n)
	return w.do(context.Background(), entry, http.MethodPost, "/v1/completions", "", body, map[string]string{"X-Timeout-Ms": "60000"})
}

// Guards against streams that a stopping entry accepts, or has not begun to answer when it is
// told to stop, being cut at its shutdown timeout.
func TestStreamsAreNotCutAtTheShutdownTimeout(t *testing.T) {
	for name, c := range map[string]struct {
		after    time.Duration // from the stop until the draft is sent
		tokens   int
		occupied time.Duration // from the stop until the slot is released
		kind     string
	}{
		"long, after the stop":                      {after: 500 * time.Millisecond, tokens: longDraft, kind: "yes"},
		"short, after the stop":                     {after: 500 * time.Millisecond, tokens: shortDraft, kind: "answer"},
		"long, sent before, queued until the stop":  {after: -time.Second, tokens: longDraft, occupied: 10 * time.Millisecond, kind: "yes"},
		"short, sent before, queued until the stop": {after: -time.Second, tokens: shortDraft, occupied: 10 * time.Millisecond, kind: "answer"},
		"sent before, queued until the end":         {after: -time.Second, tokens: shortDraft, occupied: time.Hour, kind: "unknown"},
		"sent after, queued until the end":          {after: 500 * time.Millisecond, tokens: shortDraft, occupied: time.Hour, kind: "unknown"},
	} {
		t.Run(name, func(t *testing.T) {
			runWithCluster(t, fireflysaddle.KindEngine, func(t *testing.T, w *testCluster) {
				is := is.New(t)
				stop := w.startEndingEntry()
				release := func() {}
				if c.occupied > 0 {
					release = w.occupySlot()
					defer release()
				}
				time.AfterFunc(max(-c.after, 0), stop)
				time.AfterFunc(max(-c.after, 0)+min(c.occupied, 10*time.Second), release)
				time.Sleep(max(c.after, 0))
				out := w.streamedDraft(endingEntry, "form", c.tokens)
				time.Sleep(clusterSettleTime + 10*time.Second)
				is.Equal(out.kind, c.kind)
				if c.kind == "answer" {
					is.True(strings.HasSuffix(out.body, "data: [DONE]\n\n"))
					return
				}
				is.Equal(out.code, string(fireflysaddle.CodeLeaving))
				is.True(out.retryAfter != "")
				is.True(out.elapsed < max(-c.after, 0)+endingLameDuck+endingTimeout)
			})
		})
	}
}

// Guards against callers who wait until the shutdown timeout for a draft whose target knows at once
// that it lasts longer.
func TestDraftThatOutlastsTheStoppingEntryIsRefusedAtOnce(t *testing.T) {
	runWithCluster(t, fireflysaddle.KindEngine, func(t *testing.T, w *testCluster) {
		is := is.New(t)
		for range 20 { // the target measures its rate
			is.Equal(w.streamedDraft("entry-2", "measured", shortDraft).kind, "answer")
		}
		stop := w.startEndingEntry()
		is.Equal(w.streamedDraft(endingEntry, "before", longDraft).kind, "answer")
		stop()
		time.Sleep(endingLameDuck / 2)
		out := w.streamedDraft(endingEntry, "long", longDraft)
		is.Equal(out.kind, "no")
		is.Equal(out.code, string(fireflysaddle.CodeLeaving))
		is.True(out.retryAfter != "")
		is.True(out.elapsed < 100*time.Millisecond)
		is.Equal(w.executionLog.countBody("long"), 0)
		is.Equal(w.streamedDraft(endingEntry, "short", shortDraft).kind, "answer")
	})
}

// Guards against a stream that began before the stop ending at the shutdown timeout without
// telling its caller.
func TestStreamInProgressAtTheShutdownTimeoutEndsWithAFailure(t *testing.T) {
	runWithCluster(t, fireflysaddle.KindEngine, func(t *testing.T, w *testCluster) {
		is := is.New(t)
		time.AfterFunc(time.Second, w.startEndingEntry())
		out := w.streamedDraft(endingEntry, "form", longDraft)
		is.Equal(out.kind, "answer")
		is.True(strings.Contains(out.body, token("form", 0)))
		is.True(!strings.Contains(out.body, "[DONE]"))
		is.True(strings.Contains(out.body, `{"error":{"code":"leaving"`))
		is.True(strings.Contains(out.body, `"ran":"yes"`))
	})
}

// Guards against calls without an answer being cut at the shutdown timeout, and against a failure
// that says "not run" of a call that runs or "unknown" of one that never will.
func TestCallsWithoutAnAnswerAreRefusedBeforeTheShutdownTimeout(t *testing.T) {
	for name, c := range map[string]struct {
		method, key string
		occupied    bool
		silent      bool // nothing reaches the agent any more shortly before the end
		kind        string
	}{
		"idempotent, running":                {method: http.MethodGet, kind: "unknown"},
		"idempotent, queued":                 {method: http.MethodGet, occupied: true, kind: "unknown"},
		"without a key, running":             {method: http.MethodPost, kind: "unknown"},
		"without a key, queued":              {method: http.MethodPost, occupied: true, kind: "no"},
		"without a key, running, agent lost": {method: http.MethodPost, silent: true, kind: "unknown"},
		"with a key, running":                {method: http.MethodPost, key: "case-1", kind: "unknown"},
		"with a key, queued":                 {method: http.MethodPost, key: "case-1", occupied: true, kind: "no"},
	} {
		t.Run(name, func(t *testing.T) {
			runWithCluster(t, fireflysaddle.KindService, func(t *testing.T, w *testCluster) {
				is := is.New(t)
				stop := w.startEndingEntry()
				release := func() {}
				if c.occupied {
					release = w.occupySlot()
					defer release()
				}
				w.currentAgent().testTarget.delay = 20 * time.Second
				if c.silent {
					w.schedule(4500*time.Millisecond, func() { w.net.setCut(endingEntry, "agent-1", true) })
				}
				stop()
				time.Sleep(endingLameDuck / 2)
				out := w.do(t.Context(), endingEntry, c.method, "/services/"+serviceGroup+"/cases", c.key, "case-1", map[string]string{"X-Timeout-Ms": "60000"})
				is.Equal(out.kind, c.kind)
				is.True(out.elapsed < endingLameDuck/2+endingTimeout)
				release()
				time.Sleep(time.Minute)
				if c.kind == "no" {
					is.Equal(w.executionLog.countRequest(out.request), 0)
				}
			})
		})
	}
}

// Guards against a request whose body is incomplete being cut at the shutdown timeout.
func TestRequestWithAnIncompleteBodyIsRefusedBeforeTheShutdownTimeout(t *testing.T) {
	runWithCluster(t, fireflysaddle.KindService, func(t *testing.T, w *testCluster) {
		is := is.New(t)
		w.startEndingEntry()()
		body, rest := io.Pipe()
		defer func() { _ = rest.Close() }()
		time.AfterFunc(2*(endingLameDuck+endingTimeout), func() { _ = rest.Close() }) // the client waits for it
		go func() { _, _ = io.WriteString(rest, "ca") }()
		req, err := http.NewRequest(http.MethodPost, "http://"+endingEntry+":1/services/"+serviceGroup+"/cases", body)
		is.NoErr(err)
		req.ContentLength = 6
		req.Header.Set("Authorization", "Bearer "+callerKey)
		resp, err := w.client("caller").Do(req)
		is.NoErr(err)
		text, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		is.NoErr(resp.Body.Close())
		is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
		is.True(strings.Contains(string(text), `"code":"leaving"`))
		is.True(strings.Contains(string(text), `"ran":"no"`))
	})
}
