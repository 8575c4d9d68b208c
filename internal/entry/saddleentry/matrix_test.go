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
	faultDuration = 5 * time.Second // duration of a temporary fault
	caseKey       = "case-1"
	callerTimeout = 2 * time.Second // timeout that the caller requests in the row "deadline passed"
)

// steps are the columns of the matrix, in the order in which a keyed call reaches
// them. The entry selects a target before it commits the claim. The step "chosen" is
// reached only when the entry is connected to the target's agent.
var steps = []step{
	stepReceived, stepClaimed, stepChosen, stepAdmitted, stepFirstByte,
	stepRunning, stepAnswerStarted, stepAnswerEnded, stepRecorded,
}

// fault is a row of the matrix. A cell lists the allowed results, one letter each:
//
//	a  the answer
//	n  a refusal stating that the request was not run
//	u  a failure stating that the outcome is not known
//	g  nothing, because the connection broke
//	y  a failure stating that the request was run (not used in keyed)
//
// Several letters allow any one of these results. Any other text states why the cell
// cannot occur or which test covers it.
type fault struct {
	name   string
	relay  bool
	inject func(w *testCluster, req *requestUnderTest)
	// keyed holds the cells of a keyed call, indexed like steps. A cell is "first/resend":
	// the results allowed for the caller's request, and for its resend through entry-2
	// after the fault.
	keyed   [9]string
	unkeyed [5]string // cells of a call without a key, indexed like stepsWithoutClaim
	drafts  [5]string // cells of a draft, indexed like stepsWithoutClaim
}

// stepsWithoutClaim are the steps of requests without a claim. A draft reaches
// stepAnswerStarted when the caller has two of four tokens.
var stepsWithoutClaim = []step{stepChosen, stepAdmitted, stepFirstByte, stepRunning, stepAnswerStarted}

// requestUnderTest is the request during which a fault is injected.
type requestUnderTest struct {
	step         step
	draft        bool
	disconnect   func()
	resendResult chan callerResult // result of a resend while the first request is in progress
	resent       bool
}

const (
	impossibleAnswerReceived    = "cannot occur: the entry has the complete answer"
	impossibleDuplicatedEarlier = "cannot occur: the request is duplicated before it reaches the agent"

	impossibleWithoutKey = "cannot occur: without a key, a resend is a separate request"
	coveredByRelayTest   = "covered by TestDuplicatedAndReorderedTokens, independent of steps"
)

