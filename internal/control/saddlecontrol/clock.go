package saddlecontrol

import "time"

// clock tells the time by which leases are judged. It never goes back, and in
// each step it advances by the larger of what the wall clock and the monotonic
// clock say: the first may be set back, the second stands still while a VM is
// suspended, and either would make a lease look young.
type clock struct {
	last time.Time // with its monotonic reading
	at   time.Time // without one
}

func newClock(now time.Time) *clock {
	return &clock{last: now, at: now.Round(0)}
}

// read takes in the present time and returns the clock's.
func (c *clock) read(now time.Time) time.Time {
	step := max(0, now.Sub(c.last), now.Round(0).Sub(c.last.Round(0)))
	c.last = now
	c.at = c.at.Add(step)
	return c.at
}
