package saddleentry_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/target/saddleannounce"
)

const (
	serviceGroup  = "filing-desk"
	modelGroup    = "drafting-models"
	callDuration  = 100 * time.Millisecond
	tokenInterval = 50 * time.Millisecond
)

var errTargetRestarted = errors.New("the target was restarted")

// execution is one call that a service ran, or one draft that an engine started.
type execution struct {
	request string
	body    string // body of the call, or prompt of the draft
}

// executionLog records what all targets ran.
type executionLog struct {
	mu         sync.Mutex
	executions []execution
}

// add records an execution and returns the number of executions recorded so far.
func (l *executionLog) add(e execution) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.executions = append(l.executions, e)
	return len(l.executions)
}

// countBody returns the number of executions of calls with this body or of drafts with
// this prompt.
func (l *executionLog) countBody(body string) int {
	return l.count(func(e execution) bool { return e.body == body })
}

// countRequest returns the number of executions of a request.
func (l *executionLog) countRequest(request string) int {
	return l.count(func(e execution) bool { return e.request == request })
}

func (l *executionLog) count(matches func(execution) bool) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, e := range l.executions {
		if matches(e) {
			n++
		}
	}
	return n
}

// testTarget is the target of one incarnation of an agent: a service or an engine. It
// outlives its agent.
type testTarget struct {
	cluster *testCluster

	mu            sync.Mutex
	disconnected  bool          // the agent's process was killed, and its requests no longer reach the target
	resumed       chan struct{} // closed by resume; nil: messages between agent and target are delivered
	restartSignal chan struct{} // closed when the target restarts
	answer        []byte        // body of the answer, if not nil
	delay         time.Duration // added to callDuration in each call
}

func newTestTarget(w *testCluster) *testTarget {
	return &testTarget{cluster: w, restartSignal: make(chan struct{})}
}

func (t *testTarget) Service(id fireflysaddle.TargetID, _ string) (fireflysaddle.Service, func()) {
	return &testService{testTarget: t, id: id}, func() {}
}

func (t *testTarget) Engine(id fireflysaddle.TargetID, _ string) (fireflysaddle.Engine, func()) {
	return &testEngine{testTarget: t, id: id}, func() {}
}

// disconnect makes the target unreachable for its agent, whose process was killed.
func (t *testTarget) disconnect() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.disconnected = true
}

// suspend delays the messages between agent and target until resume is called.
func (t *testTarget) suspend() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.resumed = make(chan struct{})
}

func (t *testTarget) resume() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.resumed != nil {
		close(t.resumed)
	}
	t.resumed = nil
}

func (t *testTarget) restart() {
	t.mu.Lock()
	defer t.mu.Unlock()
	close(t.restartSignal)
	t.restartSignal = make(chan struct{})
}

// restarted returns a channel that is closed when the target next restarts.
func (t *testTarget) restarted() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.restartSignal
}

// awaitReachable blocks while messages between agent and target are suspended, and
// reports whether the agent's requests still reach the target.
func (t *testTarget) awaitReachable() bool {
	t.mu.Lock()
	resumed := t.resumed
	t.mu.Unlock()
	if resumed != nil {
		<-resumed
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.disconnected
}

// testService is a plain service that runs each call that reaches it.
type testService struct {
	*testTarget
	id fireflysaddle.TargetID
}

func (s *testService) Alive(context.Context) error { return nil }

func (s *testService) Call(ctx context.Context, c fireflysaddle.Call) (fireflysaddle.Answer, error) {
	restarted := s.restarted()
	body := string(c.Body)
	s.cluster.reachStep(stepFirstByte, body)
	if !s.awaitReachable() {
		return fireflysaddle.Answer{}, s.targetError(errTargetRestarted)
	}
	select {
	case <-restarted:
		return fireflysaddle.Answer{}, s.targetError(errTargetRestarted)
	default:
	}
	n := s.cluster.executionLog.add(execution{request: string(c.Request), body: body})
	s.cluster.reachStep(stepRunning, body)
	s.cluster.awaitRelease(body)
	select {
	case <-time.After(callDuration + s.delay):
	case <-restarted:
		return fireflysaddle.Answer{}, s.targetError(errTargetRestarted)
	case <-ctx.Done():
		return fireflysaddle.Answer{}, s.targetError(ctx.Err())
	}
	s.awaitReachable()
	s.cluster.answerStarting(body)
	if s.answer != nil {
		return fireflysaddle.Answer{Status: 201, ContentType: "application/json", Body: s.answer}, nil
	}
	return fireflysaddle.Answer{Status: 201, ContentType: "application/json", Body: fmt.Appendf(nil, "receipt %d for %s", n, body)}, nil
}

func (s *testService) targetError(err error) error {
	return &fireflysaddle.TargetError{Target: s.id, Err: err}
}

// testEngine generates the tokens "PROMPT/0", "PROMPT/1" and so on.
type testEngine struct {
	fireflysaddle.Engine
	*testTarget
	id fireflysaddle.TargetID
}

func (e *testEngine) Alive(context.Context) error { return nil }

func (e *testEngine) Generate(ctx context.Context, g fireflysaddle.Generation, emit func(string) error) error {
	restarted := e.restarted()
	e.cluster.reachStep(stepFirstByte, g.Prompt)
	if !e.awaitReachable() {
		return &fireflysaddle.TargetError{Target: e.id, Err: errTargetRestarted}
	}
	e.cluster.executionLog.add(execution{request: string(g.Request), body: g.Prompt})
	e.cluster.reachStep(stepRunning, g.Prompt)
	e.cluster.awaitRelease(g.Prompt)
	for n := range int(g.MaxTokens) {
		select {
		case <-time.After(tokenInterval):
		case <-restarted:
			return &fireflysaddle.TargetError{Target: e.id, Err: errTargetRestarted}
		case <-ctx.Done():
			return &fireflysaddle.TargetError{Target: e.id, Err: ctx.Err()}
		}
		if err := emit(token(g.Prompt, len(g.Delivered)+n)); err != nil {
			return err
		}
		e.cluster.tokenEmitted(g.Prompt, len(g.Delivered)+n)
	}
	return nil
}

func token(prompt string, n int) string { return fmt.Sprintf("%s/%d ", prompt, n) }

func announcement(process, kind, group string, incarnation uint64) saddleannounce.Announcement {
	a := saddleannounce.Announcement{
		ID: "target-of-" + process, Kind: kind, Group: group, Version: "1",
		Slots: 1, Address: "127.0.0.1:1", Incarnation: incarnation,
	}
	if kind == string(fireflysaddle.KindEngine) {
		a.LayerTo, a.LayerCount = 4, 4
	}
	return a
}