var faults = []fault{
	{
		name:    "entry killed",
		inject:  func(w *testCluster, _ *requestUnderTest) { w.killEntry("entry-1") },
		keyed:   [9]string{"g/a", "g/a", "g/a", "g/a", "g/a", "g/a", "g/a", "g/a", "g/a"},
		unkeyed: [5]string{"g", "g", "g", "g", "g"},
		drafts:  [5]string{"g", "g", "g", "g", "g"},
	},
	{
		// Only the entry's connections are cut; its timers keep running. The tests of
		// saddledaemon suspend a real process.
		name:    "entry frozen, then resumed",
		inject:  cutFor("entry-1", "control", "agent-1", "agent-2", "caller"),
		keyed:   [9]string{"n/a", "n/a", "ua/a", "ua/a", "ua/a", "ua/a", "ua/a", "a/a", "a/a"},
		unkeyed: [5]string{"ua", "ua", "ua", "ua", "ua"},
		drafts:  [5]string{"auy", "auy", "auy", "auy", "auy"},
	},
	{
		// No remaining process knows whether the request ran.
		name:    "agent killed",
		inject:  func(w *testCluster, _ *requestUnderTest) { w.killAgent() },
		keyed:   [9]string{"a/a", "a/a", "u/u", "u/u", "u/u", "u/u", "u/u", "a/a", "a/a"},
		unkeyed: [5]string{"u", "u", "u", "u", "u"},
		drafts:  [5]string{"a", "a", "a", "a", "a"},
	},
	{
		name: "agent frozen, then resumed",
		inject: func(w *testCluster, req *requestUnderTest) {
			suspendTarget(w, req)
			cutFor("agent-1", "entry-1", "entry-2", "control")(w, req)
		},
		keyed:   [9]string{"a/a", "a/a", "ua/a", "ua/a", "ua/a", "ua/a", "ua/a", "a/a", "a/a"},
		unkeyed: [5]string{"ua", "ua", "ua", "ua", "ua"},
		drafts:  [5]string{"a", "a", "a", "a", "a"},
	},
	{
		// The new incarnation does not know what the previous one ran.
		name: "agent restarted with a new incarnation",
		inject: func(w *testCluster, _ *requestUnderTest) {
			w.killAgent()
			w.startAgent("agent-1", 2, fireflysaddle.KindService)
		},
		keyed:   [9]string{"a/a", "a/a", "u/u", "u/u", "u/u", "u/u", "u/u", "a/a", "a/a"},
		unkeyed: [5]string{"u", "u", "u", "u", "u"},
		drafts:  [5]string{"a", "a", "a", "a", "a"},
	},
	{
		name:    "target restarted",
		inject:  func(w *testCluster, _ *requestUnderTest) { w.currentAgent().testTarget.restart() },
		keyed:   [9]string{"a/a", "a/a", "a/a", "a/a", "u/u", "u/u", "a/a", "a/a", "a/a"},
		unkeyed: [5]string{"a", "a", "u", "u", "a"},
		drafts:  [5]string{"a", "a", "a", "a", "a"},
	},
	{
		name:    "connection reset",
		inject:  func(w *testCluster, _ *requestUnderTest) { w.net.reset("entry-1", "agent-1") },
		keyed:   [9]string{"a/a", "a/a", "a/a", "a/a", "a/a", "a/a", "a/a", "a/a", "a/a"},
		unkeyed: [5]string{"a", "a", "a", "a", "a"},
		drafts:  [5]string{"a", "a", "a", "a", "a"},
	},
	{
		name:    "connection silent permanently",
		inject:  func(w *testCluster, _ *requestUnderTest) { w.net.setSilent("entry-1", "agent-1", true) },
		keyed:   [9]string{"a/a", "a/a", "a/a", "a/a", "a/a", "a/a", "a/a", "a/a", "a/a"},
		unkeyed: [5]string{"a", "a", "a", "a", "a"},
		drafts:  [5]string{"a", "a", "a", "a", "a"},
	},
	{
		name:    "cut between entry and agent",
		inject:  cutFor("entry-1", "agent-1"),
		keyed:   [9]string{"a/a", "a/a", "ua/a", "ua/a", "ua/a", "ua/a", "ua/a", "a/a", "a/a"},
		unkeyed: [5]string{"ua", "ua", "ua", "ua", "ua"},
		drafts:  [5]string{"a", "a", "a", "a", "a"},
	},
	{
		name:    "cut between entry and control",
		inject:  cutFor("entry-1", "control"),
		keyed:   [9]string{"n/a", "n/a", "a/a", "a/a", "a/a", "a/a", "a/a", "a/a", "a/a"},
		unkeyed: [5]string{"a", "a", "a", "a", "a"},
		drafts:  [5]string{"a", "a", "a", "a", "a"},
	},
	{
		name:    "cut between agent and control",
		inject:  cutFor("agent-1", "control"),
		keyed:   [9]string{"a/a", "a/a", "a/a", "a/a", "a/a", "a/a", "a/a", "a/a", "a/a"},
		unkeyed: [5]string{"a", "a", "a", "a", "a"},
		drafts:  [5]string{"a", "a", "a", "a", "a"},
	},
	{
		name:    "cut between agent and target",
		inject:  suspendTarget,
		keyed:   [9]string{"a/a", "a/a", "a/a", "a/a", "a/a", "a/a", "a/a", "a/a", "a/a"},
		unkeyed: [5]string{"a", "a", "a", "a", "a"},
		drafts:  [5]string{"a", "a", "a", "a", "a"},
	},
	{
		name: "answer late",
		inject: func(w *testCluster, _ *requestUnderTest) {
			w.net.setSilent("entry-1", "agent-1", true)
			w.schedule(3*callSilenceTimeout, func() { w.net.setSilent("entry-1", "agent-1", false) })
		},
		keyed:   [9]string{"a/a", "a/a", "a/a", "a/a", "a/a", "a/a", "a/a", "a/a", "a/a"},
		unkeyed: [5]string{"a", "a", "a", "a", "a"},
		drafts:  [5]string{"a", "a", "a", "a", "a"},
	},
	{
		name: "answer twice", relay: true,
		inject:  func(w *testCluster, _ *requestUnderTest) { w.relay.setMode(relayDuplicateAnswer) },
		keyed:   [9]string{"a/a", "a/a", "a/a", "a/a", "a/a", "a/a", impossibleAnswerReceived, impossibleAnswerReceived, impossibleAnswerReceived},
		unkeyed: [5]string{"a", "a", "a", "a", impossibleAnswerReceived},
		drafts:  [5]string{coveredByRelayTest, coveredByRelayTest, coveredByRelayTest, coveredByRelayTest, coveredByRelayTest},
	},
	{
		name: "answers reordered", relay: true,
		inject:  func(w *testCluster, _ *requestUnderTest) { w.relay.setMode(relayReorderAnswers) },
		keyed:   [9]string{"a/a", "a/a", "a/a", "a/a", "a/a", "a/a", impossibleAnswerReceived, impossibleAnswerReceived, impossibleAnswerReceived},
		unkeyed: [5]string{"a", "a", "a", "a", impossibleAnswerReceived},
		drafts:  [5]string{coveredByRelayTest, coveredByRelayTest, coveredByRelayTest, coveredByRelayTest, coveredByRelayTest},
	},
	{
		name: "answer of an earlier incarnation first", relay: true,
		inject:  func(w *testCluster, _ *requestUnderTest) { w.relay.setMode(relayStaleAnswerFirst) },
		keyed:   [9]string{"a/a", "a/a", "a/a", "a/a", "a/a", "a/a", impossibleAnswerReceived, impossibleAnswerReceived, impossibleAnswerReceived},
		unkeyed: [5]string{"a", "a", "a", "a", impossibleAnswerReceived},
		drafts:  [5]string{coveredByRelayTest, coveredByRelayTest, coveredByRelayTest, coveredByRelayTest, coveredByRelayTest},
	},
	{
		name: "request duplicated", relay: true,
		inject:  func(w *testCluster, _ *requestUnderTest) { w.relay.setMode(relayDuplicateRequest) },
		keyed:   [9]string{"a/a", "a/a", "a/a", impossibleDuplicatedEarlier, impossibleDuplicatedEarlier, impossibleDuplicatedEarlier, impossibleDuplicatedEarlier, impossibleDuplicatedEarlier, impossibleDuplicatedEarlier},
		unkeyed: [5]string{"a", impossibleDuplicatedEarlier, impossibleDuplicatedEarlier, impossibleDuplicatedEarlier, impossibleDuplicatedEarlier},
		drafts:  [5]string{coveredByRelayTest, coveredByRelayTest, coveredByRelayTest, coveredByRelayTest, coveredByRelayTest},
	},
	{
		name: "no control majority",
		inject: func(w *testCluster, _ *requestUnderTest) {
			w.control.setMajority(false)
			w.schedule(faultDuration, func() { w.control.setMajority(true) })
		},
		keyed:   [9]string{"n/a", "a/a", "a/a", "a/a", "a/a", "a/a", "a/a", "a/a", "a/a"},
		unkeyed: [5]string{"a", "a", "a", "a", "a"},
		drafts:  [5]string{"a", "a", "a", "a", "a"},
	},
	{
		name: "caller disconnected",
		inject: func(w *testCluster, req *requestUnderTest) {
			req.disconnect()
			w.net.reset("caller", "entry-1") // breaks the connection immediately
		},
		keyed:   [9]string{"g/a", "g/a", "g/a", "g/a", "g/a", "g/a", "g/a", "g/a", "g/a"},
		unkeyed: [5]string{"g", "g", "g", "g", "g"},
		drafts:  [5]string{"g", "g", "g", "g", "g"},
	},
	{
		name: "caller resends through the other entry",
		inject: func(w *testCluster, req *requestUnderTest) {
			req.resent = true
			go func() { req.resendResult <- w.post(context.Background(), "entry-2", caseKey, caseKey, nil) }()
		},
		keyed:   [9]string{"a/a", "a/a", "a/a", "a/a", "a/a", "a/a", "a/a", "a/a", "a/a"},
		unkeyed: [5]string{impossibleWithoutKey, impossibleWithoutKey, impossibleWithoutKey, impossibleWithoutKey, impossibleWithoutKey},
		drafts:  [5]string{impossibleWithoutKey, impossibleWithoutKey, impossibleWithoutKey, impossibleWithoutKey, impossibleWithoutKey},
	},
	{
		name: "deadline passed",
		inject: func(w *testCluster, req *requestUnderTest) {
			switch {
			case req.draft:
				time.Sleep(callerTimeout + time.Second)
			case req.step == stepReceived, req.step == stepClaimed: // a delay of the replica's answer would make the entry submit the command again
				w.net.setCut("entry-1", "control", true)
				w.schedule(callerTimeout+time.Second, func() { w.net.setCut("entry-1", "control", false) })
			case req.step == stepAnswerStarted: // the hook runs within a write and must not sleep
				w.net.setSilent("entry-1", "agent-1", true)
				w.schedule(callerTimeout+time.Second, func() { w.net.setSilent("entry-1", "agent-1", false) })
			default:
				time.Sleep(callerTimeout + time.Second)
			}
		},
		keyed:   [9]string{"n/a", "n/a", "n/a", "n/a", "u/a", "u/a", "ua/a", "a/a", "a/a"},
		unkeyed: [5]string{"n", "n", "u", "u", "ua"},
		drafts:  [5]string{"nu", "nu", "u", "u", "y"},
	},
}

