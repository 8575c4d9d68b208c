package saddlegateway

import "time"

// The fractions by which one duration raises or lowers an estimate. An estimate settles where
// both balance.
const (
	usualRise = 0.09 // exceeded by 1 in 10
	usualFall = 0.01
	longRise  = 0.19 // exceeded by 1 in 20
	longFall  = 0.01
)

// durationQuantiles estimate which durations are usual, and which are long.
type durationQuantiles struct {
	usual, long durationQuantile
}

// record adds a duration. One that is not exact ended early, so that it only shows that the
// whole duration is longer.
func (q *durationQuantiles) record(d time.Duration, exact bool) {
	q.usual.record(d, exact, usualRise, usualFall)
	q.long.record(d, exact, longRise, longFall)
}

// durationQuantile estimates a duration that a fixed share of all durations exceeds.
type durationQuantile struct {
	value time.Duration
	known bool
}

func (q *durationQuantile) record(d time.Duration, exact bool, rise, fall float64) {
	switch {
	case !q.known:
		q.value, q.known = d, true
	case d > q.value:
		q.value += max(1, time.Duration(rise*float64(q.value)))
	case exact:
		q.value -= time.Duration(fall * float64(q.value))
	}
}
