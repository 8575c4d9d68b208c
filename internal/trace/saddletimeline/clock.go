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
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.advance(now, 0, 0)
}

// Observe takes in the stamp of a received message, which may be nil.
func (c *Clock) Observe(now time.Time, s *saddlewire.Stamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance(now, s.GetWallNs(), s.GetCount())
}

func (c *Clock) advance(now time.Time, wall int64, count uint32) *saddlewire.Stamp {
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
	return &saddlewire.Stamp{WallNs: latest, Count: next}
}
