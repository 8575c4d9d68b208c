package saddlegate

import (
	"context"
	"sync"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
)

// Gate guards one target. It is safe for concurrent use.
type Gate struct {
	mu       sync.Mutex
	admitter fireflysaddle.Admitter
	waiters  map[fireflysaddle.RequestID]chan struct{}
	finished uint64
}

// New returns a gate over an admission decider, which the gate owns.
func New(admitter fireflysaddle.Admitter) *Gate {
	return &Gate{admitter: admitter, waiters: map[fireflysaddle.RequestID]chan struct{}{}}
}

// Enter waits for a slot. The returned clean-up frees it. An error is a
// *fireflysaddle.RefusedError: the request was not started.
func (g *Gate) Enter(ctx context.Context, d fireflysaddle.Demand) (leave func(), err error) {
	started, err := g.offer(time.Now(), d)
	if err != nil {
		return nil, err
	}
	leave = func() { g.leave(time.Now(), d.Request) }
	select {
	case <-started:
		return leave, nil
	case <-ctx.Done():
	}
	if g.withdraw(time.Now(), d.Request) {
		return nil, &fireflysaddle.RefusedError{Code: fireflysaddle.CodeDeadline, Message: "the deadline passed in the queue"}
	}
	leave() // it was started just now
	return nil, &fireflysaddle.RefusedError{Code: fireflysaddle.CodeDeadline, Message: "the deadline passed as the request was to start"}
}

// Load returns the gate's load.
func (g *Gate) Load(now time.Time) Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	running, queued := g.admitter.Counts()
	return Load{Running: running, Queued: queued, Finished: g.finished, Wait: g.admitter.Wait(now)}
}

func (g *Gate) offer(now time.Time, d fireflysaddle.Demand) (<-chan struct{}, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if err := g.admitter.Offer(now, d); err != nil {
		return nil, err
	}
	started := make(chan struct{})
	g.waiters[d.Request] = started
	g.pump(now)
	return started, nil
}

func (g *Gate) leave(now time.Time, id fireflysaddle.RequestID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.admitter.Finish(now, id)
	g.finished++
	g.pump(now)
}

func (g *Gate) withdraw(now time.Time, id fireflysaddle.RequestID) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.admitter.Withdraw(now, id) {
		return false
	}
	delete(g.waiters, id)
	return true
}

// pump starts what can start.
func (g *Gate) pump(now time.Time) {
	for {
		id, ok := g.admitter.Next(now)
		if !ok {
			return
		}
		close(g.waiters[id])
		delete(g.waiters, id)
	}
}