func suspendTarget(w *testCluster, _ *requestUnderTest) {
	target := w.currentAgent().testTarget
	target.suspend()
	w.schedule(faultDuration, target.resume)
}

// cutFor returns a function that injects a fault: it disconnects a process from the
// others for faultDuration.
func cutFor(process string, others ...string) func(*testCluster, *requestUnderTest) {
	return func(w *testCluster, _ *requestUnderTest) {
		for _, other := range others {
			w.net.setCut(process, other, true)
		}
		w.schedule(faultDuration, func() {
			for _, other := range others {
				w.net.setCut(process, other, false)
			}
		})
	}
}

// Injects every fault at every step of a keyed call. Each cell checks what the targets
// ran, which result the caller got, and whether the two agree.
func TestFaultMatrix(t *testing.T) {
	for _, f := range faults {
		for i, s := range steps {
			t.Run(f.name+"/"+string(s), func(t *testing.T) {
				t.Parallel()
				first, resend, occurs := strings.Cut(f.keyed[i], "/")
				if !occurs {
					t.Log(f.keyed[i])
					return
				}
				runWithCluster(t, fireflysaddle.KindService, func(t *testing.T, w *testCluster) {
					runCell(t, w, f, s).check(t, w, first, resend)
				})
			})
		}
	}
}

