package saddlebaseline

import (
	"math/rand/v2"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
)

// Least takes the target with the least load, by a measure of it; ties are
// broken at random.
type Least struct {
	rand *rand.Rand
	load func(fireflysaddle.Candidate) float64
}

// NewLeastInFlight returns a chooser by this entry's requests in flight for
// each slot.
func NewLeastInFlight(r *rand.Rand) *Least {
	return &Least{rand: r, load: func(c fireflysaddle.Candidate) float64 {
		return float64(c.InFlight) / float64(max(c.Slots, 1))
	}}
}

// NewLeastReported returns a chooser by the last reported load for each slot.
func NewLeastReported(r *rand.Rand) *Least {
	return &Least{rand: r, load: func(c fireflysaddle.Candidate) float64 {
		return float64(c.Reported) / float64(max(c.Slots, 1))
	}}
}

// Choose returns the index of a target; ok is false when there is none.
func (c *Least) Choose(_ time.Time, _ fireflysaddle.Work, pool fireflysaddle.Pool) (int, bool) {
	best, least, ties := -1, 0.0, 0
	for i := range pool.Len() {
		candidate, ok := pool.Candidate(i)
		if !ok {
			continue
		}
		load := c.load(candidate)
		switch {
		case best < 0 || load < least:
			best, least, ties = i, load, 1
		case load == least:
			ties++
			if c.rand.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best, best >= 0
}
