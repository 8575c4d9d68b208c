package saddleload

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
)

// Engine describes a generated engine.
type Engine struct {
	ID          fireflysaddle.TargetID
	Slots       int
	Rate        float64       // tokens per second of one slot
	LinkLatency time.Duration // one-way latency between entry and agent
	CacheLimit  int           // capacity of the prefix cache in tokens
}

const (
	minRate           = 10.0 // tokens per second of one slot
	rateSpread        = 10.0 // highest rate divided by the lowest
	minLinkLatency    = 500 * time.Microsecond
	linkLatencySpread = 100.0 // highest latency divided by the lowest
	minSlots          = 4
	maxSlots          = 16
	cacheLimit        = 6000 // tokens
)

// GenerateFleet returns n engines whose token rates differ by up to a factor of
// ten and link latencies by up to a hundred.
func GenerateFleet(seed uint64, n int) []Engine {
	r := rand.New(rand.NewPCG(seed, 2))
	out := make([]Engine, 0, n)
	for i := range n {
		out = append(out, Engine{
			ID:          fireflysaddle.TargetID(fmt.Sprintf("engine-%03d", i+1)),
			Slots:       uniform(r, minSlots, maxSlots),
			Rate:        minRate * math.Pow(rateSpread, r.Float64()),
			LinkLatency: time.Duration(float64(minLinkLatency) * math.Pow(linkLatencySpread, r.Float64())),
			CacheLimit:  cacheLimit,
		})
	}
	return out
}

// Capacity returns the tokens per second that all slots of a fleet generate
// together.
func Capacity(engines []Engine) float64 {
	total := 0.0
	for _, e := range engines {
		total += e.Rate * float64(e.Slots)
	}
	return total
}
