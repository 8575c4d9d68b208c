package saddlegateway

import (
	"sync"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlerouting"
)

const (
	// enoughDurations is the number of durations from which on few are longer than the
	// estimate. The first ones of a process are those of the shortest streams.
	enoughDurations = 100
	// maxOutputUnits bounds the number of tokens with which durations are multiplied.
	maxOutputUnits = 1_000_000
)

// callClass is a class of calls that take about equally long, streams in proportion to their
// tokens.
type callClass struct {
	group fireflysaddle.Group
	kind  saddlerouting.Kind
	sized bool // streams only: the caller states the number of output tokens
}

func (j *job) class() callClass {
	return callClass{
		group: j.pool.Group, kind: j.route.Kind,
		sized: j.route.Kind == saddlerouting.Streaming && j.call.MaxOutputTokens > 0,
	}
}

// outputUnits returns the number of parts into which the duration of an answer is divided.
func outputUnits(maxOutputTokens int) int { return min(max(1, maxOutputTokens), maxOutputUnits) }

// classDurations are the durations of one class of calls.
type classDurations struct {
	recorded int
	first    durationQuantiles // from the send to the first event, or to the whole answer of a plain call
	unit     durationQuantiles // from the first event to the last one, divided by the output units
}

// estimate returns the part of the durations that f selects for a number of output units.
func (c *classDurations) estimate(units int, f func(*durationQuantiles) time.Duration) time.Duration {
	return f(&c.first) + time.Duration(units)*f(&c.unit)
}

// durationEstimator holds how long calls usually take. It is safe for concurrent use.
type durationEstimator struct {
	mu      sync.Mutex
	classes map[callClass]*classDurations
}

// usual returns the duration that 9 of 10 calls of a class do not exceed. It returns
// initial if none was recorded.
func (e *durationEstimator) usual(class callClass, units int, initial time.Duration) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := e.classes[class]
	if c == nil {
		return initial
	}
	return c.estimate(units, func(q *durationQuantiles) time.Duration { return q.usual.value })
}

// long returns the duration that 19 of 20 calls of a class do not exceed. It is at least
// initial until enoughDurations were recorded.
func (e *durationEstimator) long(class callClass, units int, initial time.Duration) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := e.classes[class]
	if c == nil {
		return initial
	}
	d := c.estimate(units, func(q *durationQuantiles) time.Duration { return q.long.value })
	if c.recorded < enoughDurations {
		return max(d, initial)
	}
	return d
}

// update calls f with the durations of a class.
func (e *durationEstimator) update(class callClass, f func(c *classDurations)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := e.classes[class]
	if c == nil {
		c = &classDurations{}
		e.classes[class] = c
	}
	c.recorded++
	f(c)
}

// recordDuration records how long the call took since it was last sent. answered is set if
// the answer is whole.
func (j *job) recordDuration(now time.Time, answered bool) {
	if j.runs == 0 || (j.eventsSent > 0 && j.firstByteAt.Before(j.attemptSentAt)) { // its first events are of another attempt
		return
	}
	j.durations.update(j.class(), func(c *classDurations) {
		if j.eventsSent == 0 {
			c.first.record(now.Sub(j.attemptSentAt), answered)
			return
		}
		c.first.record(j.firstByteAt.Sub(j.attemptSentAt), true)
		c.unit.record(j.lastEventAt.Sub(j.firstByteAt)/time.Duration(outputUnits(j.call.MaxOutputTokens)), answered)
	})
}
