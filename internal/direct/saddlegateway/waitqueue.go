package saddlegateway

import (
	"context"
	"slices"
	"sync"
	"time"
)

// waitPollInterval is the time between capacity checks by the next request in the
// queue.
const waitPollInterval = 15 * time.Millisecond

// waitQueue holds the requests that wait for a chain. It is served last in, first out:
// the newest request can still be answered on time, whereas those that have waited long
// will be late in any case. While engines limit their requests, the queue admits only as many
// as will be served, and is served first in, first out, with retries before the others.
type waitQueue struct {
	mu          sync.Mutex
	waiters     []*waiter // in order of arrival
	oldestFirst bool
}

func (q *waitQueue) setOldestFirst(oldestFirst bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.oldestFirst = oldestFirst
}

// mayOvertake reports whether a request that arrives may be served before those that wait.
func (q *waitQueue) mayOvertake() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return !q.oldestFirst || len(q.waiters) == 0
}

// length returns the number of requests that wait.
func (q *waitQueue) length() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiters)
}

// waiter is one queued request.
type waiter struct {
	queue *waitQueue
	retry bool
}

func (q *waitQueue) join(retry bool) *waiter {
	w := &waiter{queue: q, retry: retry}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiters = append(q.waiters, w)
	countWaited.Add(1)
	return w
}

func (w *waiter) leave() {
	w.queue.mu.Lock()
	defer w.queue.mu.Unlock()
	w.queue.waiters = slices.DeleteFunc(w.queue.waiters, func(other *waiter) bool { return other == w })
}

func (w *waiter) isNext() bool {
	w.queue.mu.Lock()
	defer w.queue.mu.Unlock()
	if !w.queue.oldestFirst {
		return w.queue.waiters[len(w.queue.waiters)-1] == w
	}
	next := slices.IndexFunc(w.queue.waiters, func(other *waiter) bool { return other.retry })
	return w.queue.waiters[max(0, next)] == w
}

// awaitTurn blocks until the request may check for a chain with capacity. It waits for
// waitPollInterval, and repeats this until the request is the next in the queue. It
// returns false if the duration wait has passed or the context ends first.
func (w *waiter) awaitTurn(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	ticker := time.NewTicker(waitPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return false
		case <-timer.C:
			return false
		case <-ticker.C:
		}
		if w.isNext() {
			return true
		}
	}
}