// cellResult holds the results of one cell.
type cellResult struct {
	first            callerResult
	concurrentResend callerResult // result of a resend while the first request was in progress, if any
	resend           callerResult
}

func runCell(t *testing.T, w *testCluster, f fault, s step) cellResult {
	t.Helper()
	if f.relay {
		w.startRelay()
	}
	ctx, disconnect := context.WithCancel(t.Context())
	defer disconnect()
	req := &requestUnderTest{step: s, disconnect: disconnect, resendResult: make(chan callerResult, 1)}
	reached := injectAt(w, f, req, fireflysaddle.KindService)
	var out cellResult
	out.first = w.post(ctx, "entry-1", caseKey, caseKey, f.headers())
	<-reached // if the step is not reached, the synctest bubble deadlocks and the test fails
	if req.resent {
		out.concurrentResend = <-req.resendResult
	}
	time.Sleep(2 * faultDuration)
	for range 3 {
		out.resend = w.post(t.Context(), "entry-2", caseKey, caseKey, nil)
		if out.resend.kind == "answer" {
			break
		}
		time.Sleep(faultDuration)
	}
	return out
}

// injectAt registers the fault to be injected when the request under test reaches its
// step, and returns a channel that is closed after the injection.
func injectAt(w *testCluster, f fault, req *requestUnderTest, kind fireflysaddle.TargetKind) <-chan struct{} {
	w.watchKey(caseKey)
	reached := make(chan struct{})
	trigger := func() {
		w.startAgent("agent-2", 1, kind) // so that the request could run a second time
		f.inject(w, req)
		close(reached)
	}
	if req.step == stepAdmitted {
		release := w.occupySlot()
		w.spawn(func(context.Context) {
			w.awaitQueued()
			trigger()
			release()
		})
		return reached
	}
	w.onStep(req.step, trigger)
	return reached
}

// headers returns the additional headers of the caller's request.
func (f fault) headers() map[string]string {
	if f.name != "deadline passed" {
		return nil
	}
	return map[string]string{"X-Timeout-Ms": fmt.Sprint(callerTimeout.Milliseconds())}
}

// Injects every fault at every step of a call without a key. The call must not run
// again unless the agent proved that it was not run.
func TestFaultMatrixWithoutKey(t *testing.T) {
	forEachCellWithoutClaim(t, func(f fault) [5]string { return f.unkeyed }, func(t *testing.T, f fault, s step, allowed string) {
		runWithCluster(t, fireflysaddle.KindService, func(t *testing.T, w *testCluster) {
			if f.relay {
				w.startRelay()
			}
			ctx, disconnect := context.WithCancel(t.Context())
			defer disconnect()
			reached := injectAt(w, f, &requestUnderTest{step: s, disconnect: disconnect}, fireflysaddle.KindService)
			out := w.post(ctx, "entry-1", "", caseKey, f.headers())
			<-reached
			time.Sleep(2 * faultDuration)
			checkWithoutClaim(t, w, out, allowed)
			if executions := w.executionLog.countBody(caseKey); executions > 1 {
				t.Errorf("request ran %d times, want at most once", executions)
			}
			if out.kind == "answer" && !strings.HasSuffix(out.body, " for "+caseKey) {
				t.Errorf("unexpected answer %q", out.body)
			}
		})
	})
}

