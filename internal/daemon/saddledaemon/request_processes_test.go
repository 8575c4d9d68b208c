package saddledaemon_test

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle/internal/standin/saddleprocess"
	"github.com/fireflysaddle/fireflysaddle/internal/standin/saddlestandin"
)

const (
	caseBody = `{"case":"under test"}`
	caseKey  = "case-under-test"
)

// filingFixture is a desk behind its agent, two entries, and the moment at
// which the desk has run a filing and has not answered it.
type filingFixture struct {
	desk    *saddlestandin.Service
	agent   *saddleprocess.Agent
	entries []*saddleprocess.Entry
	ran     chan struct{} // closed when the desk ran the case under test
	release func()        // lets the desk answer
}

func newFilingFixture(t *testing.T) *filingFixture {
	t.Helper()
	fleet := saddleprocess.New(t, 3)
	f := &filingFixture{ran: make(chan struct{})}
	f.desk, f.agent = startDesk(t, fleet)
	for _, node := range []string{"entry-1", "entry-2"} {
		f.entries = append(f.entries, fleet.StartEntry(t, node, `lame_duck = "100ms"`))
	}
	for _, p := range append([]*saddleprocess.Process{f.agent.Process, f.entries[0].Process, f.entries[1].Process}, fleet.Controls...) {
		p.AwaitReady(t)
	}
	fleet.RunSaddlectl(t, "apply", fleetFile, "-wait")
	for _, e := range f.entries {
		awaitPost(t, e.Listen, "warm", `{"case":"warm"}`)
	}
	answer := make(chan struct{})
	f.release = sync.OnceFunc(func() { close(answer) })
	t.Cleanup(f.release)
	ran := sync.OnceFunc(func() { close(f.ran) })
	f.desk.AfterCall(func(c saddlestandin.ServiceCall) bool {
		if c.Body == caseBody {
			ran()
			<-answer
		}
		return false
	})
	return f
}

// executions returns how often the case under test ran.
func (f *filingFixture) executions() int {
	n := 0
	for _, c := range f.desk.Calls() {
		if c.Body == caseBody {
			n++
		}
	}
	return n
}

// file files the case under test and returns the status and what was said of
// whether it ran; no status where the connection broke.
func (f *filingFixture) file(entry int) (status int, ran string) {
	resp, err := post(f.entries[entry].Listen, "/services/filing-desk/cases", caseKey, caseBody)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	var body struct {
		Error struct{ Ran string }
	}
	text, err := io.ReadAll(resp.Body)
	if err != nil || json.Unmarshal(text, &body) != nil {
		return 0, ""
	}
	return resp.StatusCode, body.Error.Ran
}

// filed is what a caller got.
type filed struct {
	status int
	ran    string
}

// fileInBackground files through the first entry and returns once the desk ran
// the case.
func (f *filingFixture) fileInBackground() <-chan filed {
	out := make(chan filed, 1)
	go func() {
		status, ran := f.file(0)
		out <- filed{status: status, ran: ran}
	}()
	<-f.ran
	return out
}

// The entry is killed after it dispatched a filing; the caller resends it
// through the other entry.
func TestAKilledEntryNeitherLosesNorRepeatsAFiling(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFilingFixture(t)
	first := f.fileInBackground()
	f.entries[0].Kill()
	is.Equal((<-first).status, 0) // the connection broke
	f.release()
	awaitPost(t, f.entries[1].Listen, caseKey, caseBody)
	is.Equal(f.executions(), 1)
}

// The entry's process is stopped after it dispatched a filing; the caller
// resends it through the other entry, and the first goes on later.
func TestAFrozenEntryNeitherLosesNorRepeatsAFiling(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFilingFixture(t)
	first := f.fileInBackground()
	f.entries[0].Freeze(t)
	f.release()
	awaitPost(t, f.entries[1].Listen, caseKey, caseBody)
	f.entries[0].Thaw()
	is.Equal((<-first).status, http.StatusCreated) // it learns the outcome
	is.Equal(f.executions(), 1)
}

// The agent's process is stopped while the desk runs a filing: nobody can say
// what became of it until the process goes on.
func TestAFrozenAgentNeitherLosesNorRepeatsAFiling(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFilingFixture(t)
	first := f.fileInBackground()
	f.agent.Freeze(t)
	f.release()
	got := <-first
	is.Equal(got.ran, "unknown")
	is.Equal(got.status, http.StatusConflict)
	f.agent.Thaw()
	awaitPost(t, f.entries[1].Listen, caseKey, caseBody)
	is.Equal(f.executions(), 1)
}

// The agent is killed after the desk ran a filing: the outcome is unknown, also
// once the agent is back, and nothing runs it again.
func TestAKilledAgentLeavesAFilingUnknownAndRunOnce(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFilingFixture(t)
	first := f.fileInBackground()
	f.agent.Kill()
	f.release()
	is.Equal((<-first).ran, "unknown")
	_, ran := f.file(1)
	is.Equal(ran, "unknown")
	f.agent.Start(t)
	f.agent.AwaitReady(t)
	for entry := range f.entries {
		_, ran := f.file(entry)
		is.Equal(ran, "unknown")
	}
	is.Equal(f.executions(), 1)
}
