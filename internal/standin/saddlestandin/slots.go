package saddlestandin

import (
	"context"
	"sync"
)

// slots is a semaphore that grants slots to the highest priority first, and in the
// order of arrival within a priority.
type slots struct {
	mu      sync.Mutex
	free    int
	waiting []*slotWaiter
}

type slotWaiter struct {
	priority int32
	granted  chan struct{}
}

func newSlots(n int) *slots { return &slots{free: n} }

// acquire waits for a slot. It returns false if the context ended first.
func (s *slots) acquire(ctx context.Context, priority int32) bool {
	w := &slotWaiter{priority: priority, granted: make(chan struct{})}
	s.mu.Lock()
	s.waiting = append(s.waiting, w)
	s.grant()
	s.mu.Unlock()
	select {
	case <-w.granted:
		return true
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, other := range s.waiting {
		if other == w {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			return false
		}
	}
	s.free++ // the slot was granted before the waiter could be removed
	s.grant()
	return false
}

func (s *slots) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.free++
	s.grant()
}

// queued returns the number of waiting requests.
func (s *slots) queued() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.waiting)
}

func (s *slots) grant() {
	for s.free > 0 && len(s.waiting) > 0 {
		best := 0
		for i, w := range s.waiting {
			if w.priority > s.waiting[best].priority {
				best = i
			}
		}
		close(s.waiting[best].granted)
		s.waiting = append(s.waiting[:best], s.waiting[best+1:]...)
		s.free--
	}
}
