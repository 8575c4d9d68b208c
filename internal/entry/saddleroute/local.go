package saddleroute

import (
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/entry/saddleretry"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// local is what this entry knows of a target by itself.
type local struct {
	inFlight     int
	circuit      saddleretry.Circuit
	group        *saddleretry.Group
	load         *saddlewire.Load // by its last report
	reported     time.Time
	inFlightThen int     // requests of this entry at that report
	rate         float64 // tokens a second in one slot as seen, 0: not seen
	epoch        uint64  // of what is known of its cache
	incarnation  fireflysaddle.Incarnation
}

// rateSmoothing is the weight of the latest rate in the average.
const rateSmoothing = 0.3

// report takes in a load report.
func (l *local) report(now time.Time, load *saddlewire.Load) {
	l.load = load
	l.reported = now
	l.inFlightThen = l.inFlight
}

// saw takes in the rate of an attempt.
func (l *local) saw(rate float64) {
	switch {
	case rate <= 0:
	case l.rate == 0:
		l.rate = rate
	default:
		l.rate += rateSmoothing * (rate - l.rate)
	}
}
