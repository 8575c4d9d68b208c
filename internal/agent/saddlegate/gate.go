package saddlegate

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
)

// Gate limits the requests that run at one target. It is safe for concurrent use.
type Gate struct {
	mu          sync.Mutex
	admitter    fireflysaddle.Admitter
	waiters     map[fireflysaddle.RequestID]*waiter
	sequence    uint64
	finished    uint64
	expiryTimer *time.Timer                 // calls schedule when the next queued request expires
	closed      *fireflysaddle.RefusedError // refusal of all requests once the gate is closed
}

// waiter is a queued request. Its channel is closed when the request is admitted
// or refused.
type waiter struct {
	resolved chan struct{}
	refusal  *fireflysaddle.RefusedError
}

// New returns a gate that admits requests as decided by admitter. The caller must
// not use admitter afterwards.
func New(admitter fireflysaddle.Admitter) *Gate {
	return &Gate{admitter: admitter, waiters: map[fireflysaddle.RequestID]*waiter{}}
}

// Enter waits for a slot and returns a function that releases it. The error is a
// *fireflysaddle.RefusedError and means that the request was not started. A queued
// request is refused when ctx ends, and as soon as it can no longer meet its
// deadline.
func (g *Gate) Enter(ctx context.Context, d fireflysaddle.Demand) (release func(), err error) {
	w, id, err := g.offer(time.Now(), d)
	if err != nil {
		return nil, err
	}
	release = func() { g.release(time.Now(), id) }
	select {
	case <-w.resolved:
	case <-ctx.Done():
		if refusal := g.withdraw(time.Now(), id); refusal != nil {
			return nil, refusal
		}
	}
	<-w.resolved
	switch {
	case w.refusal != nil:
		return nil, w.refusal
	case ctx.Err() != nil:
		release()
		return nil, deadlineRefusal(0)
	}
	return release, nil
}

// Close refuses the queued requests and those that come later. Requests that run keep their slots.
func (g *Gate) Close(now time.Time, refusal *fireflysaddle.RefusedError) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = refusal
	for id := range g.waiters {
		g.admitter.Withdraw(now, id)
		g.resolve(id, refusal)
	}
	g.schedule(now)
}

// Load returns the load of the target.
func (g *Gate) Load(now time.Time) Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	running, queued := g.admitter.Counts()
	return Load{Running: running, Queued: queued, Finished: g.finished, EstimatedWait: g.admitter.EstimatedWait(now)}
}

// offer queues a request under a unique ID, since two attempts of one request may
// be at the gate at the same time.
func (g *Gate) offer(now time.Time, d fireflysaddle.Demand) (*waiter, fireflysaddle.RequestID, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed != nil {
		return nil, "", g.closed
	}
	g.sequence++
	d.Request = fireflysaddle.RequestID(fmt.Sprintf("%s#%d", d.Request, g.sequence))
	if err := g.admitter.Offer(now, d); err != nil {
		return nil, "", err
	}
	w := &waiter{resolved: make(chan struct{})}
	g.waiters[d.Request] = w
	g.schedule(now)
	return w, d.Request, nil
}

func (g *Gate) release(now time.Time, id fireflysaddle.RequestID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.admitter.Finish(now, id)
	g.finished++
	g.schedule(now)
}

// withdraw removes a request from the queue and returns its refusal, or nil when
// the request was already admitted or refused.
func (g *Gate) withdraw(now time.Time, id fireflysaddle.RequestID) *fireflysaddle.RefusedError {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.admitter.Withdraw(now, id) {
		return nil
	}
	delete(g.waiters, id)
	g.schedule(now)
	return deadlineRefusal(g.admitter.EstimatedWait(now))
}

// schedule refuses expired requests, lets the requests that the admitter admits
// start, and sets the timer for the next expiry. The caller holds g.mu.
func (g *Gate) schedule(now time.Time) {
	for _, id := range g.admitter.RemoveExpired(now) {
		g.resolve(id, deadlineRefusal(g.admitter.EstimatedWait(now)))
	}
	for {
		id, ok := g.admitter.Next(now)
		if !ok {
			break
		}
		g.resolve(id, nil)
	}
	if g.expiryTimer != nil {
		g.expiryTimer.Stop()
		g.expiryTimer = nil
	}
	if at, ok := g.admitter.NextExpiry(); ok {
		g.expiryTimer = time.AfterFunc(at.Sub(now), g.runExpiry)
	}
}

func (g *Gate) runExpiry() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.schedule(time.Now())
}

// resolve ends the wait of a queued request. refusal is nil if the request was
// admitted.
func (g *Gate) resolve(id fireflysaddle.RequestID, refusal *fireflysaddle.RefusedError) {
	w := g.waiters[id]
	delete(g.waiters, id)
	w.refusal = refusal
	close(w.resolved)
}

// deadlineRefusal returns the refusal of a request that cannot meet its deadline.
// retryAfter is the predicted wait of a new request, or 0.
func deadlineRefusal(retryAfter time.Duration) *fireflysaddle.RefusedError {
	return &fireflysaddle.RefusedError{
		Code:       fireflysaddle.CodeDeadline,
		Message:    "the request cannot be completed before its deadline",
		RetryAfter: retryAfter,
	}
}
