package saddleclock

import "time"

// Clock is a clock that never goes backwards. With each reading it advances by
// the larger of the wall-clock and the monotonic increment. It needs both, because
// the wall clock may be set back and the monotonic clock stops while a VM is
// suspended. With only one of them, an expired lease could appear valid. A Clock is
// not safe for concurrent use.
type Clock struct {
	lastWall      time.Time
	lastMonotonic time.Duration
	current       time.Time
}

// New returns a clock that starts at the given wall time. monotonic is the
// monotonic reading at that time.
func New(wall time.Time, monotonic time.Duration) *Clock {
	return &Clock{lastWall: wall.Round(0), lastMonotonic: monotonic, current: wall.Round(0)}
}

// Read advances the clock by the current wall and monotonic readings and returns
// its time.
func (c *Clock) Read(wall time.Time, monotonic time.Duration) time.Time {
	wall = wall.Round(0)
	step := max(0, wall.Sub(c.lastWall), monotonic-c.lastMonotonic)
	c.lastWall = wall
	c.lastMonotonic = monotonic
	c.current = c.current.Add(step)
	return c.current
}
