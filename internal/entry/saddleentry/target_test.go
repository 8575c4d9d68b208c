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
	body    string
}

// executionLog records what all targets ran.
type executionLog struct {
	mu         sync.Mutex
	executions []execution
}

func (l *executionLog) add(e execution) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.executions = append(l.executions, e)
	return len(l.executions)
}

// countBody returns how often a body was run, countRequest how often a request was.
func (l *executionLog) countBody(body string) int {
	return l.count(func(e execution) bool { return e.body == body })
}

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
	w *testCluster

	mu     sync.Mutex
	dead   bool          // the agent's process was killed; its requests no longer reach the target
	thawed chan struct{} // nil: the agent's process is not frozen
	reset  chan struct{} // closed when the target restarts
	answer []byte        // body of the answer, if not nil
	delay  time.Duration // of each call, added to callDuration
}

func newTestTarget(w *testCluster) *testTarget { return &testTarget{w: w, reset: make(chan struct{})} }

func (t *testTarget) Service(id fireflysaddle.TargetID, _ string) (fireflysaddle.Service, func()) {
	return &testService{testTarget: t, id: id}, func() {}
}

func (t *testTarget) Engine(id fireflysaddle.TargetID, _ string) (fireflysaddle.Engine, func()) {
	return &testEngine{testTarget: t, id: id}, func() {}
}

func (t *testTarget) kill() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dead = true
}

func (t *testTarget) freeze() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.thawed = make(chan struct{})
}

func (t *testTarget) thaw() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.thawed != nil {
		close(t.thawed)
	}
	t.thawed = nil
}

func (t *testTarget) restart() {
	t.mu.Lock()
	defer t.mu.Unlock()
	close(t.reset)
	t.reset = make(chan struct{})
}

func (t *testTarget) restarted() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reset
}

// awaitReachable blocks while the agent is frozen and reports whether its requests
// still reach the target.
func (t *testTarget) awaitReachable() bool {
	t.mu.Lock()
	thawed := t.thawed
	t.mu.Unlock()
	if thawed != nil {
		<-thawed
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.dead
}

// testService is a plain service that runs each call that reaches it.
type testService struct {
	*testTarget
	id fireflysaddle.TargetID
}

func (s *testService) Alive(context.Context) error { return nil }

func (s *testService) Call(ctx context.Context, c fireflysaddle.Call) (fireflysaddle.Answer, error) {
	reset := s.restarted()
	body := string(c.Body)
	s.w.reachStep(stepFirstByte, body)
	if !s.awaitReachable() {
		return fireflysaddle.Answer{}, s.fail(errTargetRestarted)
	}
	select {
	case <-reset:
		return fireflysaddle.Answer{}, s.fail(errTargetRestarted)
	default:
	}
	n := s.w.executionLog.add(execution{request: string(c.Request), body: body})
	s.w.reachStep(stepRunning, body)
	s.w.awaitRelease(body)
	select {
	case <-time.After(callDuration + s.delay):
	case <-reset:
		return fireflysaddle.Answer{}, s.fail(errTargetRestarted)
	case <-ctx.Done():
		return fireflysaddle.Answer{}, s.fail(ctx.Err())
	}
	s.awaitReachable()
	s.w.answerStarting(body)
	if s.answer != nil {
		return fireflysaddle.Answer{Status: 201, ContentType: "application/json", Body: s.answer}, nil
	}
	return fireflysaddle.Answer{Status: 201, ContentType: "application/json", Body: fmt.Appendf(nil, "receipt %d for %s", n, body)}, nil
}

func (s *testService) fail(err error) error {
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
	reset := e.restarted()
	e.w.reachStep(stepFirstByte, g.Prompt)
	if !e.awaitReachable() {
		return &fireflysaddle.TargetError{Target: e.id, Err: errTargetRestarted}
	}
	e.w.executionLog.add(execution{request: string(g.Request), body: g.Prompt})
	e.w.reachStep(stepRunning, g.Prompt)
	e.w.awaitRelease(g.Prompt)
	for n := range int(g.MaxTokens) {
		select {
		case <-time.After(tokenInterval):
		case <-reset:
			return &fireflysaddle.TargetError{Target: e.id, Err: errTargetRestarted}
		case <-ctx.Done():
			return &fireflysaddle.TargetError{Target: e.id, Err: ctx.Err()}
		}
		if err := emit(token(g.Prompt, len(g.Delivered)+n)); err != nil {
			return err
		}
		e.w.tokenEmitted(g.Prompt, len(g.Delivered)+n)
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
