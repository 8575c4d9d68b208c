package saddlestage

import (
	"context"
	"sync"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/trace/saddletimeline"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// Runner runs an agent's stages of all chains. It is safe for concurrent use.
type Runner struct {
	cfg   Config
	ctx   context.Context
	table *table
	heads *heads
	links *links

	mu      sync.Mutex
	stopped bool
	wg      sync.WaitGroup
}

// New returns a runner and a function that stops it and waits for its
// goroutines.
func New(cfg Config) (*Runner, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	r := &Runner{cfg: cfg, ctx: ctx, heads: newHeads()}
	r.table = newTable(ctx, cfg.BufferBytes, r.enqueue)
	r.links = newLinks(ctx, cfg, r.onLinkBroken, r.onLinkDown)
	r.spawn(r.cleanupLoop)
	return r, func() {
		r.mu.Lock()
		r.stopped = true
		r.mu.Unlock()
		cancel()
		r.links.wait()
		r.wg.Wait()
	}
}

// spawn runs a function in a goroutine that the stop function waits for. After
// the stop it does nothing.
func (r *Runner) spawn(fn func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.stopped {
		r.wg.Go(fn)
	}
}

// Active returns the number of attempts with a session at this agent.
func (r *Runner) Active() int { return r.table.len() }

// Ping returns the state of an attempt at this agent. It answers heads that probe
// their stages and stages that check whether their head still runs the attempt.
func (r *Runner) Ping(request string, attempt uint32) *saddlewire.PingResponse {
	k := key{request: request, attempt: attempt}
	s, ok := r.table.snapshot(k)
	token := ""
	if n := len(s.outbox.outputs); ok && s.isLast() && n > 0 {
		token = s.outbox.outputs[n-1].token
	}
	return &saddlewire.PingResponse{
		Token:       token,
		Incarnation: uint64(r.cfg.Incarnation),
		TargetAlive: r.cfg.Engine() != nil,
		Known:       ok,
		Next:        s.completed,
		Busy:        s.running,
		Accepted:    s.accepted,
		Failed:      s.failure,
		Kept:        s.outbox.start,
		Export:      s.outbox.export.positions,
		Repair:      s.repairSeq,
		Accepting:   r.cfg.Accepting() && r.table.notClosed(k),
	}
}

// mayStart reports whether the attempt of a frame may start here. This agent must
// accept new attempts, and its target must still hold the layers, group and version
// for which the stage was chosen.
func (r *Runner) mayStart(f *saddlewire.Frame) bool {
	if !r.cfg.Accepting() {
		return false
	}
	if r.cfg.HoldsStage == nil || int(f.GetIndex()) >= len(f.GetChain()) {
		return true
	}
	return r.cfg.HoldsStage(f.GetChain()[f.GetIndex()])
}

// HandleFrame processes a frame from another agent.
func (r *Runner) HandleFrame(now time.Time, f *saddlewire.Frame) {
	switch f.GetKind() {
	case saddlewire.Frame_STEP:
		r.startWorker(f)(r.table.acceptStep(now, f, r.mayStart(f)))
	case saddlewire.Frame_RESTORE:
		r.startWorker(f)(r.table.restore(now, f, r.mayStart(f)))
	case saddlewire.Frame_TOKEN, saddlewire.Frame_FAULT:
		r.heads.deliver(f)
	case saddlewire.Frame_CLOSE:
		r.dropSession(now, keyOf(f))
	case saddlewire.Frame_REPLAY:
		if err := r.table.replay(now, f); err != nil {
			r.reportFault(keyOf(f), f.GetChain(), r.cfg.Target(), err.Error())
		}
	case saddlewire.Frame_EXPORT:
		r.table.storeExport(f)
	case saddlewire.Frame_NONE:
	}
}

// startWorker returns a function that reports an error to the head if there is an
// error. Otherwise it starts the worker of the session, unless the session is nil.
func (r *Runner) startWorker(f *saddlewire.Frame) func(s *session, err error) {
	return func(s *session, err error) {
		switch {
		case err != nil:
			r.reportFault(keyOf(f), f.GetChain(), r.cfg.Target(), err.Error())
		case s != nil:
			r.spawn(func() { r.runWorker(s) })
		}
	}
}

// dropSession closes a session and releases the engine's state of the attempt.
func (r *Runner) dropSession(now time.Time, k key) {
	if s := r.table.close(now, k); s != nil {
		r.spawn(func() { r.cancelOnEngine(k) })
	}
}

// cancelOnEngine makes the engine release its state of an attempt.
func (r *Runner) cancelOnEngine(k key) {
	engine := r.cfg.Engine()
	if engine == nil {
		return
	}
	ctx, cancel := context.WithTimeout(r.ctx, r.cfg.ProbeInterval)
	defer cancel()
	_ = engine.Cancel(ctx, fireflysaddle.RequestID(k.request), fireflysaddle.Attempt(k.attempt))
}

// send delivers a frame to an agent, which may be this one. It must not be
// called under the table's lock.
func (r *Runner) send(address string, f *saddlewire.Frame) {
	if address == r.cfg.Self {
		r.HandleFrame(time.Now(), f)
		return
	}
	r.enqueue(address, f)
}

// enqueue queues a frame for another agent. It does not take the table's lock,
// so it may be called under it.
func (r *Runner) enqueue(address string, f *saddlewire.Frame) {
	if !r.links.send(address, f) {
		r.spawn(func() { r.onLinkDown(address) })
	}
}

// reportFault reports a fault of a stage to the head of its chain. The head
// probes all stages before it repairs the chain. If chain is empty, the chain of
// the attempt's session is used.
func (r *Runner) reportFault(k key, chain []*saddlewire.Stage, target fireflysaddle.TargetID, reason string) {
	if s, ok := r.table.snapshot(k); ok && len(chain) == 0 {
		chain = s.chain
	}
	if len(chain) == 0 {
		return
	}
	r.sendFault(k, chain, &saddlewire.Frame{Fault: &saddlewire.Fault{Target: string(target), Message: reason}})
}

func (r *Runner) sendFault(k key, chain []*saddlewire.Stage, f *saddlewire.Frame) {
	countFaults.Add(1)
	r.cfg.Timeline.Add(time.Now(), saddletimeline.Event{
		Name: "stage_fault", Request: k.request, Attempt: k.attempt,
		Target: f.GetFault().GetTarget(), Detail: f.GetFault().GetMessage(),
	})
	f.Kind = saddlewire.Frame_FAULT
	f.Request = k.request
	f.Attempt = k.attempt
	r.send(chain[0].GetAddress(), f)
}

// onLinkBroken resends the outputs that may have been in flight on a broken link.
func (r *Runner) onLinkBroken(address string) {
	r.table.resendLastOutputs(time.Now(), address)
}

// onLinkDown handles an address that cannot be reached. It reports a fault to the
// head of each attempt whose stage at this agent sends frames to the address.
func (r *Runner) onLinkDown(address string) {
	for _, s := range r.table.sessionsSendingTo(address) {
		if s.headAddress() == address {
			continue // the fault would go to the unreachable head, which probes its stages anyway
		}
		fault := &saddlewire.Fault{Target: s.nextStage().GetTarget(), Message: "its agent is unreachable"}
		r.sendFault(s.key, s.chain, &saddlewire.Frame{Fault: fault, Unreachable: true})
	}
}
