package saddletimeline

import (
	"sync"
	"time"

	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// Ring is a ring buffer with the latest events of one process. It is safe for
// concurrent use; a nil Ring records nothing.
type Ring struct {
	node  string
	clock Clock

	mu     sync.Mutex
	events []Event
	next   int  // index of the next event to write
	full   bool // every element of events has been written
}

// NewRing returns a ring that holds up to capacity events of a node.
func NewRing(node string, capacity int) *Ring {
	return &Ring{node: node, events: make([]Event, capacity)}
}

// Add records an event and sets its node and stamp.
func (r *Ring) Add(now time.Time, e Event) {
	if r == nil {
		return
	}
	e.Node = r.node
	e.WallNs, e.Count = r.clock.next(now)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events[r.next] = e
	r.next++
	if r.next == len(r.events) {
		r.next = 0
		r.full = true
	}
}

// Stamp returns a stamp to send with a message, or nil if the ring is nil.
func (r *Ring) Stamp(now time.Time) *saddlewire.Stamp {
	if r == nil {
		return nil
	}
	return r.clock.Now(now)
}

// Observe advances the clock past the stamp of a received message. The stamp may
// be nil.
func (r *Ring) Observe(now time.Time, s *saddlewire.Stamp) {
	if r == nil || s == nil {
		return
	}
	r.clock.Observe(now, s)
}

// Events returns the recorded events, oldest first.
func (r *Ring) Events() []Event {
	if r == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Event
	if r.full {
		out = append(out, r.events[r.next:]...)
	}
	return append(out, r.events[:r.next]...)
}
