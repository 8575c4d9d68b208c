package saddlectl_test

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle/internal/admin/saddleadmin"
	"github.com/fireflysaddle/fireflysaddle/internal/command/saddlectl"
	"github.com/fireflysaddle/fireflysaddle/internal/config/saddlesettings"
	"github.com/fireflysaddle/fireflysaddle/internal/standin/saddleprocess"
	"github.com/fireflysaddle/fireflysaddle/internal/trace/saddletimeline"
)

const (
	markerPrompt = "marker-of-the-prompt"
	markerKey    = "marker-of-the-key"
	markerBody   = "marker-of-the-body"
)

// The timeline covers the events of a request on all processes, control replicas
// included, and names a process that has stopped.
func TestTimelineCoversControlReplicas(t *testing.T) {
	is := is.New(t)
	d := newInProcessFleet(t)
	is.Equal(d.apply(t, markerKey).code, saddlectl.ExitOK)
	answer := d.postUntilAvailable(t, "/v1/completions", markerKey, `{"model":"mastori","prompt":"wall","max_tokens":2}`)
	is.True(strings.HasPrefix(answer, "200 "))

	view := decode[struct{ Events []saddletimeline.Event }](t, run(t, "timeline", "-json", "-controls", d.controls).out)
	seen := map[string]map[string]bool{}
	for _, e := range view.Events {
		if seen[e.Node] == nil {
			seen[e.Node] = map[string]bool{}
		}
		seen[e.Node][e.Name] = true
	}
	for _, node := range []string{"control-1", "control-2", "control-3"} {
		is.True(seen[node]["configuration"])
	}
	is.True(seen["entry-1"]["draft_received"])
	is.True(seen["agent-mastori-1"]["draft_start"])

	d.stopByProcess["control-3"]()
	got := run(t, "timeline", "-controls", d.controls)
	is.Equal(got.code, saddlectl.ExitOK)
	is.True(strings.Contains(got.out, "could not reach control-3"))
}

// After a control replica is replaced, nodes subscribe to the new replica without a
// change of their settings. If they did not, the new replica could not report what is in
// force on them once it is the leader.
func TestNodesSubscribeToAReplacementControlReplica(t *testing.T) {
	is := is.New(t)
	d := newInProcessFleet(t)
	is.Equal(d.apply(t, markerKey).code, saddlectl.ExitOK)
	d.stopByProcess["control-3"]()
	added := saddlesettings.Replica{Node: "control-4", Address: freeAddress(t)}
	d.replicas[2] = added
	admin := d.startControl(t, added, true)
	got := run(t, "control-replace", "control-3", "control-4", added.Address, "-wait", "-controls", d.controls)
	is.Equal(got.code, saddlectl.ExitOK)

	for _, node := range []string{"entry-1", "agent-mastori-1", "control-1"} {
		saddleprocess.Await(t, node+" to subscribe to control-4", awaitTimeout, func() error {
			events := decode[[]saddletimeline.Event](t, get(t, admin+saddleadmin.PathTimeline))
			if !slices.ContainsFunc(events, func(e saddletimeline.Event) bool { return e.Name == "member" && e.Subject == node }) {
				return fmt.Errorf("no member event among %d events", len(events))
			}
			return nil
		})
	}
}

// Prompts, keys and request bodies must not appear in logs, timelines or errors.
func TestLogsAndTimelinesContainNoCallerData(t *testing.T) {
	is := is.New(t)
	d := newInProcessFleet(t)
	is.Equal(d.apply(t, markerKey).code, saddlectl.ExitOK)
	draft := d.postUntilAvailable(t, "/v1/completions", markerKey, `{"model":"mastori","prompt":"`+markerPrompt+`","max_tokens":2}`)
	is.True(strings.HasPrefix(draft, "200 "))
	call := d.postUntilAvailable(t, "/services/grammateia/results", markerKey, `{"entrant":"`+markerBody+`"}`)
	is.True(strings.HasPrefix(call, "201 "))
	errorBodies := d.postUntilAvailable(t, "/v1/completions", markerKey, `{"model":"none","prompt":"`+markerPrompt+`","max_tokens":2}`)
	errorBodies += d.postUntilAvailable(t, "/v1/completions", markerKey, `{"model":"mastori","prompt":"`+markerPrompt)
	errorBodies += d.postUntilAvailable(t, "/services/none/results", markerKey, markerBody)
	errorBodies += d.postUntilAvailable(t, "/v1/completions", markerKey+"-wrong", `{"prompt":"`+markerPrompt+`"}`)
	errorBodies += d.postUntilAvailable(t, "/services/grammateia/results", markerKey, `{"entrant":"`+markerBody+` again"}`) // idempotency key reused with another body

	text := errorBodies + d.logs.String() + run(t, "timeline", "-json", "-controls", d.controls).out
	for _, admin := range d.admins {
		text += get(t, admin+saddleadmin.PathCounters) + get(t, admin+saddleadmin.PathTimeline)
	}
	is.True(strings.Contains(text, "draft_received")) // the searched text is not empty
	is.True(strings.Contains(text, "started"))
	for _, marker := range []string{markerPrompt, markerKey, markerBody} {
		is.True(!strings.Contains(text, marker))
	}
}

func get(t *testing.T, url string) string {
	t.Helper()
	resp, err := http.Get("http://" + url)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}
