package saddlegateway

import (
	"context"
	"slices"
	"sync"
	"time"
)

// waitLook is the time between looks for room by the request whose turn it is.
const waitLook = 15 * time.Millisecond

// waiting holds the requests that wait for a chain. The one that came last looks
// first: it can still be answered on time, while those that have waited for long
// are late whenever they are served.
type waiting struct {
	mu      sync.Mutex
	tickets []*ticket // in the order of arrival
}

// ticket is the place of one request.
type ticket struct {
	queue *waiting
}

func (w *waiting) join() *ticket {
	t := &ticket{queue: w}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tickets = append(w.tickets, t)
	countWaiting.Add(1)
	return t
}

func (t *ticket) leave() {
	t.queue.mu.Lock()
	defer t.queue.mu.Unlock()
	t.queue.tickets = slices.DeleteFunc(t.queue.tickets, func(other *ticket) bool { return other == t })
}

func (t *ticket) first() bool {
	t.queue.mu.Lock()
	defer t.queue.mu.Unlock()
	return t.queue.tickets[len(t.queue.tickets)-1] == t
}

// turn waits until the request may look for a chain. It reports false when the
// wait or the context has ended.
func (t *ticket) turn(ctx context.Context, wait time.Duration) bool {
	over := time.NewTimer(wait)
	defer over.Stop()
	look := time.NewTicker(waitLook)
	defer look.Stop()
	for {
		select {
		case <-ctx.Done():
			return false
		case <-over.C:
			return false
		case <-look.C:
		}
		if t.first() {
			return true
		}
	}
}
