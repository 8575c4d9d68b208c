package saddleretry

import "time"

// Circuit is a circuit breaker for one target. A failure opens it; after a
// back-off that doubles with each failed probe it allows one request as a probe.
// It is not safe for concurrent use.
type Circuit struct {
	failures   int // consecutive failures: the first one and the failed probes since
	openUntil  time.Time
	probing    bool
	probeUntil time.Time
}

const (
	initialOpenDuration = 500 * time.Millisecond // after the first failure
	maxOpenDuration     = 8 * time.Second
	maxDoublings        = 10               // keeps the shift from overflowing; maxOpenDuration is reached earlier
	probeTimeout        = 10 * time.Second // a probe without an outcome is disregarded after this time
)

// Open reports whether the target failed and has not succeeded since. An open
// circuit still allows probes.
func (c *Circuit) Open() bool { return c.failures > 0 }

// Allows reports whether a request may be sent: always while the circuit is
// closed, otherwise only as a probe.
func (c *Circuit) Allows(now time.Time) bool {
	if !c.Open() {
		return true
	}
	if c.probing && now.Before(c.probeUntil) {
		return false
	}
	return !now.Before(c.openUntil)
}

// RecordSent records that a request is sent. While the circuit is open, that
// request is the probe.
func (c *Circuit) RecordSent(now time.Time) {
	if c.Open() {
		c.probing = true
		c.probeUntil = now.Add(probeTimeout)
	}
}

// RecordOutcome records the outcome of an attempt. A failure during the back-off
// does not extend the back-off, because the failed request was sent before the circuit
// opened.
func (c *Circuit) RecordOutcome(now time.Time, outcome Outcome) {
	switch outcome {
	case Succeeded:
		*c = Circuit{}
	case Neutral:
		c.probing = false
	case Failed:
		c.recordFailure(now)
	}
}

func (c *Circuit) recordFailure(now time.Time) {
	if c.Open() && now.Before(c.openUntil) {
		return
	}
	c.probing = false
	c.openUntil = now.Add(min(initialOpenDuration<<min(c.failures, maxDoublings), maxOpenDuration))
	c.failures++
}
