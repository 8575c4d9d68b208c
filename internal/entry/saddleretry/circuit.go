package saddleretry

import "time"

// Circuit keeps requests from a target that fails: it opens on a failure for a
// time that doubles, then lets one probe through. It is used under one lock.
type Circuit struct {
	failures  int
	openUntil time.Time
	probing   bool
}

const (
	firstOpen = 250 * time.Millisecond // after the first failure
	maxOpen   = 8 * time.Second
)

// Allows reports whether a request may be sent.
func (c *Circuit) Allows(now time.Time) bool {
	if c.failures == 0 {
		return true
	}
	return !c.probing && !now.Before(c.openUntil)
}

// Sent notes that a request is sent; after a failure it is the probe.
func (c *Circuit) Sent() {
	c.probing = c.failures > 0
}

// Succeeded closes the circuit.
func (c *Circuit) Succeeded() {
	*c = Circuit{}
}

// Failed opens the circuit.
func (c *Circuit) Failed(now time.Time) {
	c.probing = false
	open := min(firstOpen<<min(c.failures, 10), maxOpen)
	c.failures++
	c.openUntil = now.Add(open)
}
