package saddleentry_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle"
)

// Guards against requests that wait for a slot of a stopping agent's target being cut at its
// shutdown timeout, or started shortly before it, in place of going to another target at once.
func TestRequestsThatWaitAtAStoppingAgentAreNotRunThere(t *testing.T) {
	for name, c := range map[string]struct {
		kind   fireflysaddle.TargetKind
		method string // of the call
		other  bool   // there is another target
		result string
	}{
		"call that must not be repeated, another target": {fireflysaddle.KindService, http.MethodPost, true, "answer"},
		"call that must not be repeated, only target":    {fireflysaddle.KindService, http.MethodPost, false, "no"},
		"idempotent call, another target":                {fireflysaddle.KindService, http.MethodGet, true, "answer"},
		"idempotent call, only target":                   {fireflysaddle.KindService, http.MethodGet, false, "no"},
		"draft, another target":                          {fireflysaddle.KindEngine, "", true, "answer"},
		"draft, only target":                             {fireflysaddle.KindEngine, "", false, "no"},
	} {
		t.Run(name, func(t *testing.T) {
			runWithCluster(t, c.kind, func(t *testing.T, w *testCluster) {
				is := is.New(t)
				release := w.occupySlot()
				results := make(chan callerResult, 1)
				go func() {
					timeout := map[string]string{"X-Timeout-Ms": "40000"}
					if c.kind == fireflysaddle.KindEngine {
						out, _ := w.draft(t.Context(), "entry-1", "form", 4, timeout)
						results <- out
						return
					}
					results <- w.do(t.Context(), "entry-1", c.method, "/services/"+serviceGroup+"/cases", "", "form", timeout)
				}()
				w.awaitQueued()
				if c.other {
					w.startAgent("agent-2", 1, c.kind)
					time.Sleep(clusterSettleTime)
				}
				w.currentAgent().stop()
				stopped := time.Now()
				out := <-results
				elapsed := time.Since(stopped)
				release()
				time.Sleep(time.Minute) // a late start would have been seen, and the occupant has ended
				is.Equal(out.kind, c.result)
				if c.other {
					is.True(elapsed < time.Second)
					is.Equal(w.executionLog.countBody("form"), 1)
					return
				}
				is.True(out.retryAfter != "")
				is.Equal(w.executionLog.countBody("form"), 0)
			})
		})
	}
}
