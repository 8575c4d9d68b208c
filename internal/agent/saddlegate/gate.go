package saddlegate

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
)

// Gate guards one target. It is safe for concurrent use.
type Gate struct {
	mu       sync.Mutex
	admitter fireflysaddle.Admitter
	waiters  map[fireflysaddle.RequestID]*waiter
	entered  uint64
	finished uint64
	expiry   *time.Timer // runs pump when a queued request will be too late
}

// waiter is a queued request. Its channel is closed when it may start or is
// refused.
type waiter struct {
	decided chan struct{}
	refusal *fireflysaddle.RefusedError
}

// New returns a gate over an admission decider, which the gate owns.
func New(admitter fireflysaddle.Admitter) *Gate {
	return &Gate{admitter: admitter, waiters: map[fireflysaddle.RequestID]*waiter{}}
}

// Enter waits for a slot. The returned clean-up frees it. An error is a
// *fireflysaddle.RefusedError: the request was not started. A queued request
// that can no longer meet its deadline is refused at that moment.
func (g *Gate) Enter(ctx context.Context, d fireflysaddle.Demand) (leave func(), err error) {
	w, id, err := g.offer(time.Now(), d)
	if err != nil {
		return nil, err
	}
	leave = func() { g.leave(time.Now(), id) }
	select {
	case <-w.decided:
	case <-ctx.Done():
		if refusal := g.withdraw(time.Now(), id); refusal != nil {
			return nil, refusal
		}
	}
	<-w.decided
	switch {
	case w.refusal != nil:
		return nil, w.refusal
	case ctx.Err() != nil:
		leave()
		return nil, late(0)
	}
	return leave, nil
}

// Load returns the gate's load.
func (g *Gate) Load(now time.Time) Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	running, queued := g.admitter.Counts()
	return Load{Running: running, Queued: queued, Finished: g.finished, EstimatedWait: g.admitter.EstimatedWait(now)}
}

// offer queues a request under an id of its own, since two attempts of one
// request may be here at the same time.
func (g *Gate) offer(now time.Time, d fireflysaddle.Demand) (*waiter, fireflysaddle.RequestID, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.entered++
	d.Request = fireflysaddle.RequestID(fmt.Sprintf("%s#%d", d.Request, g.entered))
	if err := g.admitter.Offer(now, d); err != nil {
		return nil, "", err
	}
	w := &waiter{decided: make(chan struct{})}
	g.waiters[d.Request] = w
	g.pump(now)
	return w, d.Request, nil
}

func (g *Gate) leave(now time.Time, id fireflysaddle.RequestID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.admitter.Finish(now, id)
	g.finished++
	g.pump(now)
}

// withdraw takes a request out of the queue; nil: it was decided on before.
func (g *Gate) withdraw(now time.Time, id fireflysaddle.RequestID) *fireflysaddle.RefusedError {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.admitter.Withdraw(now, id) {
		return nil
	}
	delete(g.waiters, id)
	g.pump(now)
	return late(g.admitter.EstimatedWait(now))
}

// pump refuses what is too late, starts what can start, and sets the time of
// the next refusal.
func (g *Gate) pump(now time.Time) {
	for _, id := range g.admitter.RemoveExpired(now) {
		g.decide(id, late(g.admitter.EstimatedWait(now)))
	}
	for {
		id, ok := g.admitter.Next(now)
		if !ok {
			break
		}
		g.decide(id, nil)
	}
	if g.expiry != nil {
		g.expiry.Stop()
		g.expiry = nil
	}
	if at, ok := g.admitter.NextExpiry(); ok {
		g.expiry = time.AfterFunc(at.Sub(now), g.expire)
	}
}

func (g *Gate) expire() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pump(time.Now())
}

func (g *Gate) decide(id fireflysaddle.RequestID, refusal *fireflysaddle.RefusedError) {
	w := g.waiters[id]
	delete(g.waiters, id)
	w.refusal = refusal
	close(w.decided)
}

// late returns the refusal of a request that cannot meet its deadline. The
// queue before it drains within wait.
func late(wait time.Duration) *fireflysaddle.RefusedError {
	return &fireflysaddle.RefusedError{
		Code:       fireflysaddle.CodeDeadline,
		Message:    "the deadline would pass before the end",
		RetryAfter: wait,
	}
}