// Injects every fault at every step of a draft. An answer must be complete and belong
// to the caller's request, and a request reported as "not run" must not have run.
func TestFaultMatrixOfDrafts(t *testing.T) {
	forEachCellWithoutClaim(t, func(f fault) [5]string { return f.drafts }, func(t *testing.T, f fault, s step, allowed string) {
		runWithCluster(t, fireflysaddle.KindEngine, func(t *testing.T, w *testCluster) {
			ctx, disconnect := context.WithCancel(t.Context())
			defer disconnect()
			reached := injectAt(w, f, &requestUnderTest{step: s, draft: true, disconnect: disconnect}, fireflysaddle.KindEngine)
			w.onToken = func(position int) {
				if position == 1 {
					time.Sleep(time.Millisecond) // virtual time; enough for the token to reach the caller
					w.reachStep(stepAnswerStarted, caseKey)
				}
			}
			out, text := w.draft(ctx, "entry-1", caseKey, 4, f.headers())
			<-reached
			time.Sleep(2 * faultDuration)
			checkWithoutClaim(t, w, out, allowed)
			if out.kind == "answer" && text != tokens(caseKey, 4) {
				t.Errorf("unexpected answer %q", text)
			}
		})
	})
}

func forEachCellWithoutClaim(t *testing.T, cells func(fault) [5]string, run func(t *testing.T, f fault, s step, allowed string)) {
	t.Helper()
	for _, f := range faults {
		for i, s := range stepsWithoutClaim {
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

func checkWithoutClaim(t *testing.T, w *testCluster, out callerResult, allowed string) {
	t.Helper()
	if !strings.Contains(allowed, out.letter()) {
		t.Errorf("caller got %q (%s), want one of %q", out.letter(), out.body, allowed)
	}
	if n := w.executionLog.countRequest(out.request); out.kind == "no" && n > 0 {
		t.Errorf("reported as not run, but ran %d times: %s", n, out.body)
	}
	if out.kind == "no" && out.retryAfter == "" {
		t.Errorf("no Retry-After with %s", out.body)
	}
}

// check checks that the results are among those allowed in the cell, and that the
// invariants of all cells hold.
func (r cellResult) check(t *testing.T, w *testCluster, first, resend string) {
	t.Helper()
	executions := w.executionLog.countBody(caseKey)
	if executions > 1 {
		t.Errorf("request ran %d times, want at most once", executions)
	}
	if !strings.Contains(first, r.first.letter()) {
		t.Errorf("caller got %q (%s), want one of %q", r.first.letter(), r.first.body, first)
	}
	if !strings.Contains(resend, r.resend.letter()) {
		t.Errorf("resend got %q (%s), want one of %q", r.resend.letter(), r.resend.body, resend)
	}
	previousAnswer := ""
	for _, o := range []callerResult{r.first, r.concurrentResend, r.resend} {
		switch o.kind {
		case "answer":
			if executions != 1 || !strings.HasSuffix(o.body, " for "+caseKey) {
				t.Errorf("answer %q after %d executions", o.body, executions)
			}
			if previousAnswer != "" && previousAnswer != o.body {
				t.Errorf("answers %q and %q differ", previousAnswer, o.body)
			}
			previousAnswer = o.body
		case "no":
			if n := w.executionLog.countRequest(o.request); n > 0 {
				t.Errorf("reported as not run, but ran %d times: %s", n, o.body)
			}
			fallthrough
		case "unknown":
			if o.retryAfter == "" && o.code != "outcome_unknown" {
				t.Errorf("no Retry-After with %s", o.body)
			}
		}
		if limit := 21 * time.Second; o.elapsed > limit { // the deadline is at 20 s
			t.Errorf("answered after %s", o.elapsed)
		}
	}
}

// letter returns the letter of a result in the cells of the matrix.
func (o callerResult) letter() string {
	return map[string]string{"answer": "a", "no": "n", "unknown": "u", "gone": "g", "yes": "y"}[o.kind]
}
