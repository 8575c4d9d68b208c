package saddleretry

import "time"

// Circuit keeps requests from a target that fails: it opens on a failure for a
// time that doubles, then lets one probe through. It is used under one lock.
type Circuit struct {
	failures   int // failed probes in a row, the first failure included
	openUntil  time.Time
	probing    bool
	probeUntil time.Time
}

const (
	firstOpen    = 500 * time.Millisecond // after the first failure
	maxOpen      = 8 * time.Second
	maxDoublings = 10
	probeTimeout = 10 * time.Second // after which a probe counts as never sent
)

// Open reports whether the last word on the target was a failure.
func (c *Circuit) Open() bool { return c.failures > 0 }

// Allows reports whether a request may be sent.
func (c *Circuit) Allows(now time.Time) bool {
	if !c.Open() {
		return true
	}
	if c.probing && now.Before(c.probeUntil) {
		return false
	}
	return !now.Before(c.openUntil)
}

// Sent notes that a request is sent; while the circuit is open it is the probe.
func (c *Circuit) Sent(now time.Time) {
	if c.Open() {
		c.probing = true
		c.probeUntil = now.Add(probeTimeout)
	}
}

// Note takes in the outcome of an attempt. Failures of requests that were sent
// before the circuit opened do not extend the time.
func (c *Circuit) Note(now time.Time, outcome Outcome) {
	switch outcome {
	case Succeeded:
		*c = Circuit{}
	case Neutral:
		c.probing = false
	case Failed:
		c.fail(now)
	}
}

func (c *Circuit) fail(now time.Time) {
	if c.Open() && now.Before(c.openUntil) {
		return
	}
	c.probing = false
	c.openUntil = now.Add(min(firstOpen<<min(c.failures, maxDoublings), maxOpen))
	c.failures++
}
