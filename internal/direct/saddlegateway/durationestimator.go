package saddlegateway

import (
	"sync"
	"time"
)

const (
	// enoughDurations is the number of durations from which on few are longer than the
	// estimate. The first ones of a process are those of the shortest streams.
	enoughDurations = 100
	// hardlyAnyShare is the share of calls of a magnitude that bounds the estimate of one.
	hardlyAnyShare = 0.99
)

// classDurations are the durations of one class of calls.
type classDurations struct {
	recorded int
	first    durationHistogram // from the send to the first event, or to the whole answer of a plain call
	unit     durationHistogram // from the first event to the last one, divided by the output units
}

// quantile returns the duration that a share of the calls with a number of output units does not
// exceed.
func (c *classDurations) quantile(units int, share float64) time.Duration {
	return c.first.quantile(share) + time.Duration(units)*c.unit.quantile(share)
}

// durationEstimator holds how long calls take. It is safe for concurrent use.
type durationEstimator struct {
	mu      sync.Mutex
	classes map[callClass]*classDurations
}

// estimate returns the duration that a share of the calls of a class does not exceed. It is at
// least initial until enoughDurations were recorded. It is not longer than what hardly any call
// of the same magnitude takes, because meaningless estimates of some callers spoil that of all.
func (e *durationEstimator) estimate(class callClass, units int, share float64, initial time.Duration) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := e.classes[class]
	if c == nil {
		return initial
	}
	d := c.quantile(units, share)
	if c.recorded < enoughDurations {
		return max(d, initial)
	}
	if m := e.classes[class.ofMagnitude(units)]; m != nil && m.recorded >= enoughDurations {
		d = min(d, m.quantile(units, hardlyAnyShare))
	}
	return d
}

// update calls f with the durations of a class, and with those of the calls of its magnitude.
func (e *durationEstimator) update(class callClass, units int, f func(c *classDurations)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.updateClass(class, f)
	if m := class.ofMagnitude(units); m != class {
		e.updateClass(m, f)
	}
}

// updateClass is update for one class. It must be called with mu held.
func (e *durationEstimator) updateClass(class callClass, f func(c *classDurations)) {
	c := e.classes[class]
	if c == nil {
		c = &classDurations{}
		e.classes[class] = c
	}
	c.recorded++
	f(c)
}

// recordDuration records how long the call took since it was last sent. answered is set if
// the answer is whole. The rest of a stream that its caller resumes is shorter than the tokens
// that the caller states. The events of a stream that was held were sent together.
func (j *job) recordDuration(now time.Time, answered bool) {
	if j.runs == 0 || (j.held && j.eventsSent > 0) || j.call.LastEventID != "" || (j.eventsSent > 0 && j.firstByteAt.Before(j.attemptSentAt)) { // its first events are of another attempt
		return
	}
	j.durations.update(j.class(), j.outputUnits(), func(c *classDurations) {
		if j.eventsSent == 0 {
			c.first.record(now.Sub(j.attemptSentAt), answered)
			return
		}
		c.first.record(j.firstByteAt.Sub(j.attemptSentAt), true)
		c.unit.record(j.lastEventAt.Sub(j.firstByteAt)/time.Duration(j.outputUnits()), answered)
	})
}
