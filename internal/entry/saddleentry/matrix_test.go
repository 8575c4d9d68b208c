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
	cells [9]string // of a keyed filing, by steps
	// What the caller of a filing without a key, and of a draft, may get at
	// first, by unclaimedSteps. "y" is a failure that says that it was run.
	unkeyed [5]string
	drafts  [5]string
}

// unclaimedSteps are the steps of requests that claim nothing. A draft's answer
// has begun when its caller has two tokens of four.
var unclaimedSteps = []step{stepChosen, stepAdmitted, stepFirstByte, stepRunning, stepBegun}

// filing is the request under test.
type filing struct {
	step   step
	draft  bool
	hangUp func()
	again  chan outcome // the caller's resend while the first is in progress
	resent bool
}

const (
	gonePast   = "cannot occur: the entry has the whole answer"
	copiedPast = "cannot occur: the copy is made on the way to the agent"

	anotherRequest = "cannot occur: without a key it is another request"
	noDraftRelay   = "see TestCopiedAndReorderedTokens: not by steps"
)

var faults = []fault{
	{
		name:    "entry killed",
		do:      func(w *world, _ *filing) { w.killEntry("entry-1") },
		cells:   [9]string{"g/a", "g/a", "g/a", "g/a", "g/a", "g/a", "g/a", "g/a", "g/a"},
		unkeyed: [5]string{"g", "g", "g", "g", "g"},
		drafts:  [5]string{"g", "g", "g", "g", "g"},
	},
	{
		// Its timers go on; saddledaemon's tests stop a real process.
		name:    "entry frozen, then resumed",
		do:      cutFor("entry-1", "control", "agent-1", "agent-2", "caller"),
		cells:   [9]string{"n/a", "n/a", "ua/a", "ua/a", "ua/a", "ua/a", "ua/a", "a/a", "a/a"},
		unkeyed: [5]string{"ua", "ua", "ua", "ua", "ua"},
		drafts:  [5]string{"auy", "auy", "auy", "auy", "auy"},
	},
	{
		// Nobody is left who can say whether it ran.
		name:    "agent killed",
		do:      func(w *world, _ *filing) { w.killAgent() },
		cells:   [9]string{"a/a", "a/a", "u/u", "u/u", "u/u", "u/u", "u/u", "a/a", "a/a"},
		unkeyed: [5]string{"u", "u", "u", "u", "u"},
		drafts:  [5]string{"a", "a", "a", "a", "a"},
	},
	{
		name: "agent frozen, then resumed",
		do: func(w *world, f *filing) {
			freezeTarget(w, f)
			cutFor("agent-1", "entry-1", "entry-2", "control")(w, f)
		},
		cells:   [9]string{"a/a", "a/a", "ua/a", "ua/a", "ua/a", "ua/a", "ua/a", "a/a", "a/a"},
		unkeyed: [5]string{"ua", "ua", "ua", "ua", "ua"},
		drafts:  [5]string{"a", "a", "a", "a", "a"},
	},
	{
		// The new incarnation cannot vouch for the one before.
		name: "agent restarted with a new incarnation",
		do: func(w *world, _ *filing) {
			w.killAgent()
			w.startAgent("agent-1", 2, fireflysaddle.KindService)
		},
		cells:   [9]string{"a/a", "a/a", "u/u", "u/u", "u/u", "u/u", "u/u", "a/a", "a/a"},
		unkeyed: [5]string{"u", "u", "u", "u", "u"},
		drafts:  [5]string{"a", "a", "a", "a", "a"},
	},
	{
		name:    "target restarted",
		do:      func(w *world, _ *filing) { w.firstAgent().targets.restart() },
		cells:   [9]string{"a/a", "a/a", "a/a", "a/a", "u/u", "u/u", "a/a", "a/a", "a/a"},
		unkeyed: [5]string{"a", "a", "u", "u", "a"},
		drafts:  [5]string{"a", "a", "a", "a", "a"},
	},
	{
		name:    "connection reset",
		do:      func(w *world, _ *filing) { w.net.reset("entry-1", "agent-1") },
		cells:   [9]string{"a/a", "a/a", "a/a", "a/a", "a/a", "a/a", "a/a", "a/a", "a/a"},
		unkeyed: [5]string{"a", "a", "a", "a", "a"},
		drafts:  [5]string{"a", "a", "a", "a", "a"},
	},
	{
		name:    "connection silent for good",
		do:      func(w *world, _ *filing) { w.net.setSilent("entry-1", "agent-1", true) },
		cells:   [9]string{"a/a", "a/a", "a/a", "a/a", "a/a", "a/a", "a/a", "a/a", "a/a"},
		unkeyed: [5]string{"a", "a", "a", "a", "a"},
		drafts:  [5]string{"a", "a", "a", "a", "a"},
	},
	{
		name:    "cut between entry and agent",
		do:      cutFor("entry-1", "agent-1"),
		cells:   [9]string{"a/a", "a/a", "ua/a", "ua/a", "ua/a", "ua/a", "ua/a", "a/a", "a/a"},
		unkeyed: [5]string{"ua", "ua", "ua", "ua", "ua"},
		drafts:  [5]string{"a", "a", "a", "a", "a"},
	},
	{
		name:    "cut between entry and control",
		do:      cutFor("entry-1", "control"),
		cells:   [9]string{"n/a", "n/a", "a/a", "a/a", "a/a", "a/a", "a/a", "a/a", "a/a"},
		unkeyed: [5]string{"a", "a", "a", "a", "a"},
		drafts:  [5]string{"a", "a", "a", "a", "a"},
	},
	{
		name:    "cut between agent and control",
		do:      cutFor("agent-1", "control"),
		cells:   [9]string{"a/a", "a/a", "a/a", "a/a", "a/a", "a/a", "a/a", "a/a", "a/a"},
		unkeyed: [5]string{"a", "a", "a", "a", "a"},
		drafts:  [5]string{"a", "a", "a", "a", "a"},
	},
	{
		name:    "cut between agent and target",
		do:      freezeTarget,
		cells:   [9]string{"a/a", "a/a", "a/a", "a/a", "a/a", "a/a", "a/a", "a/a", "a/a"},
		unkeyed: [5]string{"a", "a", "a", "a", "a"},
		drafts:  [5]string{"a", "a", "a", "a", "a"},
	},
	{
		name: "answer late",
		do: func(w *world, _ *filing) {
			w.net.setSilent("entry-1", "agent-1", true)
			w.later(3*callSilence, func() { w.net.setSilent("entry-1", "agent-1", false) })
		},
		cells:   [9]string{"a/a", "a/a", "a/a", "a/a", "a/a", "a/a", "a/a", "a/a", "a/a"},
		unkeyed: [5]string{"a", "a", "a", "a", "a"},
		drafts:  [5]string{"a", "a", "a", "a", "a"},
	},
	{
		name: "answer twice", relay: true,
		do:      func(w *world, _ *filing) { w.relay.set(relayAnswerTwice) },
		cells:   [9]string{"a/a", "a/a", "a/a", "a/a", "a/a", "a/a", gonePast, gonePast, gonePast},
		unkeyed: [5]string{"a", "a", "a", "a", gonePast},
		drafts:  [5]string{noDraftRelay, noDraftRelay, noDraftRelay, noDraftRelay, noDraftRelay},
	},
	{
		name: "answers reordered", relay: true,
		do:      func(w *world, _ *filing) { w.relay.set(relayOtherFirst) },
		cells:   [9]string{"a/a", "a/a", "a/a", "a/a", "a/a", "a/a", gonePast, gonePast, gonePast},
		unkeyed: [5]string{"a", "a", "a", "a", gonePast},
		drafts:  [5]string{noDraftRelay, noDraftRelay, noDraftRelay, noDraftRelay, noDraftRelay},
	},
	{
		name: "answer of an earlier start first", relay: true,
		do:      func(w *world, _ *filing) { w.relay.set(relayEarlierFirst) },
		cells:   [9]string{"a/a", "a/a", "a/a", "a/a", "a/a", "a/a", gonePast, gonePast, gonePast},
		unkeyed: [5]string{"a", "a", "a", "a", gonePast},
		drafts:  [5]string{noDraftRelay, noDraftRelay, noDraftRelay, noDraftRelay, noDraftRelay},
	},
	{
		name: "request copied", relay: true,
		do:      func(w *world, _ *filing) { w.relay.set(relayRequestTwice) },
		cells:   [9]string{"a/a", "a/a", "a/a", copiedPast, copiedPast, copiedPast, copiedPast, copiedPast, copiedPast},
		unkeyed: [5]string{"a", copiedPast, copiedPast, copiedPast, copiedPast},
		drafts:  [5]string{noDraftRelay, noDraftRelay, noDraftRelay, noDraftRelay, noDraftRelay},
	},
	{
		name: "no control majority",
		do: func(w *world, _ *filing) {
			w.control.setMajority(false)
			w.later(faultTime, func() { w.control.setMajority(true) })
		},
		cells:   [9]string{"n/a", "a/a", "a/a", "a/a", "a/a", "a/a", "a/a", "a/a", "a/a"},
		unkeyed: [5]string{"a", "a", "a", "a", "a"},
		drafts:  [5]string{"a", "a", "a", "a", "a"},
	},
	{
		name: "caller gone",
		do: func(w *world, f *filing) {
			f.hangUp()
			w.net.reset("caller", "entry-1") // at this very moment
		},
		cells:   [9]string{"g/a", "g/a", "g/a", "g/a", "g/a", "g/a", "g/a", "g/a", "g/a"},
		unkeyed: [5]string{"g", "g", "g", "g", "g"},
		drafts:  [5]string{"g", "g", "g", "g", "g"},
	},
	{
		name: "caller resends through the other entry",
		do: func(w *world, f *filing) {
			f.resent = true
			go func() { f.again <- w.post(context.Background(), "entry-2", caseKey, caseKey, nil) }()
		},
		cells:   [9]string{"a/a", "a/a", "a/a", "a/a", "a/a", "a/a", "a/a", "a/a", "a/a"},
		unkeyed: [5]string{anotherRequest, anotherRequest, anotherRequest, anotherRequest, anotherRequest},
		drafts:  [5]string{anotherRequest, anotherRequest, anotherRequest, anotherRequest, anotherRequest},
	},
	{
		name: "deadline passed",
		do: func(w *world, f *filing) {
			switch {
			case f.draft:
				time.Sleep(deadline + time.Second)
			case f.step == stepReceived, f.step == stepClaimed: // control would be asked again
				w.net.setCut("entry-1", "control", true)
				w.later(deadline+time.Second, func() { w.net.setCut("entry-1", "control", false) })
			case f.step == stepBegun: // not within a write
				w.net.setSilent("entry-1", "agent-1", true)
				w.later(deadline+time.Second, func() { w.net.setSilent("entry-1", "agent-1", false) })
			default:
				time.Sleep(deadline + time.Second)
			}
		},
		cells:   [9]string{"n/a", "n/a", "n/a", "n/a", "u/a", "u/a", "ua/a", "a/a", "a/a"},
		unkeyed: [5]string{"n", "n", "u", "u", "ua"},
		drafts:  [5]string{"nu", "nu", "u", "u", "y"},
	},
}

