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
	mu  sync.Mutex
	all []execution
}

func (j *executionLog) add(e execution) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.all = append(j.all, e)
	return len(j.all)
}

// countBody returns how often a body was run, countRequest how often a request was.
func (j *executionLog) countBody(body string) int {
	return j.count(func(e execution) bool { return e.body == body })
}

func (j *executionLog) countRequest(request string) int {
	return j.count(func(e execution) bool { return e.request == request })
}

func (j *executionLog) count(matches func(execution) bool) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	n := 0
	for _, e := range j.all {
		if matches(e) {
			n++
		}
	}
	return n
}

// targets is the target of one incarnation of an agent: a service or an engine. It
// outlives its agent.
type targets struct {
	w *testCluster

	mu     sync.Mutex
	dead   bool          // the agent's process was killed; its requests no longer reach the target
	thawed chan struct{} // nil: the agent's process is not frozen
	reset  chan struct{} // closed when the target restarts
	answer []byte        // body of the answer, if not nil
	delay  time.Duration // of each call, added to callDuration
}

func newTargets(w *testCluster) *targets { return &targets{w: w, reset: make(chan struct{})} }

func (g *targets) Service(id fireflysaddle.TargetID, _ string) (fireflysaddle.Service, func()) {
	return &testService{targets: g, id: id}, func() {}
}

func (g *targets) Engine(id fireflysaddle.TargetID, _ string) (fireflysaddle.Engine, func()) {
	return &testEngine{targets: g, id: id}, func() {}
}

func (g *targets) kill() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.dead = true
}

func (g *targets) freeze() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.thawed = make(chan struct{})
}

func (g *targets) thaw() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.thawed != nil {
		close(g.thawed)
	}
	g.thawed = nil
}

func (g *targets) restart() {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.reset)
	g.reset = make(chan struct{})
}

func (g *targets) restarted() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.reset
}

// awaitReachable blocks while the agent is frozen and reports whether its requests
// still reach the target.
func (g *targets) awaitReachable() bool {
	g.mu.Lock()
	thawed := g.thawed
	g.mu.Unlock()
	if thawed != nil {
		<-thawed
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.dead
}

// testService is a plain service that runs each call that reaches it.
type testService struct {
	*targets
	id fireflysaddle.TargetID
}

func (d *testService) Alive(context.Context) error { return nil }

func (d *testService) Call(ctx context.Context, c fireflysaddle.Call) (fireflysaddle.Answer, error) {
	reset := d.restarted()
	body := string(c.Body)
	d.w.reachStep(stepFirstByte, body)
	if !d.awaitReachable() {
		return fireflysaddle.Answer{}, d.fail(errTargetRestarted)
	}
	select {
	case <-reset:
		return fireflysaddle.Answer{}, d.fail(errTargetRestarted)
	default:
	}
	n := d.w.executionLog.add(execution{request: string(c.Request), body: body})
	d.w.reachStep(stepRunning, body)
	d.w.awaitRelease(body)
	select {
	case <-time.After(callDuration + d.delay):
	case <-reset:
		return fireflysaddle.Answer{}, d.fail(errTargetRestarted)
	case <-ctx.Done():
		return fireflysaddle.Answer{}, d.fail(ctx.Err())
	}
	d.awaitReachable()
	d.w.answerStarting(body)
	if d.answer != nil {
		return fireflysaddle.Answer{Status: 201, ContentType: "application/json", Body: d.answer}, nil
	}
	return fireflysaddle.Answer{Status: 201, ContentType: "application/json", Body: fmt.Appendf(nil, "receipt %d for %s", n, body)}, nil
}

func (d *testService) fail(err error) error {
	return &fireflysaddle.TargetError{Target: d.id, Err: err}
}

// testEngine generates the tokens "PROMPT/0", "PROMPT/1" and so on.
type testEngine struct {
	fireflysaddle.Engine
	*targets
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
