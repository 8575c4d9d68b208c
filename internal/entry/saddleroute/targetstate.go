package saddleroute

import (
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/entry/saddleretry"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// targetState is the state of a target as this entry observes it. It is kept when
// the view changes.
type targetState struct {
	inFlight         int
	circuit          saddleretry.Circuit
	circuitGroup     *saddleretry.CircuitGroup
	load             *saddlewire.Load // latest load report; at first the load in the view
	reportedAt       time.Time        // zero while load is from the view
	inFlightAtReport int              // inFlight at reportedAt
	rate             float64          // tokens per second in one slot, 0: not observed yet
	cacheEpoch       uint64           // incremented when the prefix hints of the target become invalid
	incarnation      fireflysaddle.Incarnation
}

// rateSmoothing is the weight of the latest rate in the moving average.
const rateSmoothing = 0.3

// recordLoad stores a load report and this entry's present number of requests in
// flight. A chooser needs both to add the requests that this entry sends after the
// report.
func (s *targetState) recordLoad(now time.Time, load *saddlewire.Load) {
	s.load = load
	s.reportedAt = now
	s.inFlightAtReport = s.inFlight
}

// recordRate adds the rate of an attempt to the moving average. Rates that are
// unknown (not positive) are ignored.
func (s *targetState) recordRate(rate float64) {
	switch {
	case rate <= 0:
	case s.rate == 0:
		s.rate = rate
	default:
		s.rate += rateSmoothing * (rate - s.rate)
	}
}