func freezeTarget(w *world, _ *filing) {
	g := w.firstAgent().targets
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
	reached := strikeAt(w, f, under, fireflysaddle.KindService)
	var out cellResult
	out.first = w.post(ctx, "entry-1", caseKey, caseKey, f.headers())
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

// strikeAt has the fault strike when the request under test reaches its step.
// The returned channel is closed then.
func strikeAt(w *world, f fault, under *filing, kind fireflysaddle.TargetKind) <-chan struct{} {
	w.watch(caseKey)
	reached := make(chan struct{})
	strike := func() {
		w.startAgent("agent-2", 1, kind) // where a second run could happen
		f.do(w, under)
		close(reached)
	}
	if under.step == stepAdmitted {
		release := w.occupy()
		w.run(func(context.Context) {
			w.awaitQueued()
			strike()
			release()
		})
		return reached
	}
	w.on(under.step, strike)
	return reached
}

// headers returns what the caller sends along.
func (f fault) headers() map[string]string {
	if f.name != "deadline passed" {
		return nil
	}
	return map[string]string{"X-Timeout-Ms": fmt.Sprint(deadline.Milliseconds())}
}

// Every fault at every step of a filing without a key. Nothing runs it again
// unless the agent proved that it was not run.
func TestFaultMatrixWithoutKey(t *testing.T) {
	eachUnclaimed(t, func(f fault) [5]string { return f.unkeyed }, func(t *testing.T, f fault, s step, allowed string) {
		inWorld(t, fireflysaddle.KindService, func(t *testing.T, w *world) {
			if f.relay {
				w.startRelay()
			}
			ctx, hangUp := context.WithCancel(t.Context())
			defer hangUp()
			reached := strikeAt(w, f, &filing{step: s, hangUp: hangUp}, fireflysaddle.KindService)
			out := w.post(ctx, "entry-1", "", caseKey, f.headers())
			<-reached
			time.Sleep(2 * faultTime)
			judgeUnclaimed(t, w, out, allowed)
			if ran := w.journal.ofBody(caseKey); ran > 1 {
				t.Errorf("it ran %d times", ran)
			}
			if out.kind == "answer" && !strings.HasSuffix(out.body, " for "+caseKey) {
				t.Errorf("answer %q", out.body)
			}
		})
	})
}

// Every fault at every step of a draft: the answer is whole and the caller's
// own, and "not run" is true.
func TestFaultMatrixOfDrafts(t *testing.T) {
	eachUnclaimed(t, func(f fault) [5]string { return f.drafts }, func(t *testing.T, f fault, s step, allowed string) {
		inWorld(t, fireflysaddle.KindEngine, func(t *testing.T, w *world) {
			ctx, hangUp := context.WithCancel(t.Context())
			defer hangUp()
			reached := strikeAt(w, f, &filing{step: s, draft: true, hangUp: hangUp}, fireflysaddle.KindEngine)
			w.onToken = func(n int) {
				if n == 1 {
					time.Sleep(time.Millisecond) // for the token to arrive
					w.at(stepBegun, caseKey)
				}
			}
			out, text := w.draft(ctx, "entry-1", caseKey, 4, f.headers())
			<-reached
			time.Sleep(2 * faultTime)
			judgeUnclaimed(t, w, out, allowed)
			if out.kind == "answer" && text != tokens(caseKey, 4) {
				t.Errorf("answer %q", text)
			}
		})
	})
}

func eachUnclaimed(t *testing.T, cells func(fault) [5]string, run func(t *testing.T, f fault, s step, allowed string)) {
	t.Helper()
	for _, f := range faults {
		for i, s := range unclaimedSteps {
			t.Run(f.name+"/"+string(s), func(t *testing.T) {
				t.Parallel()
				allowed := cells(f)[i]
				if strings.Contains(allowed, " ") {
					t.Log(allowed)
					return
				}
				run(t, f, s, allowed)
			})
		}
	}
}

func judgeUnclaimed(t *testing.T, w *world, out outcome, allowed string) {
	t.Helper()
	if !strings.Contains(allowed, out.letter()) {
		t.Errorf("the caller got %q (%s), expected one of %q", out.letter(), out.body, allowed)
	}
	if n := w.journal.ofRequest(out.request); out.kind == "no" && n > 0 {
		t.Errorf("said to be not run, and ran %d times: %s", n, out.body)
	}
	if out.kind == "no" && out.retry == "" {
		t.Errorf("no Retry-After with %s", out.body)
	}
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
