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

// outputSize is what the caller of a stream says about its length.
type outputSize int

const (
	sizeUnknown   outputSize = iota
	sizeLimited              // at most how many tokens
	sizeEstimated            // about how many tokens
)

// callClass is a class of calls that take about equally long, streams in proportion to their
// tokens.
type callClass struct {
	group fireflysaddle.Group
	kind  saddlerouting.Kind
	size  outputSize // sizeUnknown for plain calls
}

func (j *job) class() callClass {
	c := callClass{group: j.pool.Group, kind: j.route.Kind}
	switch {
	case j.route.Kind != saddlerouting.Streaming:
	case j.call.OutputTokensHint > 0:
		c.size = sizeEstimated
	case j.call.MaxOutputTokens > 0:
		c.size = sizeLimited
	}
	return c
}

// outputUnits returns the number of parts into which the duration of an answer is divided: the
// tokens that the caller estimates or allows.
func (j *job) outputUnits() int {
	units := j.call.MaxOutputTokens
	if hint := j.call.OutputTokensHint; hint > 0 && (units <= 0 || hint < units) {
		units = hint
	}
	return min(max(1, units), maxOutputUnits)
}

// classDurations are the durations of one class of calls.
type classDurations struct {
	recorded int
	first    durationHistogram // from the send to the first event, or to the whole answer of a plain call
	unit     durationHistogram // from the first event to the last one, divided by the output units
}

// durationEstimator holds how long calls take. It is safe for concurrent use.
type durationEstimator struct {
	mu      sync.Mutex
	classes map[callClass]*classDurations
}

// estimate returns the duration that a share of the calls of a class does not exceed. It is at
// least initial until enoughDurations were recorded.
func (e *durationEstimator) estimate(class callClass, units int, share float64, initial time.Duration) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := e.classes[class]
	if c == nil {
		return initial
	}
	d := c.first.quantile(share) + time.Duration(units)*c.unit.quantile(share)
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
// the answer is whole. The rest of a stream that its caller resumes is shorter than the tokens
// that the caller states.
func (j *job) recordDuration(now time.Time, answered bool) {
	if j.runs == 0 || j.call.LastEventID != "" || (j.eventsSent > 0 && j.firstByteAt.Before(j.attemptSentAt)) { // its first events are of another attempt
		return
	}
	j.durations.update(j.class(), func(c *classDurations) {
		if j.eventsSent == 0 {
			c.first.record(now.Sub(j.attemptSentAt), answered)
			return
		}
		c.first.record(j.firstByteAt.Sub(j.attemptSentAt), true)
		c.unit.record(j.lastEventAt.Sub(j.firstByteAt)/time.Duration(j.outputUnits()), answered)
	})
}
