package saddleentry_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
)

const (
	faultTime = 5 * time.Second // until what can heal has healed
	caseKey   = "case-1"
	deadline  = 2 * time.Second // of the caller, where the deadline is to pass
)

// steps are the columns of the matrix, in the order in which a keyed filing
// reaches them. The entry draws a target before it claims; "chosen" is the
// moment at which it has a connection to the target's agent.
var steps = []step{
	stepReceived, stepClaimed, stepChosen, stepAdmitted, stepFirstByte,
	stepRunning, stepBegun, stepEnded, stepRecorded,
}

// fault is a row of the matrix. A cell is "first/resend": what the caller may
// get at first, and what its resend through entry-2 gets once the fault is over.
//
//	a  the answer
//	n  a refusal that says that it was not run
//	u  a failure that says that the outcome is not known
//	g  nothing: the connection broke
//
// Any other text says why the cell cannot occur.
type fault struct {
	name  string
	relay bool
	do    func(w *world, f *filing)
	cells [9]string
}

// filing is the request under test.
type filing struct {
	step   step
	hangUp func()
	again  chan outcome // the caller's resend while the first is in progress
	resent bool
}

const (
	gonePast   = "cannot occur: the entry has the whole answer"
	copiedPast = "cannot occur: the copy is made on the way to the agent"
)

