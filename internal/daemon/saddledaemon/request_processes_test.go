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
	filingBody = `{"case":"under test"}`
	filingKey  = "case-under-test"
)

// filingFixture is a service with an agent and two entries. A filing is a POST request to
// this service. It is not idempotent: the service must not execute it a second time. The
// request under test is a filing with an idempotency key. The service executes it but
// withholds the answer until releaseAnswer is called.
type filingFixture struct {
	service       *saddlestandin.Service
	agent         *saddleprocess.Agent
	entries       []*saddleprocess.Entry
	executed      chan struct{} // closed when the service has executed the request under test
	releaseAnswer func()        // makes the service answer
}

func newFilingFixture(t *testing.T) *filingFixture {
	t.Helper()
	fleet := saddleprocess.New(t, 3)
	f := &filingFixture{executed: make(chan struct{})}
	f.service, f.agent = startFilingService(t, fleet)
	for _, node := range []string{"entry-1", "entry-2"} {
		f.entries = append(f.entries, fleet.StartEntry(t, node, `lame_duck = "100ms"`))
	}
	for _, p := range append([]*saddleprocess.Process{f.agent.Process, f.entries[0].Process, f.entries[1].Process}, fleet.Controls...) {
		p.AwaitReady(t)
	}
	fleet.RunSaddlectl(t, "apply", fleetFile, "-wait")
	for _, e := range f.entries {
		awaitServiceAnswer(t, e.Listen, "warm", `{"case":"warm"}`)
	}
	answerReleased := make(chan struct{})
	f.releaseAnswer = sync.OnceFunc(func() { close(answerReleased) })
	t.Cleanup(f.releaseAnswer)
	markExecuted := sync.OnceFunc(func() { close(f.executed) })
	f.service.AfterCall(func(c saddlestandin.ServiceCall) bool {
		if c.Body == filingBody {
			markExecuted()
			<-answerReleased
		}
		return false
	})
	return f
}

// executions returns how often the service executed the request under test.
func (f *filingFixture) executions() int {
	n := 0
	for _, c := range f.service.Calls() {
		if c.Body == filingBody {
			n++
		}
	}
	return n
}

// sendFiling sends the request under test and returns the HTTP status. For an error response
// it also returns the execution status (JSON field ran). The HTTP status is 0 if the
// connection broke or the response is not JSON.
func (f *filingFixture) sendFiling(entry int) (httpStatus int, executionStatus string) {
	resp, err := post(f.entries[entry].Listen, "/services/filing-desk/cases", filingKey, filingBody)
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

// filingOutcome is the response that a caller received.
type filingOutcome struct {
	httpStatus      int
	executionStatus string
}

// sendFilingInBackground sends the request under test through the first entry and returns
// once the service has executed it.
func (f *filingFixture) sendFilingInBackground() <-chan filingOutcome {
	out := make(chan filingOutcome, 1)
	go func() {
		httpStatus, executionStatus := f.sendFiling(0)
		out <- filingOutcome{httpStatus: httpStatus, executionStatus: executionStatus}
	}()
	<-f.executed
	return out
}

// The entry is killed after it dispatched a request. The caller resends the request through
// the other entry, and the service must execute it only once.
func TestKilledEntryNeitherLosesNorRepeatsFiling(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFilingFixture(t)
	outcome := f.sendFilingInBackground()
	f.entries[0].Kill()
	is.Equal((<-outcome).httpStatus, 0) // the connection broke
	f.releaseAnswer()
	awaitServiceAnswer(t, f.entries[1].Listen, filingKey, filingBody)
	is.Equal(f.executions(), 1)
}

// The entry's process is frozen after it dispatched a request. The caller resends the
// request through the other entry, and the first entry resumes later. The service must
// execute the request only once.
func TestFrozenEntryNeitherLosesNorRepeatsFiling(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFilingFixture(t)
	outcome := f.sendFilingInBackground()
	f.entries[0].Freeze(t)
	f.releaseAnswer()
	awaitServiceAnswer(t, f.entries[1].Listen, filingKey, filingBody)
	f.entries[0].Thaw()
	is.Equal((<-outcome).httpStatus, http.StatusCreated) // the resumed entry receives the answer
	is.Equal(f.executions(), 1)
}

// The agent's process is frozen while the service executes a request. The execution status
// is unknown until the process resumes, and the request must not be executed again.
func TestFrozenAgentNeitherLosesNorRepeatsFiling(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFilingFixture(t)
	outcome := f.sendFilingInBackground()
	f.agent.Freeze(t)
	f.releaseAnswer()
	got := <-outcome
	is.Equal(got.executionStatus, "unknown")
	is.Equal(got.httpStatus, http.StatusConflict)
	f.agent.Thaw()
	awaitServiceAnswer(t, f.entries[1].Listen, filingKey, filingBody)
	is.Equal(f.executions(), 1)
}

// The agent is killed after the service executed a request. The execution status stays
// unknown, also after the agent restarts, and the request must not be executed again.
func TestKilledAgentLeavesFilingUnknownAndExecutedOnce(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFilingFixture(t)
	outcome := f.sendFilingInBackground()
	f.agent.Kill()
	f.releaseAnswer()
	is.Equal((<-outcome).executionStatus, "unknown")
	_, executionStatus := f.sendFiling(1)
	is.Equal(executionStatus, "unknown")
	f.agent.Start(t)
	f.agent.AwaitReady(t)
	for entry := range f.entries {
		_, executionStatus := f.sendFiling(entry)
		is.Equal(executionStatus, "unknown")
	}
	is.Equal(f.executions(), 1)
}
