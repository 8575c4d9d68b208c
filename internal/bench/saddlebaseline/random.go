package saddlebaseline

import (
	"math/rand/v2"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
)

// Random takes any target.
type Random struct {
	rand *rand.Rand
}

// NewRandom returns a chooser that draws from the given source.
func NewRandom(r *rand.Rand) *Random { return &Random{rand: r} }

// Choose returns the index of a target; ok is false when there is none.
func (c *Random) Choose(_ time.Time, _ fireflysaddle.Work, pool fireflysaddle.Pool) (int, bool) {
	n := pool.Len()
	if n == 0 {
		return 0, false
	}
	return firstFrom(c.rand.IntN(n), pool)
}

// firstFrom returns the first target from an index on that can take a request.
func firstFrom(at int, pool fireflysaddle.Pool) (int, bool) {
	n := pool.Len()
	for k := range n {
		i := (at + k) % n
		if _, ok := pool.Candidate(i); ok {
			return i, true
		}
	}
	return 0, false
}
