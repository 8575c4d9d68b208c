package saddleload

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
)

// Engine describes one drawn engine.
type Engine struct {
	ID         fireflysaddle.TargetID
	Slots      int
	Rate       float64       // tokens a second in one slot
	Link       time.Duration // one way
	CacheLimit int           // tokens in the prefix cache
}

const (
	slowestRate = 10.0 // tokens a second in one slot
	rateSpread  = 10.0 // fastest by slowest
	shortLink   = 500 * time.Microsecond
	linkSpread  = 100.0 // longest by shortest
	minSlots    = 4
	maxSlots    = 16
	cacheLimit  = 6000 // tokens
)

// Fleet draws engines whose rates differ tenfold and links a hundredfold.
func Fleet(seed uint64, n int) []Engine {
	r := rand.New(rand.NewPCG(seed, 2))
	out := make([]Engine, 0, n)
	for i := range n {
		out = append(out, Engine{
			ID:         fireflysaddle.TargetID(fmt.Sprintf("engine-%03d", i+1)),
			Slots:      between(r, minSlots, maxSlots),
			Rate:       slowestRate * math.Pow(rateSpread, r.Float64()),
			Link:       time.Duration(float64(shortLink) * math.Pow(linkSpread, r.Float64())),
			CacheLimit: cacheLimit,
		})
	}
	return out
}

// Bound returns the tokens a second of all slots of a fleet.
func Bound(engines []Engine) float64 {
	total := 0.0
	for _, e := range engines {
		total += e.Rate * float64(e.Slots)
	}
	return total
}