var faults = []fault{
	{
		name:  "entry killed",
		do:    func(w *world, _ *filing) { w.killEntry("entry-1") },
		cells: [9]string{"g/a", "g/a", "g/a", "g/a", "g/a", "g/a", "g/a", "g/a", "g/a"},
	},
	{
		// Its timers go on; saddledaemon's tests stop a real process.
		name:  "entry frozen, then resumed",
		do:    cutFor("entry-1", "control", "agent-1", "agent-2", "caller"),
		cells: [9]string{"n/a", "n/a", "ua/a", "ua/a", "ua/a", "ua/a", "ua/a", "a/a", "a/a"},
	},
	{
		// Nobody is left who can say whether it ran.
		name:  "agent killed",
		do:    func(w *world, _ *filing) { w.killAgent() },
		cells: [9]string{"a/a", "a/a", "u/u", "u/u", "u/u", "u/u", "u/u", "a/a", "a/a"},
	},
	{
		name: "agent frozen, then resumed",
		do: func(w *world, f *filing) {
			freezeTarget(w, f)
			cutFor("agent-1", "entry-1", "entry-2", "control")(w, f)
		},
		cells: [9]string{"a/a", "a/a", "ua/a", "ua/a", "ua/a", "ua/a", "ua/a", "a/a", "a/a"},
	},
	{
		// The new incarnation cannot vouch for the one before.
		name: "agent restarted with a new incarnation",
		do: func(w *world, _ *filing) {
			w.killAgent()
			w.startAgent("agent-1", 2, fireflysaddle.KindService)
		},
		cells: [9]string{"a/a", "a/a", "u/u", "u/u", "u/u", "u/u", "u/u", "a/a", "a/a"},
	},
	{
		name:  "target restarted",
		do:    func(w *world, _ *filing) { w.agent("agent-1").targets.restart() },
		cells: [9]string{"a/a", "a/a", "a/a", "a/a", "u/u", "u/u", "a/a", "a/a", "a/a"},
	},
	{
		name:  "connection reset",
		do:    func(w *world, _ *filing) { w.net.reset("entry-1", "agent-1") },
		cells: [9]string{"a/a", "a/a", "a/a", "a/a", "a/a", "a/a", "a/a", "a/a", "a/a"},
	},
	{
		name:  "connection silent for good",
		do:    func(w *world, _ *filing) { w.net.setSilent("entry-1", "agent-1", true) },
		cells: [9]string{"a/a", "a/a", "a/a", "a/a", "a/a", "a/a", "a/a", "a/a", "a/a"},
	},
	{
		name:  "cut between entry and agent",
		do:    cutFor("entry-1", "agent-1"),
		cells: [9]string{"a/a", "a/a", "ua/a", "ua/a", "ua/a", "ua/a", "ua/a", "a/a", "a/a"},
	},
	{
		name:  "cut between entry and control",
		do:    cutFor("entry-1", "control"),
		cells: [9]string{"n/a", "n/a", "a/a", "a/a", "a/a", "a/a", "a/a", "a/a", "a/a"},
	},
	{
		name:  "cut between agent and control",
		do:    cutFor("agent-1", "control"),
		cells: [9]string{"a/a", "a/a", "a/a", "a/a", "a/a", "a/a", "a/a", "a/a", "a/a"},
	},
	{
		name:  "cut between agent and target",
		do:    freezeTarget,
		cells: [9]string{"a/a", "a/a", "a/a", "a/a", "a/a", "a/a", "a/a", "a/a", "a/a"},
	},
	{
		name: "answer late",
		do: func(w *world, _ *filing) {
			w.net.setSilent("entry-1", "agent-1", true)
			w.later(3*callSilence, func() { w.net.setSilent("entry-1", "agent-1", false) })
		},
		cells: [9]string{"a/a", "a/a", "a/a", "a/a", "a/a", "a/a", "a/a", "a/a", "a/a"},
	},
	{
		name: "answer twice", relay: true,
		do:    func(w *world, _ *filing) { w.relay.set(relayAnswerTwice) },
		cells: [9]string{"a/a", "a/a", "a/a", "a/a", "a/a", "a/a", gonePast, gonePast, gonePast},
	},
	{
		name: "answers reordered", relay: true,
		do:    func(w *world, _ *filing) { w.relay.set(relayOtherFirst) },
		cells: [9]string{"a/a", "a/a", "a/a", "a/a", "a/a", "a/a", gonePast, gonePast, gonePast},
	},
	{
		name: "request copied", relay: true,
		do:    func(w *world, _ *filing) { w.relay.set(relayRequestTwice) },
		cells: [9]string{"a/a", "a/a", "a/a", copiedPast, copiedPast, copiedPast, copiedPast, copiedPast, copiedPast},
	},
	{
		name: "no control majority",
		do: func(w *world, _ *filing) {
			w.control.setMajority(false)
			w.later(faultTime, func() { w.control.setMajority(true) })
		},
		cells: [9]string{"n/a", "a/a", "a/a", "a/a", "a/a", "a/a", "a/a", "a/a", "a/a"},
	},
	{
		name:  "caller gone",
		do:    func(_ *world, f *filing) { f.hangUp() },
		cells: [9]string{"g/a", "g/a", "g/a", "g/a", "g/a", "g/a", "g/a", "g/a", "g/a"},
	},
	{
		name: "caller resends through the other entry",
		do: func(w *world, f *filing) {
			f.resent = true
			go func() { f.again <- w.post(context.Background(), "entry-2", caseKey, caseKey, nil) }()
		},
		cells: [9]string{"a/a", "a/a", "a/a", "a/a", "a/a", "a/a", "a/a", "a/a", "a/a"},
	},
	{
		name: "deadline passed",
		do: func(w *world, f *filing) {
			switch f.step {
			case stepReceived, stepClaimed: // control would be asked again
				w.net.setCut("entry-1", "control", true)
				w.later(deadline+time.Second, func() { w.net.setCut("entry-1", "control", false) })
			case stepBegun:
				w.net.setSilent("entry-1", "agent-1", true)
				w.later(deadline+time.Second, func() { w.net.setSilent("entry-1", "agent-1", false) })
			default:
				time.Sleep(deadline + time.Second)
			}
		},
		cells: [9]string{"n/a", "n/a", "n/a", "n/a", "u/a", "u/a", "ua/a", "a/a", "a/a"},
	},
}

func freezeTarget(w *world, _ *filing) {
	g := w.agent("agent-1").targets
	g.freeze()
	w.later(faultTime, g.thaw)
}

// cutFor cuts a process off from others until faultTime has passed.
func cutFor(process string, others ...string) func(*world, *filing) {
	return func(w *world, _ *filing) {
		for _, other := range others {
			w.net.setCut(process, other, true)
		}
		w.later(faultTime, func() {
			for _, other := range others {
				w.net.setCut(process, other, false)
			}
		})
	}
}

