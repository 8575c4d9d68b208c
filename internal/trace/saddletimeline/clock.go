package saddletimeline

import (
	"sync"
	"time"

	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// Clock is a hybrid logical clock. It is safe for concurrent use.
type Clock struct {
	mu    sync.Mutex
	wall  int64
	count uint32
}

// Now returns a stamp above every stamp returned or observed before.
func (c *Clock) Now(now time.Time) *saddlewire.Stamp {
	wall, count := c.next(now)
	return &saddlewire.Stamp{WallNs: wall, Count: count}
}

// next is Now without a message to allocate.
func (c *Clock) next(now time.Time) (wall int64, count uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance(now, 0, 0)
	return c.wall, c.count
}

// Observe takes in the stamp of a received message, which may be nil.
func (c *Clock) Observe(now time.Time, s *saddlewire.Stamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance(now, s.GetWallNs(), s.GetCount())
}

func (c *Clock) advance(now time.Time, wall int64, count uint32) {
	latest := max(now.UnixNano(), c.wall, wall)
	next := uint32(0)
	if latest == c.wall {
		next = max(next, c.count+1)
	}
	if latest == wall {
		next = max(next, count+1)
	}
	c.wall = latest
	c.count = next
}
