package saddlequeue

import (
	"math"
	"time"
)

// drain measures the tokens a second at which a flow with a backlog is served.
type drain struct {
	tokens  float64 // decaying sum of the tokens started
	seconds float64 // decaying sum of the time
	last    time.Time
}

const (
	drainMemory  = 20 * time.Second // time constant of the sums
	drainMinimum = 5.0              // seconds below which the sums say too little
)

// begin notes that the flow has a backlog from now on.
func (d *drain) begin(now time.Time) { *d = drain{last: now} }

// started notes that an item of the flow was started.
func (d *drain) started(now time.Time, tokens float64) {
	dt := now.Sub(d.last).Seconds()
	keep := math.Exp(-dt / drainMemory.Seconds())
	d.tokens = d.tokens*keep + tokens
	d.seconds = d.seconds*keep + dt
	d.last = now
}

// of returns the time that the flow takes for so many tokens, 0: unknown.
func (d *drain) of(tokens float64) time.Duration {
	if d.seconds < drainMinimum || d.tokens <= 0 {
		return 0
	}
	return time.Duration(tokens * d.seconds / d.tokens * float64(time.Second))
}