// Every fault at every step of a keyed filing. Each cell is judged by what the
// targets ran, what the caller got, and what was said of it.
func TestFaultMatrix(t *testing.T) {
	for _, f := range faults {
		for i, s := range steps {
			t.Run(f.name+"/"+string(s), func(t *testing.T) {
				t.Parallel()
				first, resend, occurs := strings.Cut(f.cells[i], "/")
				if !occurs {
					t.Log(f.cells[i])
					return
				}
				inWorld(t, fireflysaddle.KindService, func(t *testing.T, w *world) {
					runCell(t, w, f, s).judge(t, w, first, resend)
				})
			})
		}
	}
}

// cellResult is what came of a cell.
type cellResult struct {
	first  outcome
	during outcome // the resend while the first was in progress, if any
	resend outcome
}

func runCell(t *testing.T, w *world, f fault, s step) cellResult {
	t.Helper()
	if f.relay {
		w.startRelay()
	}
	ctx, hangUp := context.WithCancel(t.Context())
	defer hangUp()
	under := &filing{step: s, hangUp: hangUp, again: make(chan outcome, 1)}
	w.watch(caseKey)
	reached := make(chan struct{})
	strike := func() {
		w.startAgent("agent-2", 1, fireflysaddle.KindService) // where a second run could happen
		f.do(w, under)
		close(reached)
	}
	if s == stepAdmitted {
		release := w.occupy()
		w.run(func(context.Context) {
			w.awaitQueued()
			strike()
			release()
		})
	} else {
		w.on(s, strike)
	}
	var headers map[string]string
	if f.name == "deadline passed" {
		headers = map[string]string{"X-Timeout-Ms": fmt.Sprint(deadline.Milliseconds())}
	}
	var out cellResult
	out.first = w.post(ctx, "entry-1", caseKey, caseKey, headers)
	<-reached // a step that is not reached hangs the bubble, which fails the test
	if under.resent {
		out.during = <-under.again
	}
	time.Sleep(2 * faultTime)
	for range 3 {
		out.resend = w.post(t.Context(), "entry-2", caseKey, caseKey, nil)
		if out.resend.kind == "answer" {
			break
		}
		time.Sleep(faultTime)
	}
	return out
}

// judge checks what the cell allows and what holds in every cell.
func (r cellResult) judge(t *testing.T, w *world, first, resend string) {
	t.Helper()
	ran := w.journal.ofBody(caseKey)
	if ran > 1 {
		t.Errorf("it ran %d times", ran)
	}
	if !strings.Contains(first, r.first.letter()) {
		t.Errorf("the caller got %q (%s), expected one of %q", r.first.letter(), r.first.body, first)
	}
	if !strings.Contains(resend, r.resend.letter()) {
		t.Errorf("the resend got %q (%s), expected one of %q", r.resend.letter(), r.resend.body, resend)
	}
	receipt := ""
	for _, o := range []outcome{r.first, r.during, r.resend} {
		switch o.kind {
		case "answer":
			if ran != 1 || !strings.HasSuffix(o.body, " for "+caseKey) {
				t.Errorf("answer %q after %d executions", o.body, ran)
			}
			if receipt != "" && receipt != o.body {
				t.Errorf("answers %q and %q differ", receipt, o.body)
			}
			receipt = o.body
		case "no":
			if n := w.journal.ofRequest(o.request); n > 0 {
				t.Errorf("said to be not run, and ran %d times: %s", n, o.body)
			}
			fallthrough
		case "unknown":
			if o.retry == "" && o.code != "outcome_unknown" {
				t.Errorf("no Retry-After with %s", o.body)
			}
		}
		if limit := 21 * time.Second; o.took > limit { // the deadline is at 20 s
			t.Errorf("answered after %s", o.took)
		}
	}
}

// letter returns how cells name an outcome.
func (o outcome) letter() string {
	return map[string]string{"answer": "a", "no": "n", "unknown": "u", "gone": "g", "yes": "y"}[o.kind]
}
