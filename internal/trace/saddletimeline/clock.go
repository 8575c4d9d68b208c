package saddletimeline

import (
	"sync"
	"time"

	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// Clock is a hybrid logical clock. It never goes back, even if the wall clock does. It is
// safe for concurrent use.
type Clock struct {
	mu    sync.Mutex
	wall  int64
	count uint32
}

// Now returns a stamp greater than every stamp returned or observed before.
func (c *Clock) Now(now time.Time) *saddlewire.Stamp {
	wall, count := c.next(now)
	return &saddlewire.Stamp{WallNs: wall, Count: count}
}

// next is like Now but does not allocate a message.
func (c *Clock) next(now time.Time) (wall int64, count uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance(now, 0, 0)
	return c.wall, c.count
}

// Observe advances the clock past the stamp of a received message. The stamp may
// be nil.
func (c *Clock) Observe(now time.Time, s *saddlewire.Stamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance(now, s.GetWallNs(), s.GetCount())
}

// advance sets the clock's wall time to the latest of the present time, the clock's own
// wall time and the given one. The count becomes one more than the counts that belong to
// this wall time, or 0 if neither the clock nor the given stamp has this wall time.
func (c *Clock) advance(now time.Time, wall int64, count uint32) {
	latest := max(now.UnixNano(), c.wall, wall)
	nextCount := uint32(0)
	if latest == c.wall {
		nextCount = max(nextCount, c.count+1)
	}
	if latest == wall {
		nextCount = max(nextCount, count+1)
	}
	c.wall = latest
	c.count = nextCount
}
