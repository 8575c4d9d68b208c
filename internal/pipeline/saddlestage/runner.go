package saddlestage

import (
	"context"
	"sync"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/trace/saddletimeline"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// Runner is an agent's part of all chains. It is safe for concurrent use.
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

// New returns a runner and its clean-up, which ends its links and its work.
func New(cfg Config) (*Runner, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	r := &Runner{cfg: cfg, ctx: ctx, heads: newHeads()}
	r.table = newTable(ctx, cfg.BufferBytes, r.sendLater)
	r.links = newLinks(ctx, cfg, r.linkBroke, r.linkDown)
	r.spawn(r.watch)
	return r, func() {
		r.mu.Lock()
		r.stopped = true
		r.mu.Unlock()
		cancel()
		r.links.wait()
		r.wg.Wait()
	}
}

// spawn runs a function in a goroutine that the clean-up waits for.
func (r *Runner) spawn(fn func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.stopped {
		r.wg.Go(fn)
	}
}

// Active returns the number of attempts that have a stage here.
func (r *Runner) Active() int { return r.table.len() }

// Ping answers a head that asks after one of its stages, and a stage that asks
// after its head.
func (r *Runner) Ping(request string, attempt uint32) *saddlewire.PingResponse {
	k := key{request: request, attempt: attempt}
	s, ok := r.table.view(k)
	token := ""
	if n := len(s.outbox.outcomes); ok && s.last() && n > 0 {
		token = s.outbox.outcomes[n-1].token
	}
	return &saddlewire.PingResponse{
		Token:       token,
		Incarnation: uint64(r.cfg.Incarnation),
		TargetAlive: r.cfg.Engine() != nil,
		Known:       ok,
		Next:        s.done,
		Busy:        s.running,
		Accepted:    s.accepted,
		Failed:      s.failed,
		Kept:        s.outbox.from,
		Export:      s.outbox.export.positions,
		Repair:      s.repair,
		Accepting:   r.cfg.Accepting() && r.table.mayBegin(k),
	}
}

// mayBegin reports whether the attempt of a frame may begin here: the target
// takes new work, and still holds what the stage was chosen for.
func (r *Runner) mayBegin(f *saddlewire.Frame) bool {
	if !r.cfg.Accepting() {
		return false
	}
	if r.cfg.HoldsStage == nil || int(f.GetIndex()) >= len(f.GetChain()) {
		return true
	}
	return r.cfg.HoldsStage(f.GetChain()[f.GetIndex()])
}

// Take takes in a frame from another agent.
func (r *Runner) Take(now time.Time, f *saddlewire.Frame) {
	switch f.GetKind() {
	case saddlewire.Frame_STEP:
		r.begin(f)(r.table.step(now, f, r.mayBegin(f)))
	case saddlewire.Frame_RESTORE:
		r.begin(f)(r.table.restore(now, f, r.mayBegin(f)))
	case saddlewire.Frame_TOKEN, saddlewire.Frame_FAULT:
		r.heads.deliver(f)
	case saddlewire.Frame_CLOSE:
		r.drop(now, keyOf(f))
	case saddlewire.Frame_REPLAY:
		if err := r.table.replay(now, f); err != nil {
			r.fault(keyOf(f), f.GetChain(), r.cfg.Target(), err.Error())
		}
	case saddlewire.Frame_EXPORT:
		r.table.takeExport(f)
	case saddlewire.Frame_NONE:
	}
}

// begin starts the worker of a session that took in a frame, or tells the head
// why it did not.
func (r *Runner) begin(f *saddlewire.Frame) func(s *session, err error) {
	return func(s *session, err error) {
		switch {
		case err != nil:
			r.fault(keyOf(f), f.GetChain(), r.cfg.Target(), err.Error())
		case s != nil:
			r.spawn(func() { r.work(s) })
		}
	}
}

// drop ends a session and lets the engine drop what it holds.
func (r *Runner) drop(now time.Time, k key) {
	if s := r.table.close(now, k); s != nil {
		r.spawn(func() { r.forget(k) })
	}
}

// forget lets the engine drop what it holds for an attempt.
func (r *Runner) forget(k key) {
	engine := r.cfg.Engine()
	if engine == nil {
		return
	}
	ctx, cancel := context.WithTimeout(r.ctx, r.cfg.ProbeInterval)
	defer cancel()
	_ = engine.Cancel(ctx, fireflysaddle.RequestID(k.request), fireflysaddle.Attempt(k.attempt))
}

// send hands a frame to an agent, which may be this one. It must not be called
// under the table's lock.
func (r *Runner) send(address string, f *saddlewire.Frame) {
	if address == r.cfg.Self {
		r.Take(time.Now(), f)
		return
	}
	r.sendLater(address, f)
}

// sendLater queues a frame for another agent. It never calls the table.
func (r *Runner) sendLater(address string, f *saddlewire.Frame) {
	if !r.links.send(address, f) {
		r.spawn(func() { r.linkDown(address) })
	}
}

// fault tells the head of a chain that something is wrong with a stage. The
// head asks all stages before it decides anything.
func (r *Runner) fault(k key, chain []*saddlewire.Stage, target fireflysaddle.TargetID, reason string) {
	if s, ok := r.table.view(k); ok && len(chain) == 0 {
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

// linkBroke makes up for what was under way on a link that works again.
func (r *Runner) linkBroke(address string) {
	r.table.resendLast(time.Now(), address)
}

// linkDown tells the heads of the attempts whose next frame would have taken a
// link that cannot be opened.
func (r *Runner) linkDown(address string) {
	for _, s := range r.table.around(address) {
		if s.head() == address {
			continue // it cannot be told; it asks by itself
		}
		fault := &saddlewire.Fault{Target: s.after().GetTarget(), Message: "its agent cannot be reached"}
		r.sendFault(s.key, s.chain, &saddlewire.Frame{Fault: fault, Unreachable: true})
	}
}
