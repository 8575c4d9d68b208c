package saddlebaseline

import (
	"time"

	"github.com/fireflysaddle/fireflysaddle"
)

// RoundRobin chooses the available targets in turn.
type RoundRobin struct {
	next int
}

// NewRoundRobin returns a chooser that begins at the target with index first.
func NewRoundRobin(first int) *RoundRobin { return &RoundRobin{next: first} }

// Choose returns the index of a target in the pool. The second result is false
// when no target is available.
func (c *RoundRobin) Choose(_ time.Time, _ fireflysaddle.Work, pool fireflysaddle.Pool) (int, bool) {
	if pool.Len() == 0 {
		return 0, false
	}
	i, ok := firstAvailable(c.next%pool.Len(), pool)
	c.next = i + 1
	return i, ok
}
