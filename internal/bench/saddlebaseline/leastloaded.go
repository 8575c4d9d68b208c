package saddlebaseline

import (
	"math/rand/v2"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
)

// LeastLoaded chooses the target with the lowest load. Ties are broken at random.
type LeastLoaded struct {
	rand *rand.Rand
	load func(fireflysaddle.Candidate) float64
}

// NewLeastInFlight returns a chooser whose load is the number of this entry's
// requests in flight per slot.
func NewLeastInFlight(r *rand.Rand) *LeastLoaded {
	return &LeastLoaded{rand: r, load: func(c fireflysaddle.Candidate) float64 {
		return float64(c.InFlight) / float64(max(c.Slots, 1))
	}}
}

// NewLeastReported returns a chooser whose load is the number of requests per slot
// according to the target's latest report.
func NewLeastReported(r *rand.Rand) *LeastLoaded {
	return &LeastLoaded{rand: r, load: func(c fireflysaddle.Candidate) float64 {
		return float64(c.Reported) / float64(max(c.Slots, 1))
	}}
}

// Choose returns the index of a target in the pool. The second result is false
// when no target is available.
func (c *LeastLoaded) Choose(_ time.Time, _ fireflysaddle.Work, pool fireflysaddle.Pool) (int, bool) {
	best, lowest, ties := -1, 0.0, 0
	for i := range pool.Len() {
		candidate, ok := pool.Candidate(i)
		if !ok {
			continue
		}
		load := c.load(candidate)
		switch {
		case best < 0 || load < lowest:
			best, lowest, ties = i, load, 1
		case load == lowest:
			ties++
			if c.rand.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best, best >= 0
}
