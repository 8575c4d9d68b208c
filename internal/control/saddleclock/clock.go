package saddleclock

import "time"

// Clock never goes back, and in each step it advances by the larger of what
// the wall clock and the monotonic clock say: the first may be set back, the
// second stands still while a VM is suspended, and either would make a lease
// look young. It is used by one goroutine.
type Clock struct {
	wall    time.Time
	elapsed time.Duration
	at      time.Time
}

// New returns a clock that starts at a wall time. elapsed is the monotonic
// time then.
func New(wall time.Time, elapsed time.Duration) *Clock {
	return &Clock{wall: wall.Round(0), elapsed: elapsed, at: wall.Round(0)}
}

// Read takes in the present wall and monotonic time and returns the clock's.
func (c *Clock) Read(wall time.Time, elapsed time.Duration) time.Time {
	wall = wall.Round(0)
	step := max(0, wall.Sub(c.wall), elapsed-c.elapsed)
	c.wall = wall
	c.elapsed = elapsed
	c.at = c.at.Add(step)
	return c.at
}
