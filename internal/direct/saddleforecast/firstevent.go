package saddleforecast

import (
	"math"
	"time"
)

const (
	// memory is the time after which what was seen counts 1/e. Load changes within seconds.
	memory = 2 * time.Second
	// weight is the weight of one stream while streams follow each other closely.
	weight = 0.1
	// deviations is how many mean deviations the forecast lies above the mean, so that most
	// streams are not later.
	deviations = 1
)

// FirstEvent is what is known of the time from the send of a stream to its first event. The zero
// value knows nothing. It is not safe for concurrent use.
type FirstEvent struct {
	perToken  time.Duration // that idle engines need for a token of a prompt, on average
	delay     time.Duration // beyond what idle engines need, on average
	deviation time.Duration // of delay, on average
	updated   time.Time     // zero: nothing is known
}

// Seen records a stream whose first event came after a time. idle is the time that its engines
// need while nothing else runs.
func (f *FirstEvent) Seen(now time.Time, promptTokens int, idle, seen time.Duration) {
	perToken, delay := idle/time.Duration(max(1, promptTokens)), seen-idle
	if f.updated.IsZero() {
		*f = FirstEvent{perToken: perToken, delay: delay, updated: now}
		return
	}
	w := max(weight, 1-math.Exp(-now.Sub(f.updated).Seconds()/memory.Seconds()))
	f.perToken = towards(f.perToken, perToken, w)
	f.deviation = towards(f.deviation, (delay - f.delay).Abs(), w)
	f.delay = towards(f.delay, delay, w)
	f.updated = now
}

func towards(from, to time.Duration, w float64) time.Duration {
	return from + time.Duration(float64(to-from)*w)
}

// Expect returns the time to the first event of a stream that is sent now, 0 if nothing is known.
// A delay that was seen long ago counts less: the engines may be idle since.
func (f *FirstEvent) Expect(now time.Time, promptTokens int) time.Duration {
	if f.updated.IsZero() {
		return 0
	}
	age := math.Exp(-max(0, now.Sub(f.updated)-memory).Seconds() / memory.Seconds())
	return time.Duration(promptTokens)*f.perToken + time.Duration(age*float64(f.delay+deviations*f.deviation))
}
