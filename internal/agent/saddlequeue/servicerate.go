package saddlequeue

import (
	"math"
	"time"
)

// serviceRate measures the tokens per second at which a flow with a backlog is
// served.
type serviceRate struct {
	tokens    float64 // exponentially decaying sum of the tokens of started items
	seconds   float64 // exponentially decaying sum of the time between starts
	lastStart time.Time
}

const (
	rateTimeConstant = 20 * time.Second // time constant of the decay of the sums
	minBusySeconds   = 5.0              // value of seconds below which the rate counts as unknown
)

// reset discards the sums. It is called when a backlog begins.
func (r *serviceRate) reset(now time.Time) { *r = serviceRate{lastStart: now} }

// recordStart records the start of an item of the flow.
func (r *serviceRate) recordStart(now time.Time, tokens float64) {
	dt := now.Sub(r.lastStart).Seconds()
	decay := math.Exp(-dt / rateTimeConstant.Seconds())
	r.tokens = r.tokens*decay + tokens
	r.seconds = r.seconds*decay + dt
	r.lastStart = now
}

// timeFor returns the time in which the flow is served the given number of
// tokens, or 0 when the rate is unknown.
func (r *serviceRate) timeFor(tokens float64) time.Duration {
	if r.seconds < minBusySeconds || r.tokens <= 0 {
		return 0
	}
	return time.Duration(tokens * r.seconds / r.tokens * float64(time.Second))
}
