package saddlestage

import (
	"context"
	"errors"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/trace/saddletimeline"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

const sweepEvery = time.Minute

// Runner is an agent's part of all chains. It is safe for concurrent use.
type Runner struct {
	cfg   Config
	ctx   context.Context
	table *table
	heads *heads
	links *links
}

// New returns a runner and its clean-up, which ends its links.
func New(cfg Config) (*Runner, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	r := &Runner{cfg: cfg, ctx: ctx, table: newTable(), heads: newHeads()}
	r.links = newLinks(ctx, cfg.Silence, r.linkDown)
	go r.sweep()
	return r, func() {
		cancel()
		r.links.wait()
	}
}

// Active returns the number of attempts that have a stage here.
func (r *Runner) Active() int { return r.table.len() }

// Ping answers a head that asks after one of its stages.
func (r *Runner) Ping(request string, attempt uint32) *saddlewire.PingResponse {
	s, ok := r.table.get(key{request: request, attempt: attempt})
	return &saddlewire.PingResponse{
		Incarnation: uint64(r.cfg.Incarnation),
		TargetAlive: r.cfg.Engine() != nil,
		Known:       ok,
		Next:        s.next,
		Busy:        s.busy,
	}
}

// Take takes in a frame from another agent.
func (r *Runner) Take(now time.Time, f *saddlewire.Frame) {
	switch f.GetKind() {
	case saddlewire.Frame_STEP:
		r.takeStep(now, f)
	case saddlewire.Frame_TOKEN, saddlewire.Frame_FAULT:
		r.heads.deliver(f)
	case saddlewire.Frame_CLOSE:
		r.takeClose(f)
	case saddlewire.Frame_NONE:
	}
}

func (r *Runner) takeStep(now time.Time, f *saddlewire.Frame) {
	s, err := r.table.accept(now, f, r.cfg.Accepting())
	if err != nil {
		r.fault(f.GetRequest(), f.GetAttempt(), f.GetChain(), r.cfg.Target(), err.Error())
		return
	}
	go r.runStep(f, s)
}

// runStep runs this stage's layers and hands the result on.
func (r *Runner) runStep(f *saddlewire.Frame, s session) {
	result, err := r.step(fireflysaddle.Step{
		Request:    fireflysaddle.RequestID(f.GetRequest()),
		Attempt:    fireflysaddle.Attempt(f.GetAttempt()),
		Priority:   fireflysaddle.Priority(s.priority),
		Position:   fireflysaddle.Position(f.GetPosition()),
		Activation: f.GetActivation(),
		Count:      f.GetCount(),
	})
	if err != nil {
		r.fault(f.GetRequest(), f.GetAttempt(), s.chain, r.cfg.Target(), err.Error())
		return
	}
	if r.table.done(key{request: f.GetRequest(), attempt: f.GetAttempt()}, f.GetCount()) {
		r.handOn(f, s, result)
	}
}

func (r *Runner) step(step fireflysaddle.Step) (fireflysaddle.StepResult, error) {
	engine := r.cfg.Engine()
	if engine == nil {
		return fireflysaddle.StepResult{}, errors.New("there is no engine")
	}
	countSteps.Add(1)
	return engine.Step(r.ctx, step)
}

// handOn sends the outcome of a step to the next stage, or to the head.
func (r *Runner) handOn(f *saddlewire.Frame, s session, result fireflysaddle.StepResult) {
	out := &saddlewire.Frame{
		Kind:     saddlewire.Frame_STEP,
		Request:  f.GetRequest(),
		Attempt:  f.GetAttempt(),
		Position: f.GetPosition(),
		Count:    f.GetCount(),
	}
	if s.last() {
		out.Kind = saddlewire.Frame_TOKEN
		out.Token = result.Token
		r.send(s.chain[0].GetAddress(), out)
		return
	}
	out.Index = s.index + 1
	out.Activation = result.Activation
	if f.GetPosition() == 0 {
		out.Chain = s.chain
		out.BudgetMs = f.GetBudgetMs()
		out.Priority = s.priority
	}
	r.send(s.after().GetAddress(), out)
}

func (r *Runner) takeClose(f *saddlewire.Frame) {
	k := key{request: f.GetRequest(), attempt: f.GetAttempt()}
	s, ok := r.table.close(k)
	if !ok {
		return
	}
	r.forget(k)
	if !s.last() {
		r.send(s.after().GetAddress(), f)
	}
}

// forget lets the engine drop what it holds for an attempt.
func (r *Runner) forget(k key) {
	engine := r.cfg.Engine()
	if engine == nil {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(r.ctx, r.cfg.Probe)
		defer cancel()
		_ = engine.Cancel(ctx, fireflysaddle.RequestID(k.request), fireflysaddle.Attempt(k.attempt))
	}()
}

// send hands a frame to an agent, which may be this one.
func (r *Runner) send(address string, f *saddlewire.Frame) {
	if address == r.cfg.Self {
		r.Take(time.Now(), f)
		return
	}
	if !r.links.send(address, f) {
		r.linkDown(address)
	}
}

// fault tells the head of a chain that a stage failed.
func (r *Runner) fault(request string, attempt uint32, chain []*saddlewire.Stage, target fireflysaddle.TargetID, reason string) {
	countFaults.Add(1)
	r.cfg.Timeline.Add(time.Now(), saddletimeline.Event{Name: "stage_fault", Request: request, Attempt: attempt, Target: string(target), Detail: reason})
	if len(chain) == 0 {
		if s, ok := r.table.get(key{request: request, attempt: attempt}); ok {
			chain = s.chain
		}
	}
	if len(chain) == 0 {
		return
	}
	r.send(chain[0].GetAddress(), &saddlewire.Frame{
		Kind:    saddlewire.Frame_FAULT,
		Request: request,
		Attempt: attempt,
		Fault:   &saddlewire.Fault{Target: string(target), Message: reason},
	})
}

// linkDown faults the attempts whose next frame would have taken the link.
func (r *Runner) linkDown(address string) {
	for k, s := range r.table.through(address) {
		if s.last() {
			continue // the head itself cannot be told; it asks by itself
		}
		r.fault(k.request, k.attempt, s.chain, fireflysaddle.TargetID(s.after().GetTarget()), "the link to its agent is lost")
	}
}

func (r *Runner) sweep() {
	tick := time.NewTicker(sweepEvery)
	defer tick.Stop()
	for {
		select {
		case <-r.ctx.Done():
			return
		case now := <-tick.C:
			for _, k := range r.table.sweep(now) {
				r.forget(k)
			}
		}
	}
}
