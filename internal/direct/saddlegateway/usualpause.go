package saddlegateway

import (
	"sync/atomic"
	"time"
)

const (
	// initialPause is the estimate of the usual pause before any pause was recorded.
	initialPause = 33 * time.Millisecond
	// pauseStep is how far one pause moves the estimate. Engines that are slow for some
	// seconds therefore count as slow, and do not change what counts as usual.
	pauseStep = 100 * time.Microsecond
	// firstPauseStep replaces pauseStep for the first firstPauses pauses.
	firstPauseStep = time.Millisecond
	firstPauses    = 100
)

// pauseEstimator estimates the median pause between events of the streams of this entry.
// The usual pause depends on the model, on the number of tokens in an event and on the
// load, so what counts as a long pause is a multiple of it. It is safe for concurrent use.
type pauseEstimator struct {
	recorded atomic.Int64 // number of pauses
	offset   atomic.Int64 // estimate less initialPause, nanoseconds
}

// record adds a pause.
func (e *pauseEstimator) record(pause time.Duration) {
	step := pauseStep
	if e.recorded.Add(1) <= firstPauses {
		step = firstPauseStep
	}
	if pause < e.median() {
		step = -step
	}
	e.offset.Add(int64(step))
}

// median returns the estimate.
func (e *pauseEstimator) median() time.Duration {
	return max(0, initialPause+time.Duration(e.offset.Load()))
}

// atLeast returns factor times the median pause, but at least floor.
func (e *pauseEstimator) atLeast(floor time.Duration, factor float64) time.Duration {
	return max(floor, time.Duration(factor*float64(e.median())))
}
