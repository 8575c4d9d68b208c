package saddlebaseline

import (
	"math/rand/v2"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
)

// Random chooses an available target at random.
type Random struct {
	rand *rand.Rand
}

// NewRandom returns a chooser that uses the given source of random numbers.
func NewRandom(r *rand.Rand) *Random { return &Random{rand: r} }

// Choose returns the index of a target in the pool. The second result is false
// when no target is available.
func (c *Random) Choose(_ time.Time, _ fireflysaddle.Work, pool fireflysaddle.Pool) (int, bool) {
	n := pool.Len()
	if n == 0 {
		return 0, false
	}
	return firstAvailable(c.rand.IntN(n), pool)
}

// firstAvailable returns the index of the first available target. It searches the
// pool from index start and wraps around at the end. The second result is false
// when no target is available.
func firstAvailable(start int, pool fireflysaddle.Pool) (int, bool) {
	n := pool.Len()
	for k := range n {
		i := (start + k) % n
		if _, ok := pool.Candidate(i); ok {
			return i, true
		}
	}
	return 0, false
}
