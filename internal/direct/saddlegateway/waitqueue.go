package saddlegateway

import (
	"context"
	"slices"
	"sync"
	"time"
)

// waitPollInterval is the time between capacity checks by the newest request of the
// queue.
const waitPollInterval = 15 * time.Millisecond

// waitQueue holds the requests that wait for a chain. It is served last in, first out:
// the newest request can still be answered on time, whereas those that have waited long
// will be late in any case.
type waitQueue struct {
	mu      sync.Mutex
	waiters []*waiter // in order of arrival
}

// waiter is one queued request.
type waiter struct {
	queue *waitQueue
}

func (w *waitQueue) join() *waiter {
	t := &waiter{queue: w}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waiters = append(w.waiters, t)
	countWaited.Add(1)
	return t
}

func (t *waiter) leave() {
	t.queue.mu.Lock()
	defer t.queue.mu.Unlock()
	t.queue.waiters = slices.DeleteFunc(t.queue.waiters, func(other *waiter) bool { return other == t })
}

func (t *waiter) isNewest() bool {
	t.queue.mu.Lock()
	defer t.queue.mu.Unlock()
	return t.queue.waiters[len(t.queue.waiters)-1] == t
}

// awaitTurn blocks until the request may check for a chain. It reports false when the
// wait or the context has ended.
func (t *waiter) awaitTurn(ctx context.Context, wait time.Duration) bool {
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
		if t.isNewest() {
			return true
		}
	}
}
