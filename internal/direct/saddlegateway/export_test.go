package saddlegateway

import (
	"time"

	"github.com/fireflysaddle/fireflysaddle"
)

// DurationHistogram exports durationHistogram to tests with more durations than calls can be
// served.
type DurationHistogram struct{ h durationHistogram }

// Record exports durationHistogram.record.
func (d *DurationHistogram) Record(duration time.Duration, exact bool) { d.h.record(duration, exact) }

// Quantile exports durationHistogram.quantile.
func (d *DurationHistogram) Quantile(share float64) time.Duration { return d.h.quantile(share) }

// WaitingTokens returns the tokens of the streams that wait for room, by group.
func (g *Gateway) WaitingTokens() map[fireflysaddle.Group]uint64 {
	g.admissions.mu.Lock()
	defer g.admissions.mu.Unlock()
	out := map[fireflysaddle.Group]uint64{}
	for group, a := range g.admissions.byGroup {
		a.mu.Lock()
		if tokens := a.queue.Tokens(); tokens > 0 {
			out[group] = uint64(tokens)
		}
		a.mu.Unlock()
	}
	return out
}
